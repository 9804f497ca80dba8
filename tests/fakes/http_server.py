"""A small asyncio HTTP/1.1 server on which the stand-ins are built.

It gives handlers what a ready-made server hides: closing a connection with no
answer, leaving one open in silence, and noticing that the caller has gone.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import http
import json
import threading
from typing import Any
import urllib.parse

import attrs

BACKLOG_CONNECTIONS = 1024
CLOSED_POLL_S = 0.02


@attrs.frozen
class Request:
    """One request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body; raises ValueError on anything else."""
        return json.loads(self.body or b'{}')


class Responder:
    """The sending half of one request's connection.

    Attributes:
        number: position of the request on its connection, from 1.
        sent_bytes: bytes of the answer so far.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.number = number
        self.sent_bytes = 0

    @property
    def caller_gone(self) -> bool:
        """Whether the caller closed the connection."""
        return (
            self._reader.at_eof()
            or self._reader.exception() is not None
            or self._writer.is_closing()
        )

    async def wait_until_gone(self) -> None:
        """Return once the caller has closed the connection."""
        while not self.caller_gone:
            await asyncio.sleep(CLOSED_POLL_S)

    async def send(
        self,
        status: int,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a whole answer with its length."""
        fields = {'Content-Length': str(len(body)), **(headers or {})}
        await self._write(_head(status, fields) + body)

    async def send_json(
        self,
        status: int,
        value: Any,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a whole answer of JSON."""
        body = json.dumps(value, separators=(',', ':')).encode()
        fields = {'Content-Type': 'application/json', **(headers or {})}
        await self.send(status, body, fields)

    async def start_stream(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of an answer in chunks."""
        fields = {'Transfer-Encoding': 'chunked', **headers}
        await self._write(_head(status, fields))

    async def send_chunk(self, data: bytes) -> None:
        """Send one chunk; raises ConnectionError if the caller has gone."""
        await self._write(b'%x\r\n%b\r\n' % (len(data), data))

    async def end_stream(self) -> None:
        """Send the terminal chunk."""
        await self._write(b'0\r\n\r\n')

    def abort(self) -> None:
        """Close the connection at once, with nothing more sent."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection once what was written is sent."""
        self._writer.close()

    async def _write(self, data: bytes) -> None:
        if self.caller_gone:
            raise ConnectionResetError('the caller has gone')
        self.sent_bytes += len(data)
        self._writer.write(data)
        await self._writer.drain()


Handler = Callable[[Request, Responder], Awaitable[None]]
Start = Callable[[], Coroutine[Any, Any, None]]


class Server:
    """A listening server and its open connections.

    Attributes:
        address: "host:port" that it listens on.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._idle: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ''

    async def listen(self, port: int) -> None:
        """Listen on a port of the loopback address; 0 is any free port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, backlog=BACKLOG_CONNECTIONS
        )
        host, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{bound_port}'

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> int:
        """Close connections that wait for a request; return how many."""
        idle = tuple(self._idle)
        for writer in idle:
            writer.transport.abort()
        return len(idle)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = 0
        try:
            while not writer.is_closing():
                self._idle.add(writer)
                request = await _read_request(reader)
                self._idle.discard(writer)
                if request is None:
                    break
                number += 1
                responder = Responder(reader, writer, number)
                await self._handler(request, responder)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._idle.discard(writer)
            writer.close()


@attrs.frozen
class Handle:
    """A stand-in that runs in a thread of this process.

    Attributes:
        address: "host:port" that it listens on.
        stop: closes it with all its connections.
    """

    address: str
    stop: Callable[[], None]


def start_in_thread(
    server: Server, port: int = 0, background: tuple[Start, ...] = ()
) -> Handle:
    """Run a server and its background tasks in a thread."""
    loop = asyncio.new_event_loop()
    listening = threading.Event()

    async def run() -> None:
        await server.listen(port)
        listening.set()
        await asyncio.gather(*(start() for start in background))

    def main() -> None:
        task = loop.create_task(run())
        task.add_done_callback(lambda _: listening.set())
        loop.run_forever()
        server.close()
        loop.run_until_complete(_cancel_others())
        loop.close()

    thread = threading.Thread(target=main, daemon=True)
    thread.start()
    listening.wait()

    def stop() -> None:
        if thread.is_alive():
            loop.call_soon_threadsafe(loop.stop)
            thread.join()

    return Handle(server.address, stop)


def run_alone(
    server: Server, port: int, background: tuple[Start, ...] = ()
) -> None:
    """Run a server as this process and print its address as JSON."""

    async def run() -> None:
        await server.listen(port)
        print(json.dumps({'address': server.address}), flush=True)
        await asyncio.gather(*(start() for start in background))
        await asyncio.Event().wait()

    asyncio.run(run())


async def _cancel_others() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(0)


def _head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f'HTTP/1.1 {status} {http.HTTPStatus(status).phrase}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    headers = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await _read_body(reader, headers)
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query))
    return Request(method, url.path, query, headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while size := int((await reader.readline()).split(b';')[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body
