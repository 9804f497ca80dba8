"""Runs background tasks that must outlive an unexpected error."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from ..events import Event
from ..recorder import Record

RESTART_DELAY_S = 0.5


async def keep_running(
    name: str, run: Callable[[], Awaitable[None]], record: Record
) -> None:
    """Run a task until it ends or is cancelled; start it again if it fails.

    Args:
        name: name of the task, for logs.
        run: starts the task.
        record: records events.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            record(Event.TASK_FAILED, task=name, detail=repr(error))
        await asyncio.sleep(RESTART_DELAY_S)


def record_loop_errors(
    loop: asyncio.AbstractEventLoop, record: Record
) -> None:
    """Record what callbacks and tasks raise that nobody waits for."""

    def handle(_loop: asyncio.AbstractEventLoop, context: Any) -> None:
        record(
            Event.TASK_FAILED,
            task=str(context.get('message')),
            detail=repr(context.get('exception')),
        )

    loop.set_exception_handler(handle)
