"""The operators' port over HTTP: health, readiness, metrics and events."""

from collections.abc import Callable
from collections.abc import Iterable
import hmac
import json
import threading
from typing import Any

import attrs
from cheroot import wsgi
import prometheus_client

from . import tls

_THREADS = 4
_JSON = 'application/json'
_OPEN_PATHS = frozenset({'/health', '/ready'})


@attrs.frozen
class Page:
    """One answer of the operators' port.

    Attributes:
        status: HTTP status line, such as "200 OK".
        content_type: type of the body.
        body: the whole body.
    """

    status: str
    content_type: str
    body: bytes


@attrs.frozen
class Operators:
    """What the operators' port shows.

    Attributes:
        ready: returns whether the instance takes new calls.
        pages: functions that give the JSON value of each further path.
        key: key for all paths but health and readiness; without one, these
            paths are closed.
        registry: metrics to show.
    """

    ready: Callable[[], bool]
    pages: dict[str, Callable[[], Any]]
    key: str
    registry: prometheus_client.CollectorRegistry


def json_page(value: Any, status: str = '200 OK') -> Page:
    """Return a page that shows a JSON value."""
    return Page(status, _JSON, json.dumps(value).encode())


def make_server(
    address: str,
    operators: Operators,
    tls_adapter: tls.LazyHandshake | None = None,
) -> wsgi.Server:
    """Return the server of the operators' port, which is not started.

    Args:
        address: "host:port" to listen on.
        operators: what the port shows.
        tls_adapter: TLS for the port, or None.
    """
    host, _, port = address.rpartition(':')
    server = wsgi.Server(
        (host, int(port)), _application(operators), numthreads=_THREADS
    )
    server.ssl_adapter = tls_adapter
    return server


def start(server: wsgi.Server) -> str:
    """Serve in a thread and return the bound address."""
    server.prepare()
    threading.Thread(
        target=server.serve, name='operators', daemon=True
    ).start()
    host, port = server.socket.getsockname()[:2]
    return f'{host}:{port}'


def _application(operators: Operators) -> Callable[..., Iterable[bytes]]:
    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        page = _page(operators, environ)
        headers = [
            ('Content-Type', page.content_type),
            ('Content-Length', str(len(page.body))),
        ]
        start_response(page.status, headers)
        return [page.body]

    return application


def _page(operators: Operators, environ: dict[str, Any]) -> Page:
    path = environ['PATH_INFO']
    if path not in _OPEN_PATHS and not _authorized(operators, environ):
        return json_page({'error': 'unauthorized'}, '401 Unauthorized')
    if path == '/health':
        return json_page({'healthy': True})
    if path == '/ready':
        ready = operators.ready()
        status = '200 OK' if ready else '503 Service Unavailable'
        return json_page({'ready': ready}, status)
    if path == '/metrics':
        body = prometheus_client.generate_latest(operators.registry)
        return Page('200 OK', prometheus_client.CONTENT_TYPE_LATEST, body)
    page = operators.pages.get(path)
    if page is None:
        return json_page({'error': 'no such path'}, '404 Not Found')
    return json_page(page())


def _authorized(operators: Operators, environ: dict[str, Any]) -> bool:
    if not operators.key:
        return False
    scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
    same = hmac.compare_digest(key.encode(), operators.key.encode())
    return scheme.lower() == 'bearer' and same
