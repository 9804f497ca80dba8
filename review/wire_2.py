"""Reads HTTP/1.1 messages, for the stand-ins and the clients."""

import asyncio
import socket
import struct


class Request:
    """A request as it was received."""

    def __init__(self, method, path, headers, body, length=0):
        self.method = method
        self.path = path
        self.headers = headers  # pairs of lower-case name and value
        self.body = body
        self.length = length

    def header(self, name):
        return next((v for n, v in self.headers if n == name), '')


def split_head(data):
    lines = data.decode('latin-1').split('\r\n')
    pairs = [line.partition(':')[::2] for line in lines[1:] if line]
    return lines[0], [(n.strip().lower(), v.strip()) for n, v in pairs]


async def read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        if not size:
            while await reader.readuntil(b'\r\n') != b'\r\n':
                pass
            return b''.join(parts)
        parts.append((await reader.readexactly(size + 2))[:-2])


async def read_request(reader, read_body=True):
    """Return the next request, None at the end of the connection."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, headers = split_head(data)
    method, path, _ = line.split(' ', 2)
    found = dict(headers)
    length = int(found.get('content-length', 0))
    body = b''
    if read_body and 'chunked' in found.get('transfer-encoding', ''):
        body = await read_chunks(reader)
    elif read_body and length:
        body = await reader.readexactly(length)
    return Request(method, path, headers, body, length)


class Answer:
    """An answer as the client received it."""

    def __init__(self, status, headers, body, problem=''):
        self.status = status
        self.headers = dict(headers)
        self.body = body
        self.problem = problem


async def read_answer(reader, is_head=False):
    """Return the next final answer.

    Raises:
        asyncio.IncompleteReadError: the connection ended before its end.
        ValueError: the bytes are no answer.
    """
    while True:
        data = await reader.readuntil(b'\r\n\r\n')
        line, headers = split_head(data)
        version, status, *_ = line.split(' ', 2)
        if version != 'HTTP/1.1':
            raise ValueError(f'no status line: {line[:60]!r}')
        if int(status) >= 200:
            break
    found = dict(headers)
    if is_head:
        return Answer(int(status), headers, b'')
    if 'chunked' in found.get('transfer-encoding', ''):
        body = await read_chunks(reader)
    else:
        length = int(found.get('content-length', 0))
        body = await reader.readexactly(length)
    return Answer(int(status), headers, body)


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
