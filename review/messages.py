"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio

PREFIX = 'X-Wigeonfall-'


class Message:
    """A request or an answer.

    Attributes:
        first: words of the first line.
        headers: values by name in lower case.
        body: the body as far as it arrived.
        whole: whether all of it arrived.
    """

    def __init__(self, head):
        lines = head.decode('latin-1').split('\r\n')
        self.first = lines[0].split(' ', 2)
        pairs = (line.partition(':') for line in lines[1:] if line)
        self.headers = {n.strip().lower(): v.strip() for n, _, v in pairs}
        self.body = b''
        self.whole = False

    @property
    def status(self):
        """The status of an answer."""
        return int(self.first[1])

    def own(self, name):
        """Return the value of one of the system's own headers, or ''."""
        return self.headers.get((PREFIX + name).lower(), '')


async def read_message(reader):
    """Read a message.

    Returns:
        The message, or None if the channel ended before its head was there.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    message = Message(head[:-4])
    try:
        await _read_body(reader, message)
    except (asyncio.IncompleteReadError, OSError):
        return message
    message.whole = True
    return message


async def _read_body(reader, message):
    if message.headers.get('transfer-encoding', '') == 'chunked':
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            message.body += data[:-2]
    left = int(message.headers.get('content-length', 0))
    while left:
        data = await reader.read(left)
        if not data:
            raise asyncio.IncompleteReadError(b'', left)
        message.body += data
        left -= len(data)


def encode(first, headers, body=b''):
    """Return the bytes of a message with a body of known length."""
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
