"""A small asyncio HTTP client that notes when each part of an answer came."""

import asyncio
from collections.abc import AsyncIterator

import attrs

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 65536


class NotConnected(Exception):
    """No connection came about, so nothing was sent."""


class AnswerBroken(Exception):
    """The answer ended before it was whole."""


@attrs.frozen
class Head:
    """The head of an answer; header names are in lower case."""

    status: int
    headers: dict[str, str]


class Call:
    """One call on its own connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def head(self) -> Head:
        """Read the head of the answer."""
        line = await self._reader.readline()
        if not line:
            raise AnswerBroken('closed before the head')
        status = int(line.split()[1])
        headers = {}
        while (line := await self._reader.readline()).strip():
            name, _, value = line.decode('latin-1').partition(':')
            headers[name.strip().lower()] = value.strip()
        return Head(status, headers)

    async def body(self, head: Head) -> AsyncIterator[bytes]:
        """Read the body in the parts in which it comes."""
        if head.headers.get('transfer-encoding', '').lower() == 'chunked':
            async for part in self._chunks():
                yield part
            return
        left = int(head.headers.get('content-length', 0))
        while left:
            part = await self._reader.read(min(left, READ_BYTES))
            if not part:
                raise AnswerBroken('closed in the body')
            left -= len(part)
            yield part

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _chunks(self) -> AsyncIterator[bytes]:
        while True:
            line = await self._reader.readline()
            if not line.strip():
                raise AnswerBroken('closed between chunks')
            size = int(line, 16)
            try:
                data = await self._reader.readexactly(size + 2)
            except asyncio.IncompleteReadError as error:
                raise AnswerBroken('closed in a chunk') from error
            if not size:
                return
            yield data[:-2]


async def send(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> Call:
    """Open a connection and send one request.

    Raises:
        NotConnected: nothing was sent.
    """
    host, _, port = address.rpartition(':')
    opening = asyncio.open_connection(host, int(port))
    try:
        reader, writer = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError) as error:
        raise NotConnected(str(error)) from error
    fields = {
        'Host': address,
        'Connection': 'close',
        'Content-Length': str(len(body)),
        **headers,
    }
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    return Call(reader, writer)
