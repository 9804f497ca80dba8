"""Callers over HTTP, served by cheroot with a thread for each call.

Stopping is our own work: cheroot's stop drops connections that it has
accepted and not read, and waits for its threads for a fixed time only.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import logging
import socket
import threading
import time
from typing import Any

import attrs
from cheroot import server as cheroot_server
from cheroot import wsgi

from ..model import http_status
from ..policy.memory import make_account
from ..ports.callers import Call
from ..ports.callers import HandleCall
from . import tls
from .body_room import BodyRoom

_LOGGER = logging.getLogger('wigeonfall.callers')
_IDLE_TIMEOUT_S = 10
_DRAIN_IDLE_TIMEOUT_S = 3
_POLL_S = 0.02
_WATCH_PERIOD_S = 0.5
_TOO_MANY_CONNECTIONS = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Run: not-run\r\n'
    b'Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
)
_NO_ROOM = (
    ('X-Run', 'not-run'),
    ('Retry-After', '1'),
    ('Connection', 'close'),
    ('Content-Length', '0'),
)
_BACKLOG_CONNECTIONS = 1024


@attrs.frozen
class ListenSettings:
    """How calls are taken in.

    Attributes:
        address: "host:port" to listen on.
        threads: calls that are served at once.
        header_limit_bytes: largest head of a call.
        body_limit_bytes: largest body of a call.
        connections: connections that may be open at once.
        read_timeout_s: time for a caller to send a whole call.
        tls_adapter: TLS for the port, or None.
        memory_mb: memory of the machine, in 2**20 bytes.
    """

    address: str
    threads: int
    header_limit_bytes: int
    body_limit_bytes: int
    connections: int = 1000
    read_timeout_s: float = 30.0
    tls_adapter: tls.LazyHandshake | None = None
    memory_mb: float = 1024.0


class _Connection(cheroot_server.HTTPConnection):
    """A connection that its server counts while it is open."""

    def __init__(self, server: 'CallersServer', *args: Any) -> None:
        super().__init__(server, *args)
        self._callers_server = server
        # The server's own timeout is shorter during a drain.
        self.socket.settimeout(_IDLE_TIMEOUT_S)
        self.reading_since_s: float | None = None
        server.connection_opened(self)

    def communicate(self) -> bool:
        """Serve one call and return whether the connection stays open."""
        self.reading_since_s = time.monotonic()
        self._callers_server.serving.connection = self
        try:
            return super().communicate()
        finally:
            self.reading_since_s = None

    def cut(self) -> None:
        """End a connection that another thread reads from."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        super().close()
        self._callers_server.connection_closed(self)


class CallersServer(wsgi.Server):
    """An HTTP server that can stop without cutting a call."""

    ConnectionClass = _Connection

    def __init__(self, settings: ListenSettings, handle: HandleCall) -> None:
        host, _, port = settings.address.rpartition(':')
        super().__init__(
            (host, int(port)),
            _make_application(
                self,
                handle,
                settings.body_limit_bytes,
                BodyRoom(make_account(settings.memory_mb)),
            ),
            numthreads=settings.threads,
            timeout=_IDLE_TIMEOUT_S,
            request_queue_size=_BACKLOG_CONNECTIONS,
        )
        self.ssl_adapter = settings.tls_adapter
        self.max_request_header_size = settings.header_limit_bytes
        self.serving = threading.local()
        self._connection_limit = settings.connections
        self._read_timeout_s = settings.read_timeout_s
        self._open: set[_Connection] = set()
        self._open_lock = threading.Lock()
        self._last_change_s = time.monotonic()
        self._stopped = threading.Event()
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

    def call_read(self) -> None:
        """Note that this thread has read its call to the end."""
        self.serving.connection.reading_since_s = None

    def process_conn(self, conn: _Connection) -> None:
        """Serve a connection, or refuse it above the limit."""
        if self.open_connections() > self._connection_limit:
            with contextlib.suppress(OSError):
                conn.socket.sendall(_TOO_MANY_CONNECTIONS)
            conn.close()
            return
        super().process_conn(conn)

    def cut_slow_callers(self, now_s: float) -> None:
        """End connections whose call is not read within the timeout."""
        earliest_s = now_s - self._read_timeout_s
        with self._open_lock:
            slow = [
                connection
                for connection in self._open
                if connection.reading_since_s is not None
                and connection.reading_since_s < earliest_s
            ]
        for connection in slow:
            connection.cut()

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
        threading.Thread(
            target=self._watch_callers, name='slow-callers', daemon=True
        ).start()
        host, port = self.socket.getsockname()[:2]
        return f'{host}:{port}'

    def error_log(
        self, msg: str = '', level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log what cheroot reports, such as a broken connection."""
        _LOGGER.log(level, msg, exc_info=traceback)

    def drain(self, quiet_s: float) -> None:
        """Answer what is there and what still arrives, then stop.

        Each answer from now on closes its connection, and connections that
        stay idle end soon. The server stops when no connection has been
        open for a while.

        Args:
            quiet_s: time without any connection after which it stops.
        """
        self.keep_alive_conn_limit = 0
        self.timeout = _DRAIN_IDLE_TIMEOUT_S
        while not self._quiet(quiet_s, time.monotonic()):
            time.sleep(_POLL_S)
        self._stopped.set()
        self.stop()

    def _watch_callers(self) -> None:
        while not self._stopped.wait(_WATCH_PERIOD_S):
            self.cut_slow_callers(time.monotonic())

    def _quiet(self, quiet_s: float, now_s: float) -> bool:
        with self._open_lock:
            idle = not self._open
            return idle and now_s - self._last_change_s >= quiet_s


def _make_application(
    server: CallersServer,
    handle: HandleCall,
    body_limit_bytes: int,
    room: BodyRoom,
) -> Callable[..., Iterable[bytes]]:
    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        holder = room.admit(
            environ.get('REMOTE_ADDR', ''),
            int(environ.get('CONTENT_LENGTH') or 0),
            server.serving.connection.cut,
        )
        body = None
        if holder is not None:
            source = environ['wsgi.input']
            body = room.read(holder, source, body_limit_bytes + 1)
        server.call_read()
        if holder is None or body is None:
            if holder is not None:
                room.release(holder)
            start_response('503 Service Unavailable', list(_NO_ROOM))
            return ()
        try:
            answer = handle(_make_call(environ, body))
        finally:
            room.release(holder)
        phrase = http_status.phrase(answer.status)
        start_response(f'{answer.status} {phrase}', list(answer.headers))
        return answer.body

    return application


def _make_call(environ: dict[str, Any], body: bytes) -> Call:
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
        body=body,
    )
