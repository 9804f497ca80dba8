"""A page that tells where a request would go now, and why.

It takes the decisions of a real request, in their order, on copies of the
state, and changes nothing.
"""

from collections.abc import Callable
from collections.abc import Mapping
import http
import json
import time
from typing import Any
import urllib.parse

import attrs
from result import Err

from ..model.routing import KeyHolder
from ..model.routing import Route
from ..policy.room.rehearsal import TargetScore
from ..policy.routing import RoutingIndex
from ..settings import InstanceSettings
from .calls import Call
from .cluster_state import ClusterState
from .customer_quotas import CustomerQuotas
from .final_answers import SHUTDOWN_RETRY_S
from .header_names import HeaderNames
from .part_watch import PartWatch
from .peers import Peers
from .pending_requests import make_charge
from .pending_requests import make_pending
from .rollouts import Rollouts
from .routed_request import route_call
from .routed_request import RoutedRequest
from .scheduler import Scheduler
from .slot_client import SlotClient

PATH = b'/place'
KEY_HEADER = b'customer-key'  # keys do not belong into paths
REQUEST_ID = 'place'
MAX_TARGETS = 20  # told in an answer
PARAMETERS = frozenset(
    {
        'route',
        'host',
        'path',
        'customer',
        'prompt_tokens',
        'answer_tokens',
        'prefix',
        'data_center',
        'request_id',
        'time_left_ms',
        'retry',
    }
)


class PlaceError(Exception):
    """The question cannot be answered."""


@attrs.frozen
class PlaceContext:
    """What the page needs.

    Attributes:
        names: header names.
        instance: name and data centre of this instance.
        cluster_state: the routing table and the targets in force.
        part_watch: tells which requests must not be sent.
        quotas: limits of customers.
        rollouts: tells which targets may get a request, by their versions.
        scheduler: scheduler of this instance.
        slot_client: knows the arbiter in use.
        peers: the peers of this instance.
        leaving: returns whether this instance is shutting down.
    """

    names: HeaderNames
    instance: InstanceSettings
    cluster_state: ClusterState
    part_watch: PartWatch
    quotas: CustomerQuotas
    rollouts: Rollouts
    scheduler: Scheduler
    slot_client: SlotClient
    peers: Peers
    leaving: Callable[[], bool]


def answer(context: PlaceContext, call: Call) -> tuple[int, bytes]:
    """Return the status and the body of the page."""
    try:
        told = _place(context, call, time.monotonic())
        status = http.HTTPStatus.OK
    except PlaceError as error:
        told = {'error': str(error)}
        status = http.HTTPStatus.BAD_REQUEST
    return status, json.dumps(told).encode()


def _place(context: PlaceContext, call: Call, now_s: float) -> dict[str, Any]:
    asked = _parameters(call)
    index = context.cluster_state.routing_index
    if index is None:
        raise PlaceError('this instance has no configuration yet')
    _check_data_center(context, asked.get('data_center'), now_s)
    made = _make_call(context.names, index, asked, call.header(KEY_HEADER))
    made = attrs.evolve(made, arrived_s=now_s)
    if context.leaving():
        return _refused(503, 'this instance stops', SHUTDOWN_RETRY_S)
    routed = route_call(index, made, context.names)
    if isinstance(routed, Err):
        rejection = routed.err_value
        return _refused(rejection.status, rejection.reason, None)
    request = routed.ok_value
    told = {
        'route': request.route.name,
        'service': request.service,
        'customer': request.customer.name if request.customer else '',
        'rank': request.rank,
        'inputs': _inputs(context, now_s),
    }
    return told | _decide(context, request, asked.get('retry') == '1', now_s)


def _decide(
    context: PlaceContext, request: RoutedRequest, is_retry: bool, now_s: float
) -> dict[str, Any]:
    hold = context.part_watch.hold(request)
    if hold is not None:
        reason = f'prompt part {hold.part} crashed targets'
        return _refused(503, reason, hold.left_s)
    arbiter = context.slot_client.arbiter
    if arbiter:
        return {
            'outcome': 'elsewhere',
            'reason': f'{arbiter} places the requests of this instance',
            'ask': context.slot_client.arbiter_address,
        }
    pending = make_pending(
        request,
        f'{REQUEST_ID}/{request.id}',
        is_retry,
        lambda target: context.rollouts.allows(request, target),
        now_s,
    )
    rehearsal = context.scheduler.rehearse(request.service, pending, now_s)
    told: dict[str, Any] = {
        'targets': [_score(s) for s in rehearsal.scores[:MAX_TARGETS]],
        'targets_known': len(rehearsal.scores),
    }
    charge = make_charge(request, is_retry)
    over = None
    if charge is not None:
        charge = attrs.evolve(charge, has_room=rehearsal.has_room)
        over = context.quotas.would_refuse(charge, now_s)
    if over is not None:
        reason = (
            f'customer over its limit: {request.tokens:.0f} more than'
            f' {over.used_tokens:.0f} of {over.limit_tokens:.0f} tokens'
        )
        return told | _refused(429, reason, over.delay_s)
    if rehearsal.expired:
        reason = 'no target would have room in time'
        return told | _refused(503, reason, rehearsal.retry_after_s)
    if rehearsal.target:
        return told | {'outcome': 'target', 'target': rehearsal.target}
    return told | {
        'outcome': 'waits',
        'reason': 'no target is open, or others go first',
        'ahead': rehearsal.ahead,
        'wait_ms': _ms(rehearsal.wait_s),
        'refused_after_ms': _ms(pending.queue_deadline_s - now_s),
    }


def _inputs(context: PlaceContext, now_s: float) -> dict[str, Any]:
    """Return what decisions rest on besides targets, and its age."""
    index = context.cluster_state.routing_index
    return {
        'instance': context.instance.name,
        'table_version': index.table.version if index else 0,
        'store_reachable': context.cluster_state.store_reachable,
        'peers': context.peers.ages_ms(now_s),
    }


def _parameters(call: Call) -> dict[str, str]:
    query = call.path.partition(b'?')[2].decode('latin-1')
    try:
        asked = dict(urllib.parse.parse_qsl(query, strict_parsing=bool(query)))
    except ValueError as error:
        raise PlaceError(f'the query cannot be read: {error}') from error
    unknown = sorted(asked.keys() - PARAMETERS)
    if unknown:
        raise PlaceError(f'unknown parameter {unknown[0]!r}')
    return asked


def _check_data_center(
    context: PlaceContext, asked: str | None, now_s: float
) -> None:
    own = context.instance.data_center
    if asked in (None, own):
        return
    instances = context.peers.addresses_by_data_center(now_s)
    if asked not in instances:
        known = ', '.join(sorted({own, *instances}))
        raise PlaceError(
            f'no instance in data centre {asked!r} is heard; known: {known}'
        )
    raise PlaceError(
        f'this instance is in data centre {own!r}; ask {instances[asked][0]}'
        f' for {asked!r}'
    )


def _make_call(
    names: HeaderNames,
    index: RoutingIndex,
    asked: Mapping[str, str],
    key: bytes,
) -> Call:
    host, path = asked.get('host', ''), asked.get('path', '')
    if 'route' in asked:
        route = _route(index, asked['route'])
        host, path = route.host, route.path_prefix
    elif not (host and path):
        raise PlaceError('name a route, or a host and a path')
    if 'customer' in asked:
        customer = _customer(index, asked['customer'])
        if not customer.keys:
            raise PlaceError(f'customer {customer.name!r} has no key')
        key = customer.keys[0].encode('latin-1')
    tokens = [
        _number(asked, name) for name in ('prompt_tokens', 'answer_tokens')
    ]
    headers = [
        (b'host', host.encode('latin-1', 'replace')),
        (
            names.request_id.lower(),
            asked.get('request_id', REQUEST_ID).encode('latin-1', 'replace'),
        ),
        (names.key.lower(), key),
        (
            names.prompt_parts.lower(),
            asked.get('prefix', '').encode('latin-1', 'replace'),
        ),
    ]
    if any(tokens):
        headers.append((names.token_counts.lower(), b'%d,%d' % tuple(tokens)))
    if 'time_left_ms' in asked:
        left_ms = _number(asked, 'time_left_ms')
        headers.append((names.time_left_ms.lower(), b'%d' % left_ms))
    return Call(
        b'POST', path.encode('latin-1', 'replace'), tuple(headers), b'', 0.0
    )


def _route(index: RoutingIndex, name: str) -> Route:
    for route in index.table.routes:
        if route.name == name:
            return route
    known = ', '.join(sorted(r.name for r in index.table.routes)[:MAX_TARGETS])
    raise PlaceError(f'no route {name!r}; there are {known}')


def _customer(index: RoutingIndex, name: str) -> KeyHolder:
    customer = index.by_name.get(name)
    if customer is None:
        raise PlaceError(f'no customer {name!r}')
    return customer


def _number(asked: Mapping[str, str], name: str) -> int:
    value = asked.get(name, '0')
    if not (value.isascii() and value.isdigit()):
        raise PlaceError(f'{name} is {value!r}, not a whole number')
    return int(value)


def _refused(
    status: int, reason: str, retry_after_s: float | None
) -> dict[str, Any]:
    return {
        'outcome': 'refused',
        'status': status,
        'reason': reason,
        'retry_after_ms': None
        if retry_after_s is None
        else _ms(retry_after_s),
    }


def _score(score: TargetScore) -> dict[str, Any]:
    age_s = score.measured_age_s
    return {
        'target': score.target,
        'data_center': score.data_center,
        'version': score.version,
        'standing': score.standing.value,
        'cost_ms': _ms(score.cost_s),
        'first_ms': _ms(score.first_s),
        'queue_ms': _ms(score.queue_s),
        'read_ms': _ms(score.read_s),
        'answer_ms': _ms(score.answer_s),
        'kept_tokens': round(score.kept_tokens),
        'outstanding': score.outstanding,
        'limit': score.limit,
        'failure_share': round(score.failure_rate, 3),
        'backed_off_ms': _ms(score.backoff_s),
        'measured_age_ms': None if age_s is None else _ms(age_s),
    }


def _ms(time_s: float) -> float:
    return round(time_s * 1000, 1)
