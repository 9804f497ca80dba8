"""Tests of the engine stand-in."""

from collections.abc import Iterator
import json
import threading
import time
from typing import Any

import pytest
import urllib3

from . import engine
from . import engine_values

MESSAGES = [{'role': 'user', 'content': 'how long does biltong dry? ' * 160}]


@pytest.fixture
def url() -> Iterator[str]:
    handle = engine.start(decode_tokens_per_s=500, report_lag_ms=0)
    yield f'http://{handle.address}'
    handle.stop()


def _ask(
    url: str, tokens: int, headers: dict[str, str] | None = None
) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        'POST',
        url + '/v1/chat/completions',
        json={'messages': MESSAGES, 'max_tokens': tokens, 'stream': True},
        headers={'X-Request-Id': 'r', 'X-Attempt-Id': 'a', **(headers or {})},
        preload_content=False,
        retries=False,
        timeout=30,
    )


def _text(body: bytes) -> str:
    events = [e.removeprefix(b'data: ') for e in body.split(b'\n\n') if e]
    assert events[-1] == b'[DONE]'
    choices = [json.loads(event)['choices'][0] for event in events[:-1]]
    assert choices == [] or choices[-1]['finish_reason'] == 'stop'
    return ''.join(choice['delta']['content'] for choice in choices)


def _set(url: str, **switches: Any) -> None:
    answer = urllib3.request('POST', url + '/control', json=switches)
    assert answer.status == 200


def _records(url: str) -> Any:
    return urllib3.request('GET', url + '/control').json()['records']


def test_resumed_stream_continues_the_same_text(url: str) -> None:
    whole = _text(_ask(url, 10).data)
    rest = _text(_ask(url, 10, {'X-Resume-Offset': '4'}).data)
    assert whole == engine_values.expected_answer(MESSAGES, 'v1', 10)
    assert rest == whole[4 * 5 :]


def test_second_prompt_is_read_from_the_cache(url: str) -> None:
    first = _ask(url, 1)
    first.read()
    second = _ask(url, 1)
    second.read()
    cached = [int(a.headers['X-Cached-Tokens']) for a in (first, second)]
    records = _records(url)
    assert cached == [0, 4 * 256]
    assert [r['prefilled_tokens'] for r in records] == [1082, 1082 - 4 * 256]


def test_closed_connection_cancels_the_stream(url: str) -> None:
    answer = _ask(url, 5000)
    answer.read(10)
    answer.close()
    deadline_s = time.monotonic() + 20
    while _records(url)[0]['outcome'] == 'running':
        assert time.monotonic() < deadline_s
        time.sleep(0.02)
    assert _records(url)[0]['outcome'] == 'cancelled'
    assert _records(url)[0]['decoded_tokens'] < 5000


def test_requests_above_the_slots_wait(url: str) -> None:
    _set(url, slots=1)
    answers = []

    def ask() -> None:
        answers.append(_ask(url, 100).data)

    threads = [threading.Thread(target=ask) for _ in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    spans = sorted((r['first_token_ms'], r['ended_ms']) for r in _records(url))
    assert len(answers) == 3
    assert spans[0][1] <= spans[1][0] and spans[1][1] <= spans[2][0]


def test_truncated_and_crossed_answers(url: str) -> None:
    _set(url, truncate_after_events=2)
    with pytest.raises(urllib3.exceptions.HTTPError):
        _ask(url, 5).read()
    _set(url, truncate_after_events=-1, crossed_next=1)
    assert _ask(url, 5).headers['X-Attempt-Id'] == 'another'
    assert _ask(url, 5).headers['X-Attempt-Id'] == 'a'


def test_leaving_engine_refuses_new_work(url: str) -> None:
    running = _ask(url, 50)
    _set(url, leaving=True)
    refused = _ask(url, 5)
    marks = (refused.headers['X-Leaving'], refused.headers['X-Run'])
    assert (refused.status, marks) == (503, ('1', 'not-run'))
    assert _text(running.data) != ''


@pytest.mark.parametrize('checks, statuses', [(1, [200, 409]), (0, [200] * 2)])
def test_old_fencing_number(checks: int, statuses: list[int]) -> None:
    identity = engine.target.Identity(checks_fencing=bool(checks))
    handle = engine.start(identity=identity)
    orders = [
        {'order': 'load-version', 'value': f'v{number}', 'fencing': number}
        for number in (7, 6)
    ]
    url = f'http://{handle.address}/manage/orders'
    answers = [urllib3.request('POST', url, json=order) for order in orders]
    handle.stop()
    assert [answer.status for answer in answers] == statuses
