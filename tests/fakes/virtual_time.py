"""An event loop whose time passes only while nothing else is to be done.

Tests of protocols with times are the same on a busy machine, and fast.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import functools
from typing import Any
from unittest import mock

START_S = 1000.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        self._now_s = START_S
        super().__init__()
        select = self._selector.select

        def jump(timeout: float | None = None) -> list[Any]:
            if timeout:
                self._now_s += timeout
            return select(0)

        self._selector.select = jump

    def time(self) -> float:
        """Return the time that has passed in this loop."""
        return self._now_s


def in_virtual_time(
    function: Callable[..., Coroutine[Any, Any, None]], most_s: float = 60.0
) -> Callable[..., None]:
    """Return a test that runs a coroutine function in virtual time."""

    @functools.wraps(function)
    def run(*args: Any, **fields: Any) -> None:
        loop = VirtualLoop()
        try:
            with mock.patch('time.monotonic', loop.time):
                work = function(*args, **fields)
                loop.run_until_complete(asyncio.wait_for(work, most_s))
        finally:
            loop.close()

    return run
