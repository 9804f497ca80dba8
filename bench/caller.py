"""Callers: send arrivals at their times and note what came back."""

import asyncio
from collections.abc import Callable
import json
import time

import attrs

from . import http_client
from .arrivals import Arrival

GRACE_S = 3.0
CUT = 'cut'
GAVE_UP = 'gave up'
NOT_CONNECTED = 'not connected'
LAG_PERIOD_S = 0.05


@attrs.define
class Outcome:
    """What came of one arrival.

    Attributes:
        arrival: the arrival.
        status: HTTP status, or 0 without an answer.
        run: "not-run" or "unknown" of a refusal, or ''.
        code: code of a refusal, or ''.
        fault: what was wrong with an answer that was not whole, or ''.
        first_token_s: time to the first token, or -1.
        gaps_s: times between tokens.
        took_s: time to the end.
        text: text of the tokens.
        tries: connections tried.
    """

    arrival: Arrival
    status: int = 0
    run: str = ''
    code: str = ''
    fault: str = ''
    first_token_s: float = -1.0
    gaps_s: list[float] = attrs.field(factory=list)
    took_s: float = 0.0
    text: str = ''
    tries: int = 0

    @property
    def good(self) -> bool:
        """Whether the whole answer came within the deadline."""
        return (
            self.status == 200
            and not self.fault
            and self.took_s <= self.arrival.deadline_s
        )

    @property
    def cut(self) -> bool:
        """Whether the connection broke off, which the caller can see."""
        return self.fault.startswith(CUT)

    @property
    def false(self) -> bool:
        """Whether an answer passed for whole that was not its own whole."""
        seen = self.fault in ('', GAVE_UP, NOT_CONNECTED) or self.cut
        return self.status == 200 and not seen and not self.code


# Gives the address for a try and what to call once the call is over.
Choose = Callable[[Arrival, int], tuple[str, Callable[[], None]]]


@attrs.define
class Callers:
    """All callers of a run.

    Attributes:
        choose: chooses the address for a try.
        prefix: path below which plain services are found, or ''.
        outcomes: what came back so far.
        waiting: calls that are under way.
        worst_lag_s: worst delay of this process's own event loop.
    """

    choose: Choose
    prefix: str = '/services/'
    outcomes: list[Outcome] = attrs.field(factory=list)
    waiting: int = 0
    worst_lag_s: float = 0.0

    async def run(self, arrivals: list[Arrival]) -> None:
        """Send all arrivals at their times and wait for their ends."""
        start_s = time.monotonic()
        lag = asyncio.create_task(self._watch_lag())
        calls = []
        for arrival in arrivals:
            await asyncio.sleep(arrival.at_s + start_s - time.monotonic())
            calls.append(asyncio.create_task(self._call(arrival)))
        await asyncio.gather(*calls)
        lag.cancel()

    async def _watch_lag(self) -> None:
        while True:
            due_s = time.monotonic() + LAG_PERIOD_S
            await asyncio.sleep(LAG_PERIOD_S)
            lag_s = time.monotonic() - due_s
            self.worst_lag_s = max(self.worst_lag_s, lag_s)

    async def _call(self, arrival: Arrival) -> None:
        outcome = Outcome(arrival)
        self.waiting += 1
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(arrival.deadline_s + GRACE_S):
                await self._try(outcome, started_s)
        except http_client.NotConnected:
            outcome.fault = NOT_CONNECTED
        except TimeoutError:  # a kind of OSError, so it goes before that
            outcome.fault = GAVE_UP
        except (http_client.AnswerBroken, OSError, ValueError) as error:
            outcome.fault = f'{CUT}: {type(error).__name__}'
        finally:
            self.waiting -= 1
        outcome.took_s = time.monotonic() - started_s
        self.outcomes.append(outcome)

    async def _try(self, outcome: Outcome, started_s: float) -> None:
        arrival = outcome.arrival
        path = arrival.path
        if arrival.service and self.prefix:
            path = f'{self.prefix}{arrival.service}{path}'
        call, done = await self._connect(outcome, path)
        try:
            head = await call.head()
            outcome.status = head.status
            outcome.run = head.headers.get('x-run', '')
            if head.headers.get('content-type', '').startswith('text/event'):
                await self._read_events(call, head, outcome, started_s)
            else:
                body = b''.join([part async for part in call.body(head)])
                _note_body(outcome, body)
        finally:
            call.close()
            done()

    async def _connect(
        self, outcome: Outcome, path: str
    ) -> tuple[http_client.Call, Callable[[], None]]:
        arrival = outcome.arrival
        while True:
            address, done = self.choose(arrival, outcome.tries)
            outcome.tries += 1
            try:
                call = await http_client.send(
                    address,
                    arrival.method,
                    path,
                    arrival.headers(),
                    arrival.encoded_body(),
                )
                return call, done
            except http_client.NotConnected:
                done()
                if outcome.tries >= 3:
                    raise

    async def _read_events(
        self,
        call: http_client.Call,
        head: http_client.Head,
        outcome: Outcome,
        started_s: float,
    ) -> None:
        last_s = 0.0
        pending = b''
        whole = False
        async for part in call.body(head):
            now_s = time.monotonic()
            *events, pending = (pending + part).split(b'\n\n')
            tokens = [e for e in events if e.startswith(b'data: {')]
            whole = whole or b'data: [DONE]' in events
            for event in events:
                _note_event(outcome, event)
            if not tokens:
                continue
            if outcome.first_token_s < 0:
                outcome.first_token_s = now_s - started_s
            else:
                gap_s = (now_s - last_s) / len(tokens)
                outcome.gaps_s.extend([gap_s] * len(tokens))
            last_s = now_s
        if not whole and not outcome.code:
            outcome.fault = 'no [DONE]'


def _note_event(outcome: Outcome, event: bytes) -> None:
    if event.startswith(b'event: error'):
        _note_refusal(outcome, event.partition(b'data: ')[2])
        outcome.fault = 'refused in the stream'
    elif event.startswith(b'data: {'):
        choice = json.loads(event.removeprefix(b'data: '))['choices'][0]
        outcome.text += choice['delta'].get('content', '')


def _note_body(outcome: Outcome, body: bytes) -> None:
    if outcome.status == 200:
        value = json.loads(body)
        named = value.get('request_id', outcome.arrival.id)
        if named != outcome.arrival.id:
            outcome.fault = 'answer of another request'
    else:
        _note_refusal(outcome, body)


def _note_refusal(outcome: Outcome, body: bytes) -> None:
    try:
        error = json.loads(body)['error']
    except (ValueError, KeyError, TypeError):
        outcome.code = 'unreadable'
        return
    outcome.run = error.get('run', outcome.run)
    outcome.code = str(error.get('code', 'refused'))
