"""HTTP/1.1 as the stand-ins speak it: reads messages and answers."""

import asyncio
from typing import Any


class Message:
    """A request: its method, target, headers in lower case and body."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode('latin-1').split('\r\n')
        self.method, self.target, _ = lines[0].split(' ', 2)
        self.headers: dict[str, str] = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            self.headers.setdefault(name.strip().lower(), value.strip())
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    message = Message(head[:-4], b'')
    if message.headers.get('transfer-encoding', '').lower() == 'chunked':
        message.body = await read_chunks(reader)
    else:
        length = int(message.headers.get('content-length', 0))
        message.body = await reader.readexactly(length)
    return message


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body that is sent in chunks."""
    parts = []
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(data[:-2])


def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection, whatever has become of it."""
    try:
        writer.close()
    except (OSError, RuntimeError):
        pass


class Caller:
    """A requester's channel to an instance, kept for several requests."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the channel."""
        self._reader, self._writer = await asyncio.open_connection(
            *self.address
        )

    @property
    def is_open(self) -> bool:
        """Whether the channel was opened and not closed by this side."""
        return self._writer is not None

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            close(self._writer)
        self._reader = self._writer = None

    def send(
        self, method: str, target: str, headers: dict[str, Any], body: bytes
    ) -> None:
        """Send a request."""
        assert self._writer is not None
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        self._writer.write(head + body)

    async def answer(self, method: str = 'GET') -> 'Answer':
        """Return the answer to the request that was sent.

        It never raises: what ends a channel early stands in the answer.
        """
        answer = Answer()
        assert self._reader is not None
        try:
            await _read_answer(self._reader, answer, method)
            answer.whole = True
        except (asyncio.IncompleteReadError, OSError) as error:
            answer.problem = f'channel ended: {type(error).__name__}'
        except (ValueError, IndexError, asyncio.LimitOverrunError) as error:
            answer.problem = f'no answer in the protocol: {error}'
            answer.malformed = True
        if not answer.whole or (
            answer.headers.get('connection', '').lower() == 'close'
        ):
            self.close()
        return answer


class Answer:
    """An answer, as far as it was received.

    Attributes:
        status: its status, 0 if there was none.
        headers: its headers, with names in lower case.
        body: its body.
        whole: whether it was received to its end.
        malformed: whether bytes came that are no answer in the protocol.
        problem: what was wrong.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.whole = False
        self.malformed = False
        self.problem = ''


async def _read_answer(
    reader: asyncio.StreamReader, answer: Answer, method: str
) -> None:
    while True:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head[:-4].decode('latin-1').split('\r\n')
        version, status, *_ = lines[0].split(' ', 2)
        if version != 'HTTP/1.1' or len(status) != 3:
            raise ValueError(f'status line {lines[0]!r}')
        answer.status = int(status)
        answer.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            answer.headers[name.strip().lower()] = value.strip()
        if answer.status >= 200:
            break
    # RFC 9112, 6.3: these end with their heads, whatever headers say.
    if method == 'HEAD' or answer.status in (204, 304):
        return
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            answer.body += data[:-2]
    length = int(answer.headers.get('content-length', 0))
    answer.body = await reader.readexactly(length)
