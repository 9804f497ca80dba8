"""A TCP proxy that injects connection faults."""

import contextlib
import enum
import random
import socket
import threading
import time

READ_SIZE_BYTES = 65536
NARROW_READ_BYTES = 8192
REPEAT_S = (0.2, 0.6)  # until a lost packet has been sent again


class _State(enum.Enum):
    OPEN = 'open'
    DISCONNECTED = 'cut'
    STALLED = 'silent'
    RESPONSES_STALLED = 'deaf'


class TcpProxy:
    """Forwards TCP connections to one address.

    Args:
        to_address: "host:port" to forward to.
        listen_port: port to listen on, 0 for any that is free.

    Attributes:
        address: "host:port" to connect to.
    """

    def __init__(self, to_address: str, listen_port: int = 0) -> None:
        host, _, port = to_address.rpartition(':')
        self._target = (host, int(port))
        self._state = _State.OPEN
        self._delay_s = 0.0
        self._lost_share = 0.0
        self._bytes_per_s = 0.0
        self._idle_from_s = 0.0
        self._changed = threading.Condition()
        self._sockets: set[socket.socket] = set()
        self._stalled_sockets: set[socket.socket] = set()
        self._listener = socket.create_server(
            ('127.0.0.1', listen_port), backlog=512
        )
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def disconnect(self) -> None:
        """Close all connections and refuse new ones, until restored."""
        self._set(_State.DISCONNECTED)
        self._shut_down(self._sockets)

    def stall(self) -> None:
        """Forward nothing on open and new connections, until restored."""
        self._set(_State.STALLED)

    def stall_responses(self) -> None:
        """Forward requests but no responses, until restored."""
        self._set(_State.RESPONSES_STALLED)

    def delay(self, delay_s: float) -> None:
        """Forward all data after a delay, until restored."""
        self._delay_s = delay_s

    def lose(self, share: float) -> None:
        """Forward a share of the data late, until restored."""
        self._lost_share = share

    def narrow(self, bytes_per_s: float) -> None:
        """Forward so many bytes a second, of all connections together."""
        self._bytes_per_s = bytes_per_s

    def stall_open_connections(self) -> None:
        """Forward nothing more on open connections; new ones work."""
        with self._changed:
            self._stalled_sockets |= self._sockets

    def restore(self) -> None:
        """Forward all data again, including what was held back.

        A narrow link stays so.
        """
        self._delay_s = self._lost_share = 0.0
        self._set(_State.OPEN)

    def close(self) -> None:
        """Close the proxy and all its connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.disconnect()

    def _set(self, state: _State) -> None:
        with self._changed:
            self._state = state
            self._changed.notify_all()

    def _shut_down(self, sockets: set[socket.socket]) -> None:
        for sock in tuple(sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            thread = threading.Thread(target=self._connect, args=(caller,))
            thread.daemon = True
            thread.start()

    def _connect(self, caller: socket.socket) -> None:
        self._wait_while_stalled()
        if self._state is _State.DISCONNECTED:
            caller.close()
            return
        try:
            callee = socket.create_connection(self._target, timeout=5.0)
        except OSError:
            caller.close()
            return
        callee.settimeout(None)
        for sock in (caller, callee):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._changed:
            self._sockets |= {caller, callee}
        response_thread = threading.Thread(
            target=self._relay, args=(callee, caller, True)
        )
        response_thread.daemon = True
        response_thread.start()
        self._relay(caller, callee, False)

    def _relay(
        self, source: socket.socket, sink: socket.socket, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            size = NARROW_READ_BYTES if self._bytes_per_s else READ_SIZE_BYTES
            while data := source.recv(size):
                time.sleep(self._delay_s + self._queue_s(len(data)))
                self._wait_while_stalled(is_response)
                if source in self._stalled_sockets:
                    continue
                sink.sendall(data)
        if (
            source in self._stalled_sockets
            and self._state is not _State.DISCONNECTED
        ):
            return
        self._wait_while_stalled(is_response)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
        with self._changed:
            other_ended = source not in self._sockets
            self._sockets -= {source, sink}
        if other_ended:
            source.close()
            sink.close()

    def _queue_s(self, size: int) -> float:
        """Return how long data of a size wait for the link."""
        wait_s = 0.0
        if random.random() < self._lost_share:
            wait_s = random.uniform(*REPEAT_S)
        if self._bytes_per_s:
            with self._changed:
                now_s = time.monotonic()
                begin_s = max(now_s, self._idle_from_s)
                self._idle_from_s = begin_s + size / self._bytes_per_s
                wait_s += self._idle_from_s - now_s
        return wait_s

    def _wait_while_stalled(self, is_response: bool = False) -> None:
        stalled = (
            {_State.STALLED, _State.RESPONSES_STALLED}
            if is_response
            else {_State.STALLED}
        )
        with self._changed:
            self._changed.wait_for(lambda: self._state not in stalled)
