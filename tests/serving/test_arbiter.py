"""Tests of how the arbiter counts the grants that instances hold."""

from tests.fakes import arbitration
from wigeonfall.model import instance
from wigeonfall.policy.room import grants
from wigeonfall.serving import arbiter


class Harness:
    """An arbiter and the decisions that it sent."""

    def __init__(self, *live):
        self.live = live
        self.arbiters = arbiter.Arbiters(
            lambda name: arbitration.SERVICE if name == 'lm' else None,
            lambda _service, _now_s: arbitration.TARGETS[:1],
            lambda: self.live,
            arbitration.ignore,
        )
        self.sent = []

    def connect(self, peer, held=(), waiting=()):
        """Return a session of an instance."""
        session = arbiter.Session('lm', peer, self.sent.extend)
        self.arbiters.connect(session, held, waiting, 0)
        return session


def make_instance(name, incarnation=1):
    """Return an instance."""
    return instance.Instance(name, 'dc', '', incarnation)


def make_pending(name, holder, deadline_s=60):
    """Return a waiting request."""
    return grants.PendingRequest(
        name, holder, 'c', 1, 1, 10, 0, deadline_s, True
    )


def make_held(count, holder):
    """Return grants of the first target."""
    return tuple(
        grants.HeldGrant(f'h{n}', holder, 'a', 1, 10, True, 0, 60)
        for n in range(count)
    )


def test_new_incarnation_frees_the_grants_of_the_old_one():
    """Grants of the old process end even while the live list names it."""
    old, new = make_instance('i'), make_instance('i', 2)
    harness = Harness(old)
    harness.connect(old, make_held(8, 'i/1'))
    harness.connect(new, (), [make_pending('w', 'i/2')])
    harness.arbiters.tick(1)
    assert harness.sent == [grants.Granted('w', 'i/2', 'a')]


def test_waits_of_a_lost_connection_get_no_grant():
    """An instance that cannot receive decisions is granted nothing."""
    first, second = make_instance('i'), make_instance('j')
    harness = Harness(first, second)
    session = harness.connect(second, make_held(8, 'j/1'))
    lost = harness.connect(first, (), [make_pending('w', 'i/1')])
    harness.arbiters.disconnect(lost, 1)
    done = tuple(f'h{n}' for n in range(8))
    harness.arbiters.receive(session, (), done, 40)
    waiting = tuple(make_pending(f'w{n}', 'j/1', 90) for n in range(9))
    harness.arbiters.receive(session, waiting, (), 41)
    assert len(harness.sent) == 8


def test_session_of_an_unknown_pool_is_refused():
    """An instance arbitrates only the pools in its configuration."""
    harness = Harness()
    session = arbiter.Session('other', make_instance('i'), harness.sent.extend)
    assert not harness.arbiters.connect(session, (), (), 0)
