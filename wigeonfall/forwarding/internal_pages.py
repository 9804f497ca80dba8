"""HTTP pages for health checks, metrics and snapshots for peers."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import http
import json
import time
from typing import TypeAlias
import zlib

from .. import decoding
from ..events import Event
from ..recorder import Record
from .calls import Call
from .calls import Headers
from .calls import Reply
from .exchange import ConnectionPool
from .exchange import ExchangeError
from .server_context import HandleCall
from .snapshots import decode as decode_kinds
from .snapshots import KindSnapshot
from .store_view import StoreView

SNAPSHOT_PATH = b'/snapshot'
# Without any byte. Peers answer from memory, but to many at the same time; who
# asks anew makes that worse.
FETCH_TIMEOUT_S = 3.0
MAX_FETCH_S = 30.0  # though bytes still arrive
MAX_SNAPSHOT_BYTES = 16 << 20
MIN_THREAD_BYTES = 2048  # compressed; decoding less takes about a millisecond
DEFLATE = b'deflate'
_COMPRESSION_LEVEL = 1  # fastest; takes most of the repeated names

Page: TypeAlias = Callable[[], tuple[int, bytes]]
QuestionPage: TypeAlias = Callable[[Call], tuple[int, bytes]]


def make_page_handler(
    record: Record,
    pages: Mapping[bytes, Page],
    questions: Mapping[bytes, QuestionPage] | None = None,
) -> HandleCall:
    """Return a handler that answers requests with the page of their path.

    A page that raises is recorded and answered with an error. Bodies are
    compressed for who asks for it.

    Args:
        record: records events.
        pages: pages that do not depend on the request.
        questions: pages that do.
    """

    def answer(path: bytes, call: Call) -> tuple[int, bytes]:
        if path in pages:
            return pages[path]()
        if questions is not None and path in questions:
            return questions[path](call)
        return http.HTTPStatus.NOT_FOUND, b''

    compressed: dict[bytes, tuple[bytes, bytes]] = {}

    def compress(path: bytes, body: bytes) -> bytes:
        """Return a compressed body; many peers get the same one."""
        if path not in compressed or compressed[path][0] is not body:
            compressed[path] = body, zlib.compress(body, _COMPRESSION_LEVEL)
        return compressed[path][1]

    async def handle(call: Call, reply: Reply) -> None:
        path = call.path.partition(b'?')[0]
        try:
            status, body = answer(path, call)
        except Exception as error:
            _record_failure(record, path, error)
            status, body = http.HTTPStatus.INTERNAL_SERVER_ERROR, b''
        headers: Headers = ()
        if body and DEFLATE in call.header(b'accept-encoding'):
            body = compress(path, body)
            headers = ((b'Content-Encoding', DEFLATE),)
        reply.send(status, headers, body)

    return handle


def _record_failure(record: Record, path: bytes, error: Exception) -> None:
    record(Event.PAGE_FAILED, page=path.decode('latin-1'), detail=repr(error))


def snapshot_path(kind: str) -> bytes:
    """Return the path of the snapshot of one kind."""
    return b'%s/%s' % (SNAPSHOT_PATH, kind.encode())


def snapshot_pages(view: StoreView, record: Record) -> dict[bytes, Page]:
    """Return pages with the snapshots of all kinds and of each kind.

    Args:
        view: the objects.
        record: records events.
    """
    # Dozens of peers fetch each change.
    encoded: dict[str, tuple[int, bytes]] = {}

    def encode(kind: str) -> bytes:
        count = view.update_count(kind)
        if kind not in encoded or encoded[kind][0] != count:
            encoded[kind] = count, json.dumps(view.snapshot((kind,))).encode()
        return encoded[kind][1]

    def answer_all() -> tuple[int, bytes]:
        members = []
        for kind in view.kinds():
            try:
                members.append(encode(kind)[1:-1])
            except Exception as error:
                # The others must not wait until this one can be encoded.
                _record_failure(record, snapshot_path(kind), error)
        return http.HTTPStatus.OK, b'{%s}' % b', '.join(members)

    def page(kind: str) -> Page:
        return lambda: (http.HTTPStatus.OK, encode(kind))

    pages = {snapshot_path(kind): page(kind) for kind in view.kinds()}
    pages[SNAPSHOT_PATH] = answer_all
    return pages


async def fetch_snapshot(
    connections: ConnectionPool,
    address: str,
    path: bytes,
    on_progress: Callable[[], None] = lambda: None,
    on_decoded: Callable[[dict[str, KindSnapshot]], None] = lambda _kinds: (
        None
    ),
) -> dict[str, KindSnapshot]:
    """Fetch a snapshot from a peer.

    A large one is decoded in a thread, as it would hold up callers.

    Args:
        connections: HTTP connections to peers.
        address: "host:port" of the peer.
        path: path of the snapshot.
        on_progress: called when a part of it has arrived.
        on_decoded: called with it, in that thread if there is one.

    Returns:
        The objects of the peer by kind.

    Raises:
        ExchangeError: the peer sent none that can be read.
    """
    request = (
        b'GET %s HTTP/1.1\r\nHost: %s\r\nAccept-Encoding: deflate\r\n\r\n'
        % (path, address.encode())
    )
    loop = asyncio.get_running_loop()
    end_s = loop.time() + MAX_FETCH_S
    try:
        async with asyncio.timeout(FETCH_TIMEOUT_S) as timeout:

            def extend() -> None:
                timeout.reschedule(min(loop.time() + FETCH_TIMEOUT_S, end_s))
                on_progress()

            exchange = await connections.send(
                address,
                b'',
                request,
                new_connection=True,
                now_s=time.monotonic(),
            )
            try:
                head = await exchange.head()
                body = await exchange.read_all(MAX_SNAPSHOT_BYTES, extend)
            finally:
                exchange.release()
    except TimeoutError as error:
        raise ExchangeError('peer timed out', sent=True) from error
    if head.status != http.HTTPStatus.OK:
        raise ExchangeError(f'status {head.status}', sent=True)
    compressed = head.header(b'content-encoding') == DEFLATE

    def decode() -> dict[str, KindSnapshot]:
        kinds = _decode_snapshot(body or b'', compressed)
        on_decoded(kinds)
        return kinds

    try:
        if len(body or b'') < MIN_THREAD_BYTES:
            return decode()
        return await asyncio.to_thread(decode)
    except ValueError as error:
        raise ExchangeError(f'unreadable: {error}', sent=True) from error


def _decode_snapshot(body: bytes, compressed: bool) -> dict[str, KindSnapshot]:
    """Return the objects of a snapshot by kind.

    Raises:
        ValueError: it cannot be read.
    """
    if compressed:
        body = decoding.inflate(body, MAX_SNAPSHOT_BYTES)
    value = decoding.loads(body)
    if not isinstance(value, dict):
        raise ValueError('snapshot is no JSON object')
    return decode_kinds(value)
