"""Tests of the arbiter's account of who holds what."""

from tests.fakes import arbitration
from wigeonfall.model import instance
from wigeonfall.policy import grants
from wigeonfall.serving import arbiter


class Bench:
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

    def connect(self, of, held=(), waiting=()):
        """Return a session of an instance."""
        session = arbiter.Session('lm', of, self.sent.extend)
        self.arbiters.connect(session, held, waiting, 0)
        return session


def make_instance(name, incarnation=1):
    """Return an instance."""
    return instance.Instance(name, 'dc', '', incarnation)


def make_pending(name, holder, deadline_s=60):
    """Return a wait."""
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
    """A restarted instance holds nothing, whatever the live list says."""
    old, new = make_instance('i'), make_instance('i', 2)
    bench = Bench(old)
    bench.connect(old, make_held(8, 'i/1'))
    bench.connect(new, (), [make_pending('w', 'i/2')])
    bench.arbiters.tick(1)
    assert bench.sent == [grants.Granted('w', 'i/2', 'a')]


def test_lost_connection_waits_no_longer():
    """Nothing is granted to an instance that cannot hear of it."""
    first, second = make_instance('i'), make_instance('j')
    bench = Bench(first, second)
    session = bench.connect(second, make_held(8, 'j/1'))
    lost = bench.connect(first, (), [make_pending('w', 'i/1')])
    bench.arbiters.disconnect(lost, 1)
    done = tuple(f'h{n}' for n in range(8))
    bench.arbiters.receive(session, (), done, 40)
    waiting = tuple(make_pending(f'w{n}', 'j/1', 90) for n in range(9))
    bench.arbiters.receive(session, waiting, (), 41)
    assert len(bench.sent) == 8


def test_unknown_pool():
    """A pool that is not configured here is not arbitrated."""
    bench = Bench()
    session = arbiter.Session('other', make_instance('i'), bench.sent.extend)
    assert not bench.arbiters.connect(session, (), (), 0)
