"""A link to the store, of which open channels may go silent for good."""

import asyncio

from wire_3 import close

READ_BYTES = 1 << 16


class SilentLink:
    """Passes bytes on between instances and the store.

    Attributes:
        address: "host:port" that it listens on.
    """

    def __init__(self, store_address: str) -> None:
        self._store_address = store_address
        self._server: asyncio.Server | None = None
        self._open: list[asyncio.Event] = []
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def silence(self) -> int:
        """Pass on nothing more on channels that are open; new ones work.

        Returns:
            The number of these channels.
        """
        for silent in self._open:
            silent.set()
        silenced, self._open = len(self._open), []
        return silenced

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._store_address.rpartition(':')
        try:
            to_store = await asyncio.open_connection(host, int(port))
        except OSError:
            close(writer)
            return
        silent = asyncio.Event()
        self._open.append(silent)
        ways = (
            asyncio.ensure_future(_pass_on(reader, to_store[1], silent)),
            asyncio.ensure_future(_pass_on(to_store[0], writer, silent)),
        )
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            if silent in self._open:
                self._open.remove(silent)
            close(writer)
            close(to_store[1])


async def _pass_on(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    silent: asyncio.Event,
) -> None:
    try:
        while data := await reader.read(READ_BYTES):
            if not silent.is_set():
                writer.write(data)
                await writer.drain()
    except OSError:
        pass
