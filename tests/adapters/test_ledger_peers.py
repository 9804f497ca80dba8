"""Changes of the ledger over gRPC on loopback."""

from concurrent import futures

import grpclib.server
import hypothesis
from hypothesis import strategies as st
import pytest
from result import Err
from result import Ok

from tests.fakes.ports import free_ports
from tests.policy import test_ledger
from wigeonfall.adapters import event_loop
from wigeonfall.adapters import ledger_peers
from wigeonfall.model import instance
from wigeonfall.model import order
from wigeonfall.model.order import Verdict

TIMEOUT_S = 30.0
DECISION = order.Decision(Verdict.CLAIMED, None, 17.5)


@pytest.fixture
def loop():
    thread = event_loop.LoopThread()
    yield thread
    thread.stop()


def _serve(loop, accept) -> instance.Instance:
    (port,) = free_ports(1)

    async def start():
        service = ledger_peers.LedgerService(accept)
        server = grpclib.server.Server([service])
        await server.start('127.0.0.1', port)

    loop.submit(start()).result(TIMEOUT_S)
    return instance.Instance('owner', 'zac-a', f'127.0.0.1:{port}')


def _decided(changes):
    taken = []
    for _ in changes:
        future = futures.Future()
        future.set_result(Ok(DECISION))
        taken.append(future)
    return taken


def test_changes_reach_the_owner_as_they_were(loop) -> None:
    received = []

    def accept(number, changes):
        received.append((number, changes))
        return _decided(changes)

    owner = _serve(loop, accept)
    client = ledger_peers.LedgerClient(loop.loop, None)
    claim = test_ledger.make_claim(key_unix_s=5.25)
    answer = ledger_peers.WholeAnswer(201, (('A', 'b'), ('A', 'c')), b'\x00')
    settle = order.Settle(claim, order.OrderState.DONE, answer)
    decided = client.forward(owner, 3, [claim, settle])
    client.close()
    assert decided == Ok([DECISION, DECISION])
    assert received == [(3, [claim, settle])]


def test_an_owner_that_is_gone_took_nothing(loop) -> None:
    (port,) = free_ports(1)
    gone = instance.Instance('gone', 'zac-a', f'127.0.0.1:{port}')
    client = ledger_peers.LedgerClient(loop.loop, None)
    decided = client.forward(gone, 0, [test_ledger.make_claim()])
    assert isinstance(decided, Err)
    assert not decided.err_value.maybe_written


def test_a_slow_owner_may_have_written(loop) -> None:
    owner = _serve(loop, lambda number, changes: [futures.Future()])
    client = ledger_peers.LedgerClient(loop.loop, None)
    decided = client.forward(owner, 0, [test_ledger.make_claim()])
    client.close()
    assert isinstance(decided, Err)
    assert decided.err_value.maybe_written


def test_a_slice_that_does_not_exist_is_refused(loop) -> None:
    def accept(number, changes):
        raise ValueError(f'no slice {number}')

    owner = _serve(loop, accept)
    client = ledger_peers.LedgerClient(loop.loop, None)
    decided = client.forward(owner, 9, [test_ledger.make_claim()])
    client.close()
    assert isinstance(decided, Err)
    assert decided.err_value.message == 'no slice 9'


@hypothesis.given(
    st.sampled_from(Verdict),
    st.none()
    | st.builds(
        ledger_peers.WholeAnswer,
        st.integers(100, 599),
        st.just(()),
        st.binary(),
    ),
    st.floats(0, 1e10),
)
def test_decisions_survive_the_wire(verdict, answer, deadline_unix_s) -> None:
    decision = order.Decision(verdict, answer, deadline_unix_s)
    message = ledger_peers.decision_to_message(decision)
    assert ledger_peers.decision_from_message(message) == decision
