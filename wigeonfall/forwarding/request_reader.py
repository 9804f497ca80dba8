"""Reads the requests of one connection, within the limits and the memory.

A request for which there is no memory is refused before it is complete, so
that the refusal truly says that it was not run.
"""

from collections.abc import Callable
import http
import time
from typing import Protocol

import httptools

from .. import decoding
from ..model.routing import CallerLimits
from .bodies import Body
from .caller_memory import CallerMemory
from .caller_memory import HEADER_LINE_BYTES
from .caller_memory import UNCOUNTED_BYTES
from .calls import Call
from .framing import FramingBudget

REQUEST_LINE_BYTES = 1 << 10  # and separators, beside the limit on headers
MAX_LENGTH_BYTES = 1 << 62  # the parser takes no larger ones
_NO_BODY = Body()  # never appended to
_COUNTED_DIGITS = len(str(UNCOUNTED_BYTES))  # of a length that may be counted


class RequestReceiver(Protocol):
    """The connection whose requests are read."""

    def head_read(self, expects: bool) -> None:
        """Continue with a body; the caller may wait to be asked for it."""

    def request_read(self, call: Call, close: bool, size: int) -> None:
        """Answer a request, which holds so many bytes."""

    def reject(self, status: int) -> None:
        """Reject the request with an error and close the connection."""

    def refuse(self) -> None:
        """Refuse the request, as there is no memory for it."""


class RequestReader:
    """Parses the bytes of requests.

    Args:
        limits: returns the current limits on requests.
        memory: counts what the connection holds.
        receiver: gets the requests.

    Attributes:
        started_s: when the incomplete request began, on the monotonic clock,
            or None.
        head_complete: whether its head was read.
        received_bytes: bytes received so far.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        memory: CallerMemory,
        receiver: RequestReceiver,
    ) -> None:
        self._limits = limits
        self._memory = memory
        self._receiver = receiver
        self._parser = httptools.HttpRequestParser(self)
        self._framing = FramingBudget(
            limits().header_bytes + REQUEST_LINE_BYTES
        )
        self._stopped = False
        self._header_limit_bytes = self._body_limit_bytes = 0
        self.received_bytes = 0
        self.started_s: float | None = None
        self._began_s: float | None = None  # of a head that is read again
        self.head_complete = False
        self._body: Body | None = None
        self._reset_message()

    def feed(self, data: bytes | memoryview) -> None:
        """Parse bytes of requests."""
        if self._stopped:
            return
        self.received_bytes += len(data)
        self._framing.received(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._reject(http.HTTPStatus.BAD_REQUEST)
        if self._framing.exceeded:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse bytes, beyond heads that the parser takes for the last.

        After a head that offers another protocol it reads neither a body nor
        another request. An offer may be ignored, so the same head is read
        again without it.
        """
        while not self._stopped:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as end:
                data = data[end.args[0] :]
            if self._parser.get_method() == b'CONNECT':
                # What follows is meant for the host that it names.
                self._reject(http.HTTPStatus.NOT_IMPLEMENTED)
                return
            head = self._head_without_offer()
            self._began_s = self.started_s
            self._parser = httptools.HttpRequestParser(self)
            self._parser.feed_data(head)
            self._began_s = None

    def _head_without_offer(self) -> bytes:
        """Return the head that was read, without its `Upgrade` headers."""
        lines = [
            b'%s %s HTTP/%s'
            % (
                self._parser.get_method(),
                self._url,
                self._parser.get_http_version().encode(),
            )
        ]
        lines.extend(
            b'%s: %s' % (name, value)
            for name, value in self._headers
            if name != b'upgrade'
        )
        return b'\r\n'.join([*lines, b'', b''])

    def stop(self) -> None:
        """Drop the incomplete request, and ignore what follows."""
        self._stopped = True
        self._reset_message()
        self._memory.drop_arriving()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset_message()
        if not self._stopped:
            limits = self._limits()
            self._header_limit_bytes = limits.header_bytes
            self._body_limit_bytes = limits.body_bytes
            self._framing.most_bytes = limits.header_bytes + REQUEST_LINE_BYTES
            self.started_s = self._began_s or time.monotonic()
            self._memory.holder.progress_s = self.started_s

    def on_url(self, url: bytes) -> None:
        """Add a part of the path."""
        if self._stopped:
            return
        self._url += url
        self._header_bytes += len(url)
        if self._header_bytes > self._header_limit_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if self._stopped:
            return
        self._headers.append((name.lower(), value))
        self._header_bytes += len(name) + len(value) + 4
        self._held_bytes += HEADER_LINE_BYTES
        if self._header_bytes > self._header_limit_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self._held_bytes > UNCOUNTED_BYTES and not (
            self._memory.set_head(self._held_bytes + self._header_bytes)
        ):
            self._refuse()

    def on_headers_complete(self) -> None:
        """Make room for the body before any of it is read."""
        if self._parser.should_upgrade():
            return
        self._framing.completed()
        self.head_complete = True
        expects = False
        for name, value in self._headers:
            if name == b'content-length' and len(value) >= _COUNTED_DIGITS:
                self._reserve(value)
            elif name == b'expect':
                expects = value.lower() == b'100-continue'
        if not self._stopped:
            self._receiver.head_read(expects)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body, within the limit."""
        self._framing.found_body(len(body))
        if self._stopped:
            return
        if self._body is None:
            self._body = Body()
        size = self._body.size + len(body)
        if size > self._body_limit_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif size <= UNCOUNTED_BYTES or self._memory.add_body(size):
            self._body.append(body)
        else:
            self._refuse()

    def on_message_complete(self) -> None:
        """Pass the request on."""
        if self._parser.should_upgrade():
            return
        self._framing.completed()
        if self._stopped or self.started_s is None:
            return
        call = Call(
            self._parser.get_method(),
            self._url,
            tuple(self._headers),
            self._body or _NO_BODY,
            self.started_s,
        )
        size = self._held_bytes + self._header_bytes + call.body.size
        self.started_s = None
        self._body = None
        self._memory.complete(size)
        close = not self._parser.should_keep_alive()
        self._receiver.request_read(call, close, size)

    @property
    def arriving_bytes(self) -> int:
        """Bytes held of the incomplete request."""
        if self.started_s is None:
            return 0
        body_bytes = self._body.size if self._body is not None else 0
        return self._held_bytes + self._header_bytes + body_bytes

    def _reset_message(self) -> None:
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = None
        self._header_bytes = 0
        self._held_bytes = 0
        self.started_s = None
        self.head_complete = False

    def _reserve(self, length: bytes) -> None:
        size = decoding.whole_number(length, MAX_LENGTH_BYTES)
        if size is None or self._stopped:
            return
        if size > self._body_limit_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif not self._memory.reserve_body(size):
            self._refuse()

    def _reject(self, status: http.HTTPStatus) -> None:
        if not self._stopped:
            self.stop()
            self._receiver.reject(status)

    def _refuse(self) -> None:
        if not self._stopped:
            self.stop()
            self._receiver.refuse()
