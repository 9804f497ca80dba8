"""The platform's object API and live list over HTTP."""

from collections.abc import Mapping
import http
import json
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result
import urllib3

from ..model.instance import Instance
from ..model.target import Target
from ..model.target import TargetState
from ..ports.platform import LiveList
from ..ports.platform import Platform
from ..ports.platform import PlatformError
from ..ports.platform import PlatformErrorKind
from ..ports.platform import StoredObject

_ROOT = '/apis/wigeonfall/v1'
_CONNECT_TIMEOUT_S = 0.5
_READ_TIMEOUT_S = 2.0
_WATCH_MARGIN_S = 2.0
_POOL_CONNECTIONS = 16

_KIND_OF_STATUS = {
    http.HTTPStatus.NOT_FOUND: PlatformErrorKind.NOT_FOUND,
    http.HTTPStatus.CONFLICT: PlatformErrorKind.CONFLICT,
    http.HTTPStatus.TOO_MANY_REQUESTS: PlatformErrorKind.RATE_LIMITED,
    http.HTTPStatus.SERVICE_UNAVAILABLE: PlatformErrorKind.UNAVAILABLE,
}


@attrs.frozen
class _Client:
    """A connection pool to the platform at one address."""

    pool: urllib3.PoolManager
    address: str


def make_platform(address: str) -> Platform:
    """Return the calls to the platform at an address.

    Args:
        address: "host:port" by IP number.

    Returns:
        The platform's port.
    """
    pool = urllib3.PoolManager(maxsize=_POOL_CONNECTIONS, retries=False)
    client = _Client(pool, address)
    return Platform(
        get=lambda kind, name: _get(client, kind, name),
        list=lambda kind: _list(client, kind),
        create=lambda kind, name, value: _create(client, kind, name, value),
        update=lambda stored: _update(client, stored),
        delete=lambda kind, name: _delete(client, kind, name),
        watch=lambda kind, since, wait_s: _watch(client, kind, since, wait_s),
        live_list=lambda: _live_list(client),
    )


def _get(
    client: _Client, kind: str, name: str
) -> Result[StoredObject, PlatformError]:
    answer = _send(client, 'GET', f'{_ROOT}/{kind}/{name}')
    return answer.and_then(_read_object)


def _list(
    client: _Client, kind: str
) -> Result[tuple[StoredObject, ...], PlatformError]:
    answer = _send(client, 'GET', f'{_ROOT}/{kind}')
    return answer.and_then(_read_items)


def _create(
    client: _Client, kind: str, name: str, value: dict[str, Any]
) -> Result[StoredObject, PlatformError]:
    body = {'metadata': {'name': name}, 'spec': value}
    answer = _send(client, 'POST', f'{_ROOT}/{kind}', body)
    return answer.and_then(_read_object)


def _update(
    client: _Client, stored: StoredObject
) -> Result[StoredObject, PlatformError]:
    metadata = {'name': stored.name, 'resourceVersion': stored.version}
    body = {'metadata': metadata, 'spec': stored.value}
    path = f'{_ROOT}/{stored.kind}/{stored.name}'
    return _send(client, 'PUT', path, body).and_then(_read_object)


def _delete(
    client: _Client, kind: str, name: str
) -> Result[None, PlatformError]:
    answer = _send(client, 'DELETE', f'{_ROOT}/{kind}/{name}')
    return answer.map(lambda _value: None)


def _watch(
    client: _Client, kind: str, since: int, wait_s: float
) -> Result[tuple[StoredObject, ...], PlatformError]:
    query = f'watch=1&resourceVersion={since}&timeoutSeconds={wait_s:g}'
    path = f'{_ROOT}/{kind}?{query}'
    answer = _send(client, 'GET', path, read_s=wait_s + _WATCH_MARGIN_S)
    return answer.and_then(_read_items)


def _live_list(client: _Client) -> Result[LiveList, PlatformError]:
    return _send(client, 'GET', '/live').and_then(_read_live_list)


def _send(
    client: _Client,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
    read_s: float = _READ_TIMEOUT_S,
) -> Result[dict[str, Any], PlatformError]:
    writes = method != 'GET'
    try:
        response = client.pool.request(
            method,
            f'http://{client.address}{path}',
            json=body,
            timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=read_s),
            retries=False,
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        return Err(_unavailable(str(error), effect_unknown=False))
    except urllib3.exceptions.HTTPError as error:
        return Err(_unavailable(str(error), effect_unknown=writes))
    return _read_response(response, writes)


def _read_response(
    response: urllib3.BaseHTTPResponse, writes: bool
) -> Result[dict[str, Any], PlatformError]:
    if response.status >= http.HTTPStatus.BAD_REQUEST:
        kind = _KIND_OF_STATUS.get(
            http.HTTPStatus(response.status), PlatformErrorKind.INVALID
        )
        return Err(PlatformError(kind, f'status {response.status}'))
    try:
        return Ok(json.loads(response.data or b'{}'))
    except ValueError as error:
        return Err(_unavailable(str(error), effect_unknown=writes))


def _unavailable(message: str, effect_unknown: bool) -> PlatformError:
    return PlatformError(
        PlatformErrorKind.UNAVAILABLE, message, effect_unknown
    )


def _invalid(error: Exception) -> PlatformError:
    return PlatformError(
        PlatformErrorKind.INVALID, f'unreadable answer: {error!r}'
    )


def _read_object(
    value: dict[str, Any],
) -> Result[StoredObject, PlatformError]:
    try:
        return Ok(_to_object(value))
    except (KeyError, TypeError, ValueError) as error:
        return Err(_invalid(error))


def _read_items(
    value: dict[str, Any],
) -> Result[tuple[StoredObject, ...], PlatformError]:
    try:
        return Ok(tuple(_to_object(item) for item in value['items']))
    except (KeyError, TypeError, ValueError) as error:
        return Err(_invalid(error))


def _to_object(value: dict[str, Any]) -> StoredObject:
    metadata = value['metadata']
    return StoredObject(
        kind=value['kind'],
        name=metadata['name'],
        version=int(metadata['resourceVersion']),
        value=value['spec'],
    )


def _read_live_list(
    value: dict[str, Any],
) -> Result[LiveList, PlatformError]:
    try:
        return Ok(
            LiveList(
                tuple(_to_instance(item) for item in value['instances']),
                tuple(_to_target(item) for item in value['targets']),
            )
        )
    except (KeyError, TypeError, ValueError) as error:
        return Err(_invalid(error))


def _to_instance(item: dict[str, Any]) -> Instance:
    return Instance(
        name=item['name'],
        data_center=item['dataCenter'],
        peers_address=item['peersAddress'],
        incarnation=int(item['incarnation']),
    )


def _to_target(item: dict[str, Any]) -> Target:
    return Target(
        name=item['name'],
        service=item['service'],
        data_center=item['dataCenter'],
        address=item['address'],
        incarnation=int(item['incarnation']),
        version=item['version'],
        state=TargetState(item['state']),
    )
