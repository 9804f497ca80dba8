"""A TCP forwarder that can cut, silence or delay what passes through it."""

import contextlib
import enum
import socket
import threading
import time

READ_BYTES = 65536


class _State(enum.Enum):
    OPEN = 'open'
    CUT = 'cut'
    SILENT = 'silent'
    DEAF = 'deaf'


class Forwarder:
    """Forwards connections to one address.

    Attributes:
        address: "host:port" to connect to.
    """

    def __init__(self, to_address: str) -> None:
        host, _, port = to_address.rpartition(':')
        self._to = (host, int(port))
        self._state = _State.OPEN
        self._delay_s = 0.0
        self._changed = threading.Condition()
        self._sockets: set[socket.socket] = set()
        self._dead: set[socket.socket] = set()
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=512)
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Reset all connections and refuse new ones, until healed."""
        self._set(_State.CUT)
        self._reset(self._sockets)

    def silence(self) -> None:
        """Pass nothing on, old connections and new ones, until healed."""
        self._set(_State.SILENT)

    def silence_answers(self) -> None:
        """Pass nothing back, but pass on what comes, until healed."""
        self._set(_State.DEAF)

    def delay(self, delay_s: float) -> None:
        """Pass everything on later, until healed."""
        self._delay_s = delay_s

    def lose_connections(self) -> None:
        """Pass nothing more on present connections, ever; new ones work."""
        with self._changed:
            self._dead |= self._sockets

    def heal(self) -> None:
        """Pass everything on again, also what waited in silence."""
        self._delay_s = 0.0
        self._set(_State.OPEN)

    def close(self) -> None:
        """Close the forwarder with all its connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.cut()

    def _set(self, state: _State) -> None:
        with self._changed:
            self._state = state
            self._changed.notify_all()

    def _reset(self, sockets: set[socket.socket]) -> None:
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
        self._wait_while_silent()
        if self._state is _State.CUT:
            caller.close()
            return
        try:
            callee = socket.create_connection(self._to, timeout=5.0)
        except OSError:
            caller.close()
            return
        callee.settimeout(None)
        for sock in (caller, callee):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._changed:
            self._sockets |= {caller, callee}
        back = threading.Thread(target=self._pump, args=(callee, caller, True))
        back.daemon = True
        back.start()
        self._pump(caller, callee, False)

    def _pump(
        self, source: socket.socket, sink: socket.socket, back: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                time.sleep(self._delay_s)
                self._wait_while_silent(back)
                if source in self._dead:
                    continue
                sink.sendall(data)
        if source in self._dead and self._state is not _State.CUT:
            return
        self._wait_while_silent(back)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
        with self._changed:
            both_ended = source not in self._sockets
            self._sockets -= {source, sink}
        if both_ended:
            source.close()
            sink.close()

    def _wait_while_silent(self, back: bool = False) -> None:
        silent = {_State.SILENT, _State.DEAF} if back else {_State.SILENT}
        with self._changed:
            self._changed.wait_for(lambda: self._state not in silent)
