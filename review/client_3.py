"""A client without a key, whose request ids have the length that it is told.

Each of its requests is inside the limits of the manifest, and is sent after
the answer to the one before on the same channel. It prints a number for each
thousand answers.
"""

import asyncio
import itertools
import sys

REQUEST = (
    'GET /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n'
    'X-Wigeonfall-Request-Id: {}\r\n\r\n'
)
RETRY_S = 0.1  # while no channel can be opened


async def send(
    address: tuple[str, int], numbers: 'itertools.count[int]', length: int
) -> None:
    """Send requests on one channel after the other, without end."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address)
            while True:
                number = next(numbers)
                run = f'{number:016x}'.ljust(length, '0')
                writer.write(REQUEST.format(run).encode())
                head = await reader.readuntil(b'\r\n\r\n')
                if b'content-length: 0' not in head.lower():
                    break
                if number % 1000 == 0:
                    print(number, flush=True)
            writer.close()
        except (OSError, EOFError):
            pass
        await asyncio.sleep(RETRY_S)


async def main() -> None:
    """Send to HOST PORT on a number of CHANNELS, with ids of a LENGTH."""
    host, port, channels, length = sys.argv[1:5]
    numbers = itertools.count(1)
    address = host, int(port)
    await asyncio.gather(
        *(send(address, numbers, int(length)) for _ in range(int(channels)))
    )


if __name__ == '__main__':
    asyncio.run(main())
