"""Tests of control leases with an in-memory platform."""

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
    """The lease expires at its holder before another may claim it."""
    _, clock, first, second = _pair()
    assert first.refresh() and not second.refresh()
    clock.now_s = leases.DURATION_S * (1 - policy.SAFETY_MARGIN_FRACTION)
    assert not first.held() and not second.refresh()
    clock.now_s = leases.DURATION_S
    assert second.refresh() and not first.refresh()
    assert second.fencing == first.fencing + 1


def test_duration_counts_from_before_the_write():
    """Time that passes while a claim is written counts as used."""
    platform, clock, first, _ = _pair()

    def pause():
        clock.now_s += leases.DURATION_S

    platform.before_write = pause
    assert not first.refresh()
    assert first.refresh()


def test_needed_time_must_end_before_the_expiry():
    """An action that may take longer than the lease is not allowed."""
    _, _, first, _ = _pair()
    first.refresh()
    assert first.held(7.0) and not first.held(8.0)


def test_claim_with_lost_answer_is_held_after_the_next_write():
    """A claim of unknown effect does not count as held."""
    platform, _, first, second = _pair()
    platform.lose_writes = 1
    assert not first.refresh()
    assert not second.refresh()
    assert first.refresh() and first.fencing == 1


def test_lease_expires_during_an_outage():
    """The holder cannot renew without the platform."""
    platform, clock, first, _ = _pair()
    assert first.refresh()
    platform.down = True
    clock.now_s = 5.0
    assert first.refresh()
    clock.now_s = 8.0
    assert not first.refresh()


def test_released_lease_may_be_claimed_at_once():
    """The next holder need not wait and gets a new fencing token."""
    _, _, first, second = _pair()
    first.refresh()
    first.release()
    assert not first.held()
    assert second.refresh() and second.fencing == 2


def test_fencing_token_increases_after_the_lease_was_deleted():
    """The floor keeps tokens increasing without the stored lease."""
    platform, _, first, second = _pair()
    first.refresh()
    platform.delete(leases.KIND, 'rollouts')
    assert second.refresh(floor=first.fencing)
    assert second.fencing == 2


def _restored_after_a_change_of_holder():
    """Return two candidates; the second holds what the store has lost."""
    platform, clock, first, second = _pair()
    first.refresh()
    version = len(platform.history)
    second.refresh()
    clock.now_s = leases.DURATION_S
    assert second.refresh() and not first.refresh()
    platform.restore(version)
    return platform, clock, first, second


def test_earlier_holder_does_not_hold_a_restored_lease_beside_the_present():
    """It found its own name and renewed, with its earlier fencing token."""
    _, clock, first, second = _restored_after_a_change_of_holder()
    assert not first.refresh() and second.held()
    clock.now_s += leases.DURATION_S - 0.1
    assert not first.refresh() and not second.held()
    clock.now_s += 0.1
    assert first.refresh()
    assert first.fencing == second.fencing + 1


def test_present_holder_writes_a_lost_lease_again_with_a_new_token():
    platform, _, first, second = _restored_after_a_change_of_holder()
    assert second.refresh() and second.fencing == 3
    assert platform.get(leases.KIND, 'rollouts').ok_value.value['fencing'] == 3
    assert not first.refresh()


def test_lease_that_a_restored_store_lost_is_free_after_its_duration():
    platform, clock, first, second = _pair()
    assert first.refresh() and not second.refresh()
    platform.restore(0)
    assert not second.refresh() and first.held()
    clock.now_s = leases.DURATION_S
    assert not first.held() and second.refresh()
    assert second.fencing == first.fencing + 1
