"""Tests of control leases over a platform in memory."""

from tests.fakes import memory_platform
from wigeonfall.policy import lease as policy
from wigeonfall.serving import leases


class _Clock:
    now_s = 0.0


def _lease(platform, clock, holder):
    return leases.ControlLease(
        platform.port(),
        'rollouts',
        holder,
        lambda event, **fields: None,
        lambda: clock.now_s,
    )


def _pair():
    platform, clock = memory_platform.MemoryPlatform(), _Clock()
    first, second = (_lease(platform, clock, name) for name in 'ab')
    return platform, clock, first, second


def test_paused_holder_stops_before_another_may_claim():
    """The lease lapses at its holder first, then passes on."""
    _, clock, first, second = _pair()
    assert first.refresh() and not second.refresh()
    clock.now_s = leases.DURATION_S * (1 - policy.SAFETY_MARGIN_FRACTION)
    assert not first.held() and not second.refresh()
    clock.now_s = leases.DURATION_S
    assert second.refresh() and not first.refresh()
    assert second.fencing == first.fencing + 1


def test_pause_inside_a_renewal_counts():
    """Time that passes while a renewal is written is not gained."""
    platform, clock, first, _ = _pair()

    def pause():
        clock.now_s += leases.DURATION_S

    platform.before_write = pause
    assert not first.refresh()
    assert first.refresh()


def test_needed_time_is_counted():
    """An action that may last past the expiry is not begun."""
    _, _, first, _ = _pair()
    first.refresh()
    assert first.held(7.0) and not first.held(8.0)


def test_lost_answer_holds_only_after_the_next_write():
    """A claim of unknown effect is not acted upon."""
    platform, _, first, second = _pair()
    platform.lose_writes = 1
    assert not first.refresh()
    assert not second.refresh()
    assert first.refresh() and first.fencing == 1


def test_outage_ends_the_lease():
    """Without the platform the lease runs out at its holder."""
    platform, clock, first, _ = _pair()
    assert first.refresh()
    platform.down = True
    clock.now_s = 5.0
    assert first.refresh()
    clock.now_s = 8.0
    assert not first.refresh()


def test_released_lease_passes_on_at_once():
    """Giving up saves the others the wait, under a new number."""
    _, _, first, second = _pair()
    first.refresh()
    first.release()
    assert not first.held()
    assert second.refresh() and second.fencing == 2


def test_deleted_lease_repeats_no_number():
    """The floor keeps numbers growing when the object is gone."""
    platform, _, first, second = _pair()
    first.refresh()
    platform.delete(leases.KIND, 'rollouts')
    assert second.refresh(floor=first.fencing)
    assert second.fencing == 2
