"""Stand-ins for requesters, after the page PROTOCOL, "Answers"."""

import asyncio
import itertools

import messages

HOST = 'meat.example'
_NUMBERS = itertools.count(1)


class Attempt:
    """One request, which has an id of its own.

    Attributes:
        id: its identifier.
        route: first part of its path.
        machine: name of the machine that it was sent to.
        sent_s: when it was sent, on the loop's clock.
        ended_s: when its answer or its channel ended, or the requester gave
            up.
        status: status of the answer, 0 if there is none.
        body: body of the answer as far as it came.
        outcome: "answered", "cut", "gave up" or "no channel".
    """

    def __init__(self, route, machine, sent_s):
        self.id = f'{next(_NUMBERS):016x}'
        self.route = route
        self.machine = machine
        self.sent_s = sent_s
        self.ended_s = None
        self.status = 0
        self.body = b''
        self.outcome = 'waits'

    @property
    def promised_not_run(self):
        """Whether the status says that it has not run and never will."""
        return self.status in (408, 421, 429, 503)


class Channel:
    """A channel of a requester, which is kept for many requests.

    Attributes:
        usable: whether a further request may be sent on it.
    """

    def __init__(self, machine):
        self.machine = machine
        self.usable = False
        self._reader = None
        self._writer = None

    async def open(self):
        """Connect; a requester allows one second for it."""
        async with asyncio.timeout(1.0):
            self._reader, self._writer = await self.machine.connect()
        self.usable = True

    def close(self):
        """Close the channel."""
        self.usable = False
        if self._writer is not None:
            self._writer.close()

    async def ask(
        self,
        route,
        method='POST',
        limit_ms=3000,
        body=b'{}',
        patience_ms=None,
    ):
        """Send a request and wait for its answer.

        Args:
            route: first part of the path.
            method: HTTP method.
            limit_ms: how long the requester waits.
            body: its body.
            patience_ms: how long it waits without an event, for streams.

        Returns:
            The attempt.
        """
        loop = asyncio.get_running_loop()
        attempt = Attempt(route, self.machine.name, loop.time())
        headers = {
            'Host': HOST,
            messages.PREFIX + 'Request-Id': attempt.id,
            messages.PREFIX + 'Deadline-Ms': limit_ms,
        }
        first = f'{method} /{route}/x HTTP/1.1'
        try:
            async with asyncio.timeout((patience_ms or limit_ms) / 1000):
                self._writer.write(messages.encode(first, headers, body))
                await self._read_answer(attempt)
        except TimeoutError:
            attempt.outcome = 'gave up'
            self.close()
        except OSError:
            attempt.outcome = 'cut'
            self.close()
        attempt.ended_s = loop.time()
        return attempt

    async def _read_answer(self, attempt):
        answer = await messages.read_message(self._reader)
        if answer is None:
            attempt.outcome = 'cut'
            self.close()
            return
        attempt.status = answer.status
        attempt.body = answer.body
        attempt.outcome = 'answered' if answer.whole else 'cut'
        if not answer.whole or answer.headers.get('connection') == 'close':
            self.close()


async def ask_on_new_channel(machine, route, **options):
    """Send a request on a new channel and return the attempt."""
    channel = Channel(machine)
    try:
        await channel.open()
    except (OSError, TimeoutError):
        now_s = asyncio.get_running_loop().time()
        attempt = Attempt(route, machine.name, now_s)
        attempt.outcome = 'no channel'
        attempt.ended_s = now_s
        return attempt
    try:
        return await channel.ask(route, **options)
    finally:
        channel.close()


async def keep_asking(machines, first, attempts, route, pause_s, **options):
    """Send requests on a kept channel, and on a new one when it has ended.

    Args:
        machines: machines that the platform may choose.
        first: the machine that it chooses while that is in rotation.
        attempts: list that gets the attempts.
        route: first part of the path.
        pause_s: time between an answer and the next request.
        options: of each request.
    """
    channel = Channel(first)
    try:
        while True:
            if not channel.usable:
                ready = [m for m in machines if m.in_rotation]
                chosen = first if first in ready or not ready else ready[0]
                channel = Channel(chosen)
                try:
                    await channel.open()
                except (OSError, TimeoutError):
                    await asyncio.sleep(pause_s)
                    continue
            attempts.append(await channel.ask(route, **options))
            await asyncio.sleep(pause_s)
    finally:
        channel.close()
