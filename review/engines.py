"""A stand-in for an engine, after the page PROTOCOL, "Engines"."""

import asyncio
import time

import messages


class Run:
    """A request that an engine ran.

    Attributes:
        id: identifier of the request.
        route: first part of its path.
        engine: the engine's id.
        at_s: when it arrived, on the loop's clock.
        outcome: what became of it.
    """

    def __init__(self, request_id, route, engine, at_s):
        self.id = request_id
        self.route = route
        self.engine = engine
        self.at_s = at_s
        self.outcome = 'running'


class Engine:
    """An engine that runs requests and keeps a list of them.

    Attributes:
        id: its id in the store.
        entry: what it writes there.
        runs: the requests that it ran.
        on_request: answers a request instead of the engine, if set.
        fails: returns whether a run ends with status 500, if set.
    """

    def __init__(self, store, name, service, work_s, version='v1', slots=6):
        self.id = name
        self.service = service
        self.work_s = work_s
        self.runs = []
        self.on_request = None
        self.fails = None
        self._store = store
        self._server = None
        self._writers = set()
        self.entry = {
            'Service': service,
            'Address': '',
            'Zone': 'zac-a',
            'Version': version,
            'Slots': slots,
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Sequence': 1,
            'born': int(time.time() * 1000),
        }

    async def start(self):
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.entry['Address'] = f'127.0.0.1:{port}'
        self.register()

    def register(self, **changes):
        """Write the entry in the store."""
        self.entry = {**self.entry, **changes}
        self._store.put('servers', self.id, self.entry)

    def leave_store(self):
        """Remove the entry from the store."""
        self._store.remove('servers', self.id)

    def stop(self):
        """Exit: close the listener and all channels."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await messages.read_message(reader)) is not None:
                if not request.whole:
                    break
                await self._answer(request, reader, writer)
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        request_id = request.own('Request-Id')
        headers = {messages.PREFIX + 'Request-Id': request_id}
        if request.own('Expect-Instance') not in ('', self.id):
            headers[messages.PREFIX + 'Instance-Id'] = self.id
            writer.write(messages.encode('HTTP/1.1 421 Misdirected', headers))
            return
        route = request.first[1].split('/')[1]
        now_s = asyncio.get_running_loop().time()
        run = Run(request_id, route, self.id, now_s)
        self.runs.append(run)
        headers[messages.PREFIX + 'Server-Stamp'] = f'{self.id}.{request_id}'
        if self.on_request is not None:
            await self.on_request(run, headers, writer)
            return
        await asyncio.sleep(self.work_s)
        if reader.at_eof() or writer.is_closing():
            run.outcome = 'caller left'
            return
        body = request_id.encode()
        if self.fails is not None and self.fails(run):
            run.outcome = 'failed'
            writer.write(messages.encode('HTTP/1.1 500 Failed', headers, body))
            return
        run.outcome = 'answered'
        writer.write(messages.encode('HTTP/1.1 200 OK', headers, body))
