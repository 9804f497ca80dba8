"""A stand-in of a plain service, which answers each request at once."""

import asyncio
from collections.abc import Callable

from wire_3 import close
from wire_3 import Message
from wire_3 import read_message

PREFIX = 'x-wigeonfall-'


class PlainServer:
    """A server of a plain service.

    Args:
        name: its id.
        service: its service.
        on_run: called with each request that it runs.
        work_s: time that a request takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        on_run: Callable[[str, Message], None],
        work_s: float = 0.01,
    ) -> None:
        self.name = name
        self.service = service
        self.address = ''
        self._on_run = on_run
        self._work_s = work_s
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def entry(self) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            'Service': self.service,
            'Address': self.address,
            'Zone': 'zac-a',
            'Version': 'v1',
            'Slots': 6,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'born': 1_796_000_000_000,
            'Sequence': 1,
        }

    def answer(self, message: Message) -> bytes:
        """Return the answer to a request that was run."""
        body = b'done by %s' % self.name.encode()
        return self.head(message, b'200 OK', len(body)) + body

    def head(
        self, message: Message, status: bytes, length: int | None
    ) -> bytes:
        """Return the head of an answer.

        Args:
            message: the request.
            status: status and reason.
            length: length of the body, None for no such header.
        """
        run = message.headers.get(PREFIX + 'request-id', '').encode()
        lines = [
            b'HTTP/1.1 ' + status,
            b'X-Wigeonfall-Request-Id: ' + run,
            b'X-Wigeonfall-Server-Stamp: %s.%s' % (self.name.encode(), run),
        ]
        if length is not None:
            lines.append(b'Content-Length: %d' % length)
        return b'\r\n'.join([*lines, b'', b''])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                expected = message.headers.get(PREFIX + 'expect-instance')
                if expected not in (None, self.name):
                    writer.write(
                        self.head(message, b'421 Misdirected Request', 0)
                    )
                    continue
                self._on_run(self.name, message)
                await asyncio.sleep(self._work_s)
                writer.write(self.answer(message))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            close(writer)
