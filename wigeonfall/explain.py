"""Finds out from the logs of all instances what became of one request."""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from .events import Event
from .recorder import Entry

CONTEXT_MS = 2000  # events of an instance this long before a request
_OUTCOMES = frozenset(
    event.number
    for event in (
        Event.ANSWER_FORWARDED,
        Event.REQUEST_NOT_SERVED,
        Event.CALL_REJECTED,
        Event.CALLER_LEFT,
        Event.REQUEST_ANSWERED,
        Event.REQUEST_REFUSED,
    )
)
_CONTEXT = frozenset(
    event.number
    for event in (
        Event.PROCESS_STARTED,
        Event.STOP_BEGUN,
        Event.MACHINE_SUSPENDED,
        Event.LOG_LINES_DROPPED,
        Event.TABLE_IN_FORCE,
        Event.TARGETS_CHANGED,
        Event.WATCH_LOST,
        Event.WATCH_REGAINED,
        Event.SNAPSHOT_LOADED,
        Event.STORE_RESTORED,
        Event.OBJECTS_LOST,
        Event.OBJECT_WRITTEN_AGAIN,
        Event.VERSION_EVALUATED,
        Event.PEER_UNREACHABLE,
        Event.PEER_REACHABLE,
        Event.ARBITER_CHOSEN,
        Event.TARGET_BACKED_OFF,
    )
)


@attrs.frozen
class Story:
    """What the logs say of one request.

    Attributes:
        request_id: identifier of the request.
        entries: events of the request, and of its instance around it.
        cause: what decided its end, in one sentence.
    """

    request_id: str
    entries: tuple[Entry, ...]
    cause: str


def tell(entries: Sequence[Entry], request_id: str) -> Story:
    """Return the story of a request.

    Args:
        entries: events of all instances, in causal order.
        request_id: identifier that its caller gave it.
    """
    own = [e for e in entries if e.fields.get('request_id') == request_id]
    if not own:
        return Story(request_id, (), 'the logs do not name this request')
    instances = {entry.instance for entry in own}
    first_ms = own[0].stamp.time_ms - CONTEXT_MS
    last_ms = own[-1].stamp.time_ms
    targets = {e.fields.get('target') for e in own} - {None, ''}
    told = tuple(
        entry
        for entry in entries
        if entry.fields.get('request_id') == request_id
        or first_ms <= entry.stamp.time_ms <= last_ms
        and (
            entry.instance in instances
            and entry.number in _CONTEXT
            or entry.number == Event.ATTEMPT_FAILED.number
            and entry.fields.get('target') in targets
        )
    )
    return Story(request_id, told, _cause(own))


def _cause(own: Iterable[Entry]) -> str:
    failures = []
    end: Entry | None = None
    for entry in own:
        if entry.number == Event.ATTEMPT_FAILED.number:
            failures.append(entry)
        elif entry.number in _OUTCOMES:
            end = entry
    if end is None:
        return (
            'the instance did not live to answer it'
            if not failures
            else f'no end is logged after {_failure(failures[-1])}'
        )
    return _end(end, failures)


def _end(end: Entry, failures: Sequence[Entry]) -> str:
    fields = end.fields
    after = f', after {_failure(failures[-1])}' if failures else ''
    if end.number == Event.CALLER_LEFT.number:
        where = fields.get('target')
        at = f'while {where} worked on it' if where else 'while it waited'
        return f'its caller left after {fields.get("total_ms")} ms {at}{after}'
    if end.number == Event.CALL_REJECTED.number:
        return f'rejected with {fields.get("status")}: {fields.get("reason")}'
    if end.number == Event.REQUEST_NOT_SERVED.number:
        ran = 'it may have run' if fields.get('ran') else 'it did not run'
        status = fields.get('status') or 'a broken answer'
        waited = fields.get('waited_ms')
        return (
            f'ended with {status}: {fields.get("reason")};'
            f' {ran}, it waited {waited} ms{after}'
        )
    if end.number == Event.ANSWER_FORWARDED.number:
        return (
            f'answered {fields.get("status")} by {fields.get("target")};'
            f' waited {fields.get("waited_ms")} ms, first event after'
            f' {fields.get("first_ms")} ms, longest pause'
            f' {fields.get("longest_pause_ms")} ms{after}'
        )
    return f'{end.message}: {fields}'


def _failure(entry: Entry) -> str:
    fields = entry.fields
    return (
        f'an attempt at {fields.get("target")} failed'
        f' ({fields.get("kind")}: {fields.get("detail")})'
    )
