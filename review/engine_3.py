"""A stand-in of a model engine, as a process that can be killed.

It prints a line for each request that it runs and for each end of a run. Its
streams have neither a length nor chunks and end with their channel, unless it
is told to send chunks. Their heads are sent at once or with the first event. A
request with the deadly part crashes it as it begins to write the answer, where
its first event is due: it kills itself, and the kernel closes its channels.

SIGUSR1 preempts the newest requests: their streams pause and then go on.
"""

import asyncio
import json
import os
import signal
import sys
import time
from typing import Any

from wire_3 import close
from wire_3 import Message
from wire_3 import read_message

PREFIX = 'x-wigeonfall-'


class Engine:
    """Runs streams.

    Args:
        options: its id, service and ways, as JSON values.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.running: dict[str, float] = {}  # until when each one is paused

    def preempt(self) -> None:
        """Pause the newest requests, as when memory runs out."""
        until_s = time.monotonic() + self.options['preempted_s']
        for run in list(self.running)[-self.options['preempted'] :]:
            self.running[run] = until_s
            say('preempted', run)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one channel, one at a time."""
        try:
            while True:
                message = await read_message(reader)
                if message is None or not await self._run(
                    message, reader, writer
                ):
                    break
        except (OSError, EOFError):
            pass
        finally:
            close(writer)

    async def _run(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the channel stays open."""
        headers = message.headers
        run = headers.get(PREFIX + 'request-id', '')
        stamp = f'X-Wigeonfall-Request-Id: {run}\r\n'.encode()
        expected = headers.get(PREFIX + 'expect-instance')
        if expected not in (None, self.options['id']):
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\n%s'
                b'Content-Length: 0\r\n\r\n' % stamp
            )
            return True
        if len(self.running) >= self.options['slots']:
            writer.write(
                b'HTTP/1.1 503 Service Unavailable\r\n%s'
                b'X-Wigeonfall-Not-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n' % stamp
            )
            return True
        after = int(headers.get('last-event-id', 0))
        say(
            'runs', run, after=after, parts=headers.get(PREFIX + 'prefix-hash')
        )
        chunked = self.options['chunked']
        framing = (
            b'Transfer-Encoding: chunked\r\n'
            if chunked
            else b'Connection: close\r\n'
        )
        head = (
            b'HTTP/1.1 200 OK\r\n%sX-Wigeonfall-Server-Stamp: %s.%s\r\n'
            b'Content-Type: text/event-stream\r\n%s\r\n'
            % (stamp, self.options['id'].encode(), run.encode(), framing)
        )
        self.running[run] = 0.0
        left = asyncio.ensure_future(reader.read(1))
        try:
            if self.options['head_first']:
                writer.write(head)
            await asyncio.sleep(self.options['first_s'])
            if self._is_deadly(headers):
                say('crashes', run)
                os.kill(os.getpid(), signal.SIGKILL)
            if not self.options['head_first']:
                writer.write(head)
            for number in range(after + 1, self.options['events'] + 1):
                while self.running[run] > time.monotonic() and not left.done():
                    await asyncio.sleep(0.01)
                if left.done():
                    say('dropped', run, events=number - 1)
                    return False
                event = b'id: %d\ndata: piece-%d\n\n' % (number, number)
                if chunked:
                    event = b'%x\r\n%s\r\n' % (len(event), event)
                writer.write(event)
                await writer.drain()
                await asyncio.wait({left}, timeout=self.options['step_s'])
            if chunked:
                writer.write(b'0\r\n\r\n')
            say('ends', run, events=self.options['events'])
        finally:
            del self.running[run]
            # A channel serves one request here, whose end it may be.
            left.cancel()
        return False

    def _is_deadly(self, headers: dict[str, str]) -> bool:
        parts = headers.get(PREFIX + 'prefix-hash', '').split(',')
        names = [part.partition(':')[0] for part in parts]
        return bool(self.options['deadly']) and self.options['deadly'] in names


def say(what: str, run: str, **more: Any) -> None:
    """Print what has become of a request."""
    print(json.dumps({'what': what, 'run': run, **more}), flush=True)


async def main() -> None:
    """Run the engine that the first argument describes."""
    engine = Engine(json.loads(sys.argv[1]))
    server = await asyncio.start_server(engine.serve, '127.0.0.1', 0)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, engine.preempt)
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({'address': f'127.0.0.1:{port}'}), flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
