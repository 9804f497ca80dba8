"""Callers over HTTP, served by cheroot with a thread for each call.

Stopping is our own work: cheroot's stop drops connections that it has
accepted and not read, and waits for its threads for a fixed time only.
"""

from collections.abc import Callable
from collections.abc import Iterable
import http
import logging
import threading
import time
from typing import Any

import attrs
from cheroot import server as cheroot_server
from cheroot import wsgi

from ..ports.callers import Call
from ..ports.callers import Handle
from . import tls

_LOGGER = logging.getLogger('wigeonfall.callers')
_IDLE_TIMEOUT_S = 10
_POLL_S = 0.02
_BACKLOG_CONNECTIONS = 1024


@attrs.frozen
class ListenSettings:
    """How calls are taken in.

    Attributes:
        address: "host:port" to listen on.
        threads: calls that are served at once.
        header_limit_bytes: largest head of a call.
        body_limit_bytes: largest body of a call.
        tls_adapter: TLS for the port, or None.
    """

    address: str
    threads: int
    header_limit_bytes: int
    body_limit_bytes: int
    tls_adapter: tls.LazyHandshake | None = None


class _Connection(cheroot_server.HTTPConnection):
    """A connection that its server counts while it is open."""

    def __init__(self, server: 'CallersServer', *args: Any) -> None:
        super().__init__(server, *args)
        self._callers_server = server
        server.connection_opened(self)

    def close(self) -> None:
        """Close the connection."""
        super().close()
        self._callers_server.connection_closed(self)


class CallersServer(wsgi.Server):
    """An HTTP server that can stop without cutting a call."""

    ConnectionClass = _Connection

    def __init__(self, settings: ListenSettings, handle: Handle) -> None:
        host, _, port = settings.address.rpartition(':')
        super().__init__(
            (host, int(port)),
            _make_application(handle, settings.body_limit_bytes),
            numthreads=settings.threads,
            timeout=_IDLE_TIMEOUT_S,
            request_queue_size=_BACKLOG_CONNECTIONS,
        )
        self.ssl_adapter = settings.tls_adapter
        self.max_request_header_size = settings.header_limit_bytes
        self._open: set[_Connection] = set()
        self._open_lock = threading.Lock()
        self._last_change_s = time.monotonic()
        self._thread: threading.Thread | None = None

    def connection_opened(self, connection: _Connection) -> None:
        """Count a connection."""
        with self._open_lock:
            self._open.add(connection)
            self._last_change_s = time.monotonic()

    def connection_closed(self, connection: _Connection) -> None:
        """Count a connection no longer."""
        with self._open_lock:
            self._open.discard(connection)
            self._last_change_s = time.monotonic()

    def open_connections(self) -> int:
        """Return the number of connections that are open."""
        with self._open_lock:
            return len(self._open)

    def begin(self) -> str:
        """Listen, serve in a thread and return the bound address."""
        self.prepare()
        self._thread = threading.Thread(
            target=self.serve, name='callers', daemon=True
        )
        self._thread.start()
        host, port = self.socket.getsockname()[:2]
        return f'{host}:{port}'

    def error_log(
        self, msg: str = '', level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log what cheroot reports, such as a broken connection."""
        _LOGGER.log(level, msg, exc_info=traceback)

    def drain(self, quiet_s: float) -> None:
        """Answer what is there and what still arrives, then stop.

        Each answer from now on closes its connection, and idle connections
        end by the idle timeout. The server stops when no connection has been
        open for a while.

        Args:
            quiet_s: time without any connection after which it stops.
        """
        self.keep_alive_conn_limit = 0
        while not self._quiet(quiet_s, time.monotonic()):
            time.sleep(_POLL_S)
        self.stop()

    def _quiet(self, quiet_s: float, now_s: float) -> bool:
        with self._open_lock:
            idle = not self._open
            return idle and now_s - self._last_change_s >= quiet_s


def _make_application(
    handle: Handle, body_limit_bytes: int
) -> Callable[..., Iterable[bytes]]:
    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        answer = handle(_read_call(environ, body_limit_bytes))
        status = http.HTTPStatus(answer.status)
        start_response(f'{status.value} {status.phrase}', list(answer.headers))
        return answer.body

    return application


def _read_call(environ: dict[str, Any], body_limit_bytes: int) -> Call:
    path = environ['REQUEST_URI']
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }
    if environ.get('CONTENT_TYPE'):
        headers['content-type'] = environ['CONTENT_TYPE']
    return Call(
        method=environ['REQUEST_METHOD'],
        path=path,
        headers=headers,
        body=environ['wsgi.input'].read(body_limit_bytes + 1),
    )
