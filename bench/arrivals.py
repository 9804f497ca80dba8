"""Seeded streams of arrivals."""

from collections.abc import Callable
import json
from typing import Any

import attrs
import numpy

from .mixes import Library
from .mixes import Work

KEY_PREFIX = 'example-key-of-'
TOKEN_CHARS = 4
STOCK_ITEMS = 200


@attrs.frozen
class Arrival:
    """One request and when it is sent.

    Attributes:
        id: request id.
        at_s: time after the start of the run.
        kind: kind of work in the mix.
        customer: customer who sends it.
        tier: tier asked for.
        method: HTTP method.
        service: plain service that it goes to, or '' for a completion.
        path: path at the target.
        body: JSON value of the body, or None.
        deadline_s: time for the whole answer.
    """

    id: str
    at_s: float
    kind: str
    customer: str
    tier: str
    method: str
    service: str
    path: str
    body: dict[str, Any] | None
    deadline_s: float

    @property
    def model(self) -> bool:
        """Whether a model engine answers."""
        return not self.service

    def headers(self) -> dict[str, str]:
        """Return the headers that the caller sends."""
        headers = {
            'Authorization': f'Bearer {KEY_PREFIX}{self.customer}',
            'X-Tier': self.tier,
            'X-Deadline-Ms': str(int(self.deadline_s * 1000)),
            'X-Request-Id': self.id,
        }
        if self.method == 'POST' and self.service:
            headers['Idempotency-Key'] = f'key-{self.id}'
        return headers

    def encoded_body(self) -> bytes:
        """Return the body as it is sent."""
        return b'' if self.body is None else json.dumps(self.body).encode()


def arrivals(
    works: tuple[Work, ...],
    seed: int,
    duration_s: float,
    rate_per_s: Callable[[float], float],
    most_rate_per_s: float,
) -> list[Arrival]:
    """Draw the arrivals of a run.

    Args:
        works: the mix.
        seed: seed of all random streams.
        duration_s: length of the run.
        rate_per_s: rate at a time after the start.
        most_rate_per_s: highest rate that rate_per_s gives.

    Returns:
        Arrivals by time; the same seed draws the same requests.
    """
    times, choices, texts = (
        numpy.random.default_rng(sequence)
        for sequence in numpy.random.SeedSequence(seed).spawn(3)
    )
    libraries = {work.library for work in works if work.library}
    documents: dict[Library | None, list[str]] = {None: []}
    for library in sorted(libraries, key=lambda library: library.name):
        documents[library] = _documents(library, texts)
    shares = numpy.array([work.share for work in works])
    drawn: list[Arrival] = []
    at_s = 0.0
    while (at_s := at_s + times.exponential(1 / most_rate_per_s)) < duration_s:
        if times.random() * most_rate_per_s > rate_per_s(at_s):
            continue
        work = works[choices.choice(len(works), p=shares / shares.sum())]
        request_id = f'r{seed}-{len(drawn)}'
        drawn.append(
            _arrival(work, request_id, at_s, documents[work.library], choices)
        )
    return drawn


def _arrival(
    work: Work,
    request_id: str,
    at_s: float,
    documents: list[str],
    choices: numpy.random.Generator,
) -> Arrival:
    names = list(work.customers)
    customer = names[choices.choice(len(names), p=[*work.customers.values()])]
    path = work.path
    body: dict[str, Any] | None = None
    if work.model:
        path = '/v1/chat/completions'
        body = _completion(work, documents, choices)
    elif work.method == 'GET':
        path = f'{path}/item-{choices.integers(STOCK_ITEMS)}'
    else:
        body = {'item': int(choices.integers(STOCK_ITEMS)), 'count': 1}
    return Arrival(
        id=request_id,
        at_s=at_s,
        kind=work.kind,
        customer=customer,
        tier=work.tier,
        method='POST' if work.model else work.method,
        service=work.service,
        path=path,
        body=body,
        deadline_s=work.deadline_s,
    )


def _completion(
    work: Work, documents: list[str], choices: numpy.random.Generator
) -> dict[str, Any]:
    # Few documents get most of the questions.
    rank = int(choices.zipf(1.3)) - 1 if documents else 0
    document = documents[rank % len(documents)] if documents else ''
    question = _text(_between(work.question_tokens, choices), choices)
    messages = [
        {'role': 'system', 'content': document},
        {'role': 'user', 'content': question},
    ]
    return {
        'model': work.model,
        'messages': messages if documents else messages[1:],
        'max_tokens': _between(work.answer_tokens, choices),
        'stream': True,
    }


def _documents(library: Library, texts: numpy.random.Generator) -> list[str]:
    return [
        _text(_between(library.document_tokens, texts), texts)
        for _ in range(library.documents)
    ]


def _between(bounds: tuple[int, int], choices: numpy.random.Generator) -> int:
    return int(choices.integers(bounds[0], bounds[1], endpoint=True))


def _text(tokens: int, choices: numpy.random.Generator) -> str:
    words = choices.integers(0, 0xFFF, tokens, endpoint=True)
    return ''.join(f'{word:03x} ' for word in words)
