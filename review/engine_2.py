"""A stand-in of an engine or plain service, as PROTOCOL describes it."""

import asyncio
import contextlib
import itertools
import time

import wire_2 as wire

_STAMPS = itertools.count(1)


class Engine:
    """Runs each request by a script, and keeps what arrived and what ran."""

    def __init__(self, name, service, zone='zac-a', version='v1', slots=14):
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.address = ''
        self.script = answer_plain
        self.arrived = []
        self.ran = []  # (seconds, request id, request)
        self.born = int(time.time() * 1000)
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self):
        self._server.close()

    def entry(self, state='ready', sequence=1):
        return {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': self.version,
            'Slots': self.slots,
            'State': state,
            'ColdRemainingMs': 0,
            'Sequence': sequence,
            'born': self.born,
        }

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                request = await wire.read_request(reader)
                if request is None:
                    break
                self.arrived.append(request)
                run = Run(self, request, reader, writer)
                expected = request.header('x-wigeonfall-expect-instance')
                if expected and expected != self.name:
                    run.not_run(421)
                else:
                    await self.script(run)
                await writer.drain()
                if run.close:
                    break
        writer.close()


class Run:
    """One request at an engine."""

    def __init__(self, engine, request, reader, writer):
        self.engine = engine
        self.request = request
        self.reader = reader
        self.writer = writer
        self.id = request.header('x-wigeonfall-request-id')
        self.stamp = f'stamp-{engine.name}-{next(_STAMPS)}'
        self.close = False

    def begin(self):
        """Count the request as run."""
        self.engine.ran.append((time.monotonic(), self.id, self.request))

    def head(self, status, *lines):
        text = [
            f'HTTP/1.1 {status} X',
            f'X-Wigeonfall-Request-Id: {self.id}',
            f'X-Wigeonfall-Server-Stamp: {self.stamp}',
            *lines,
        ]
        return '\r\n'.join([*text, '', '']).encode()

    def answer(self, body, status=200, *lines):
        length = f'Content-Length: {len(body)}'
        self.writer.write(self.head(status, length, *lines) + body)

    def not_run(self, status=503, *lines):
        self.answer(b'', status, 'X-Wigeonfall-Not-Executed: 1', *lines)

    def begin_stream(self):
        self.writer.write(
            self.head(
                200,
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            )
        )

    def event(self, number, text='x' * 40):
        data = f'id: {number}\ndata: {text}\n\n'.encode()
        self.writer.write(b'%x\r\n%s\r\n' % (len(data), data))

    def end_stream(self):
        self.writer.write(b'0\r\n\r\n')


async def answer_plain(run):
    run.begin()
    await asyncio.sleep(0.01)
    run.answer(b'answer to ' + run.id.encode())
