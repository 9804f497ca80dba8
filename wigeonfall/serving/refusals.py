"""Encodes refusals as HTTP answers and stream events."""

import json
import math

from ..model.answer import Answer
from ..model.refusal import Refusal

_JSON_TYPE = 'application/json'


def refusal_json(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of a refusal."""
    error = {
        'code': refusal.code.label,
        'run': refusal.run.value,
        'message': refusal.message,
        'request_id': request_id,
    }
    return json.dumps({'error': error}).encode()


def refusal_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the error event that ends a stream already begun."""
    body = refusal_json(refusal, request_id)
    return b'event: error\ndata: ' + body + b'\n\n'


def refusal_answer(refusal: Refusal, request_id: str) -> Answer:
    """Return the HTTP answer for a refusal."""
    body = refusal_json(refusal, request_id)
    headers = [
        ('Content-Type', _JSON_TYPE),
        ('Content-Length', str(len(body))),
        ('X-Request-Id', request_id),
        ('X-Run', refusal.run.value),
    ]
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append(('Retry-After', str(seconds)))
    return Answer(refusal.code.status, tuple(headers), iter((body,)))
