"""The answer to a request on a connection, read as it arrives.

The standard library returns one chunk of a chunked answer at a time. Here
one receive gives all chunks that have arrived, which is what relaying a
stream of many small chunks costs least with.
"""

import socket

import attrs
import httptools

from ..model import http_status

MAX_INTERIM = 16  # answers before the final one
_RECEIVE_BYTES = 65536


class ResponseError(Exception):
    """An answer is malformed or ended before its proven end."""


class _InvalidHead(Exception):
    """An answer has no status, or too many others come before it."""


class _Parts:
    """What the parser has met since it was last asked."""

    def __init__(self) -> None:
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.head_done = False
        self.keep_alive = False
        self.ends_at_eof = False
        self.parser: httptools.HttpResponseParser | None = None
        self.whole = False
        self.interim = False
        self.interim_count = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Note the end of the head, and what it says of the connection.

        The parser forgets the latter at the end of the answer.

        Raises:
            _InvalidHead: the answer has no status, or too many others come
                before it.
        """
        if self.parser is not None:
            status = self.parser.get_status_code()
            if not http_status.is_valid(status):
                raise _InvalidHead(f'status {status}')
            self.interim = http_status.is_interim(status)
            self.keep_alive = self.parser.should_keep_alive()
        if self.interim:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM:
                raise _InvalidHead(f'over {MAX_INTERIM} interim answers')
            return
        framing = {'content-length', 'transfer-encoding'}
        names = {name.lower() for name, _ in self.headers}
        self.ends_at_eof = not framing & names
        self.head_done = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Note the proven end; after an interim answer, wait for the next."""
        if self.interim:
            self.interim = False
            self.headers.clear()
        else:
            self.whole = True


@attrs.define
class Response:
    """An answer whose head has been read.

    Attributes:
        status: HTTP status.
        headers: headers in the order in which they came.
        keep_alive: whether the connection can serve another request.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    keep_alive: bool
    _sock: socket.socket
    _parser: httptools.HttpResponseParser
    _parts: _Parts

    @property
    def whole(self) -> bool:
        """Whether the answer was read to its proven end."""
        return self._parts.whole and not self._parts.body

    def header(self, name: str) -> str | None:
        """Return the value of the first header of a name, or None."""
        wanted = name.lower()
        values = (v for n, v in self.headers if n.lower() == wanted)
        return next(values, None)

    def read(self) -> bytes:
        """Return what has arrived of the body, or b'' at its proven end.

        Raises:
            OSError: nothing arrived in time or the connection broke.
            ResponseError: the answer is malformed or cut short.
        """
        while not self._parts.body and not self._parts.whole:
            _receive(self._sock, self._parser, self._parts)
        body = self._parts.body
        self._parts.body = []
        return body[0] if len(body) == 1 else b''.join(body)


def read_head(sock: socket.socket, method: str) -> Response:
    """Read the head of an answer.

    Args:
        sock: connection on which a request was sent.
        method: method of that request; an answer to HEAD has no body.

    Returns:
        The answer, whose body is still to be read.

    Raises:
        OSError: nothing arrived in time or the connection broke.
        ResponseError: the answer is malformed or cut short.
    """
    parts = _Parts()
    parser = httptools.HttpResponseParser(parts)
    parts.parser = parser
    while not parts.head_done:
        _receive(sock, parser, parts)
    bodiless = method == 'HEAD'
    parts.whole = parts.whole or bodiless
    return Response(
        parser.get_status_code(),
        tuple(parts.headers),
        parts.keep_alive and not bodiless,
        sock,
        parser,
        parts,
    )


def _receive(
    sock: socket.socket, parser: httptools.HttpResponseParser, parts: _Parts
) -> None:
    data = sock.recv(_RECEIVE_BYTES)
    if not data and parts.head_done and parts.ends_at_eof:
        parts.whole = True
        return
    if not data:
        raise ResponseError('the connection ended inside an answer')
    try:
        parser.feed_data(data)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
        raise ResponseError(f'malformed answer: {error}') from error
