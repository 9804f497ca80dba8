"""HTTP pages for health checks, metrics and snapshots for peers."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import http
import json
import time
from typing import Any, TypeAlias

from .. import decoding
from .caller_server import HandleCall
from .calls import Call
from .calls import Reply
from .exchange import ConnectionPool
from .exchange import ExchangeError
from .store_view import StoreView

SNAPSHOT_PATH = b'/snapshot'
FETCH_TIMEOUT_S = 1.0  # peers answer from memory
MAX_SNAPSHOT_BYTES = 16 << 20

Page: TypeAlias = Callable[[], tuple[int, bytes]]
QuestionPage: TypeAlias = Callable[[Call], tuple[int, bytes]]


def make_page_handler(
    pages: Mapping[bytes, Page],
    questions: Mapping[bytes, QuestionPage] | None = None,
) -> HandleCall:
    """Return a handler that answers requests with the page of their path.

    Args:
        pages: pages that do not depend on the request.
        questions: pages that do.
    """

    async def handle(call: Call, reply: Reply) -> None:
        path = call.path.partition(b'?')[0]
        page = pages.get(path)
        question = (questions or {}).get(path)
        if page is not None:
            status, body = page()
        elif question is not None:
            status, body = question(call)
        else:
            reply.send(http.HTTPStatus.NOT_FOUND, (), b'')
            return
        reply.send(status, (), body)

    return handle


def snapshot_path(kind: str) -> bytes:
    """Return the path of the snapshot of one kind."""
    return b'%s/%s' % (SNAPSHOT_PATH, kind.encode())


def snapshot_pages(view: StoreView) -> dict[bytes, Page]:
    """Return pages with the snapshots of all kinds and of each kind."""

    def page(*kinds: str) -> Page:
        # Dozens of peers fetch each change.
        encoded: dict[tuple[int, ...], bytes] = {}

        def answer() -> tuple[int, bytes]:
            counts = view.update_counts()
            if counts not in encoded:
                encoded.clear()
                snapshot = view.snapshot(kinds)
                encoded[counts] = json.dumps(snapshot).encode()
            return http.HTTPStatus.OK, encoded[counts]

        return answer

    pages = {snapshot_path(kind): page(kind) for kind in view.kinds()}
    pages[SNAPSHOT_PATH] = page()
    return pages


async def fetch_snapshot(
    connections: ConnectionPool, address: str, path: bytes
) -> dict[str, Any]:
    """Fetch a snapshot from a peer.

    Args:
        connections: HTTP connections to peers.
        address: "host:port" of the peer.
        path: path of the snapshot.

    Returns:
        The snapshot, as JSON values.

    Raises:
        ExchangeError: the peer sent none that can be read.
    """
    host = address.encode()
    request = b'GET %s HTTP/1.1\r\nHost: %s\r\n\r\n' % (path, host)
    try:
        async with asyncio.timeout(FETCH_TIMEOUT_S):
            exchange = await connections.send(
                address,
                b'',
                request,
                new_connection=True,
                now_s=time.monotonic(),
            )
            try:
                await exchange.head()
                body = await exchange.read_all(MAX_SNAPSHOT_BYTES)
            finally:
                exchange.release()
    except TimeoutError as error:
        raise ExchangeError('peer timed out', sent=True) from error
    try:
        value = decoding.loads(body or b'')
    except ValueError as error:
        raise ExchangeError('snapshot is not JSON', sent=True) from error
    if not isinstance(value, dict):
        raise ExchangeError('snapshot is no JSON object', sent=True)
    return value
