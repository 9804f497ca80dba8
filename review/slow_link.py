"""A proxy for requesters whose link is slow and has small windows."""

import asyncio
import socket

WINDOW_BYTES = 8192
PIECE_BYTES = 4096
SEGMENT_BYTES = 1400  # of a network; loopback's would be far larger


class SlowLink:
    """How requesters behind a slow link reach one machine.

    Attributes:
        name: name of the machine.
    """

    def __init__(self, machine, bytes_per_s):
        self.name = machine.name
        self._machine = machine
        self._piece_s = PIECE_BYTES / bytes_per_s
        self._tasks = set()

    async def connect(self):
        """Return a channel to the machine through the link."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        await loop.sock_connect(sock, self._machine.front_address)
        far_reader, far_writer = await asyncio.open_connection(
            sock=sock, limit=WINDOW_BYTES
        )
        near, far = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=near)
        own_reader, own_writer = await asyncio.open_connection(sock=far)
        for source, sink, pause_s in (
            (own_reader, far_writer, 0.0),
            (far_reader, own_writer, self._piece_s),
        ):
            task = loop.create_task(_forward(source, sink, pause_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return reader, writer


async def _forward(source, sink, pause_s):
    try:
        while data := await source.read(PIECE_BYTES):
            await asyncio.sleep(pause_s)
            sink.write(data)
            await sink.drain()
    except OSError:
        pass
    finally:
        sink.close()
