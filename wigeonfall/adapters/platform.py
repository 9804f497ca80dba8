"""The platform's object API and live list over HTTP."""

from typing import Any

from result import Err
from result import Ok
from result import Result

from ..model.instance import Instance
from ..model.target import Target
from ..model.target import TargetState
from ..ports.platform import LiveList
from ..ports.platform import Platform
from ..ports.platform import PlatformError
from ..ports.platform import StoredObject
from .object_http import Client
from .object_http import invalid
from .object_http import make_client
from .object_http import send

_ROOT = '/apis/wigeonfall/v1'
_WATCH_MARGIN_S = 2.0


def make_platform(address: str) -> Platform:
    """Return the calls to the platform at an address.

    Args:
        address: "host:port" by IP number.

    Returns:
        The platform's port.
    """
    client = make_client(address)
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
    client: Client, kind: str, name: str
) -> Result[StoredObject, PlatformError]:
    answer = send(client, 'GET', f'{_ROOT}/{kind}/{name}')
    return answer.and_then(_read_object)


def _list(
    client: Client, kind: str
) -> Result[tuple[StoredObject, ...], PlatformError]:
    answer = send(client, 'GET', f'{_ROOT}/{kind}')
    return answer.and_then(_read_items)


def _create(
    client: Client, kind: str, name: str, value: dict[str, Any]
) -> Result[StoredObject, PlatformError]:
    body = {'metadata': {'name': name}, 'spec': value}
    answer = send(client, 'POST', f'{_ROOT}/{kind}', body)
    return answer.and_then(_read_object)


def _update(
    client: Client, stored: StoredObject
) -> Result[StoredObject, PlatformError]:
    metadata = {'name': stored.name, 'resourceVersion': stored.version}
    body = {'metadata': metadata, 'spec': stored.value}
    path = f'{_ROOT}/{stored.kind}/{stored.name}'
    return send(client, 'PUT', path, body).and_then(_read_object)


def _delete(
    client: Client, kind: str, name: str
) -> Result[None, PlatformError]:
    answer = send(client, 'DELETE', f'{_ROOT}/{kind}/{name}')
    return answer.map(lambda _value: None)


def _watch(
    client: Client, kind: str, since: int, wait_s: float
) -> Result[tuple[StoredObject, ...], PlatformError]:
    query = f'watch=1&resourceVersion={since}&timeoutSeconds={wait_s:g}'
    path = f'{_ROOT}/{kind}?{query}'
    answer = send(client, 'GET', path, read_s=wait_s + _WATCH_MARGIN_S)
    return answer.and_then(_read_items)


def _live_list(client: Client) -> Result[LiveList, PlatformError]:
    return send(client, 'GET', '/live').and_then(_read_live_list)


def _read_object(
    value: dict[str, Any],
) -> Result[StoredObject, PlatformError]:
    try:
        return Ok(_to_object(value))
    except (KeyError, TypeError, ValueError) as error:
        return Err(invalid(repr(error)))


def _read_items(
    value: dict[str, Any],
) -> Result[tuple[StoredObject, ...], PlatformError]:
    try:
        return Ok(tuple(_to_object(item) for item in value['items']))
    except (KeyError, TypeError, ValueError) as error:
        return Err(invalid(repr(error)))


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
        return Err(invalid(repr(error)))


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
