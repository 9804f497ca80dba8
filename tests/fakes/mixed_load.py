"""A seeded load of streams, questions, orders and lookups, with records."""

from concurrent import futures
import json
import random
import threading
import time
from typing import Any

import attrs
import urllib3

from . import engine_values
from . import fleet as fleet_module

KEY = 'example-key-of-carniceros-norte'
SERVICE_PATH = '/services/pedidos-app'
COMPLETIONS_PATH = '/v1/chat/completions'
DEADLINE_MS = 8000
PAUSE_S = 0.02
KINDS = ('stream', 'question', 'order', 'lookup')


@attrs.frozen
class Work:
    """A call as a caller makes it.

    Attributes:
        id: request id, used once.
        kind: one of KINDS.
        instance: instance that it is sent to.
        key: key of an order, or ''.
    """

    id: str
    kind: str
    instance: str
    key: str = ''


@attrs.frozen
class Outcome:
    """What a caller got.

    Attributes:
        work: the call.
        began_s: monotonic time at which it was sent.
        ended_s: monotonic time at which its answer ended.
        status: status, or 0 for a broken connection.
        run: what an explicit error says of the run, or ''.
        body: body of the answer, or what broke.
    """

    work: Work
    began_s: float
    ended_s: float
    status: int
    run: str
    body: bytes

    @property
    def whole(self) -> bool:
        """Whether the caller was told that all went well."""
        return self.status == 200 and not self.run


class Load:
    """Callers that follow a seed, and what they got."""

    def __init__(self, fleet: fleet_module.Fleet, seed: int) -> None:
        self.outcomes: list[Outcome] = []
        self._fleet = fleet
        self._seed = seed
        self._lock = threading.Lock()

    def run(self, callers: int, duration_s: float) -> None:
        """Call from so many threads, for a time, and wait for the answers."""
        until_s = time.monotonic() + duration_s
        with futures.ThreadPoolExecutor(callers) as pool:
            works = [
                pool.submit(self._call_until, until_s, number)
                for number in range(callers)
            ]
        for work in works:
            work.result()

    def send(self, work: Work) -> Outcome:
        """Make one call and keep what came of it."""
        began_s = time.monotonic()
        try:
            status, run, body = self._send(work)
        except urllib3.exceptions.HTTPError as error:
            status, run, body = 0, '', repr(error).encode()
        ended_s = time.monotonic()
        outcome = Outcome(work, began_s, ended_s, status, run, body)
        with self._lock:
            self.outcomes.append(outcome)
        return outcome

    def _call_until(self, until_s: float, number: int) -> None:
        choices = random.Random(f'{self._seed}-{number}')
        names = sorted(self._fleet.instances)
        sent = 0
        while time.monotonic() < until_s:
            sent += 1
            kind = choices.choice(KINDS)
            first, second = choices.sample(names, 2)
            work = Work(f'{number}-{sent}', kind, first)
            if kind == 'order':
                self._order_and_repeat(work, second, choices.random() < 0.5)
            else:
                self.send(work)
            time.sleep(PAUSE_S)

    def _order_and_repeat(self, work: Work, other: str, at_once: bool) -> None:
        first = attrs.evolve(work, key=f'key-{work.id}')
        repeat = attrs.evolve(first, id=f'{work.id}-again', instance=other)
        if not at_once:
            self.send(first)
            self.send(repeat)
            return
        with futures.ThreadPoolExecutor(2) as pool:
            list(pool.map(self.send, (first, repeat)))

    def _send(self, work: Work) -> tuple[int, str, bytes]:
        method, path, body = _request(work)
        headers = {'X-Request-Id': work.id}
        if work.key:
            headers['Idempotency-Key'] = work.key
            headers['X-Deadline-Ms'] = str(DEADLINE_MS)
        answer = self._fleet.call(
            work.instance, method, path, KEY, body, headers
        )
        run = answer.headers.get('X-Run', '') or _run_in_stream(answer.data)
        return answer.status, run, answer.data


def is_right(outcome: Outcome) -> bool:
    """Return whether an answer has all and only the text that it should."""
    work = outcome.work
    if work.kind == 'stream':
        return _stream_text(outcome.body) == _expected(work)
    value = json.loads(outcome.body)
    if work.kind == 'question':
        return value['choices'][0]['message']['content'] == _expected(work)
    if work.kind == 'lookup':
        return value == {'item': _item(work), 'count': 1000}
    return value['key'] == work.key and value['receipt'] != ''


def _request(work: Work) -> tuple[str, str, Any]:
    if work.kind == 'lookup':
        return 'GET', f'{SERVICE_PATH}/stock/{_item(work)}', None
    if work.kind == 'order':
        return 'POST', f'{SERVICE_PATH}/member-orders', {'item': work.key}
    body = {
        'model': 'recipes',
        'messages': _messages(work),
        'max_tokens': _tokens(work),
        'stream': work.kind == 'stream',
    }
    return 'POST', COMPLETIONS_PATH, body


def _item(work: Work) -> str:
    return f'item-{work.id}'


def _messages(work: Work) -> list[dict[str, Any]]:
    return [{'role': 'user', 'content': f'How long for {work.id}? ' * 8}]


def _tokens(work: Work) -> int:
    return 10 + len(work.id) * 5


def _expected(work: Work) -> str:
    return engine_values.expected_answer(_messages(work), 'v1', _tokens(work))


def _stream_text(body: bytes) -> str:
    """Return the text of a stream, or '' if it has no end."""
    events = body.decode().split('\n\n')
    if events[-2:] != ['data: [DONE]', '']:
        return ''
    values = [json.loads(e.removeprefix('data: ')) for e in events[:-2]]
    return ''.join(v['choices'][0]['delta']['content'] for v in values)


def _run_in_stream(body: bytes) -> str:
    """Return what the error at the end of a stream says of the run."""
    _, mark, text = body.partition(b'event: error\ndata: ')
    if not mark:
        return ''
    return str(json.loads(text)['error']['run'])
