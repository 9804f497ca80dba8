"""The asyncio loop that peers are served and called on, in one thread."""

import asyncio
from collections.abc import Coroutine
import concurrent.futures
import threading
from typing import Any
from typing import TypeVar

T = TypeVar('T')


class LoopThread:
    """An asyncio loop that runs in a thread of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, name='peers', daemon=True
        )
        self._thread.start()

    def submit(
        self, work: Coroutine[Any, Any, T]
    ) -> concurrent.futures.Future[T]:
        """Run a coroutine on the loop and return its future."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def stop(self) -> None:
        """Cancel what runs on the loop, stop it and wait for its thread."""
        self.submit(_cancel_all()).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()


async def _cancel_all() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
