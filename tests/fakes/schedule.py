"""Runs actors one step at a time, in an order that its user chooses."""

from collections.abc import Callable
import threading

STEP_TIMEOUT_S = 60.0


class Crashed(BaseException):
    """Ends an actor as if its process had been killed."""


class Actor:
    """A thread that stops before each of its steps."""

    def __init__(self, name: str, work: Callable[['Actor'], None]) -> None:
        self.name = name
        self.pending = 'start'
        self.ended = False
        self._work = work
        self._advice: object = None
        self._resume = threading.Semaphore(0)
        self._stopped = threading.Semaphore(0)
        self._error: BaseException | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def step(self, call: str) -> object:
        """Wait in the actor's thread until the step is allowed.

        Returns:
            The advice that came with the permission.

        Raises:
            Crashed: the actor is to end here.
        """
        self.pending = call
        self._stopped.release()
        if not self._resume.acquire(timeout=STEP_TIMEOUT_S):
            raise Crashed
        if self._advice is Crashed:
            raise Crashed
        return self._advice

    def proceed(self, advice: object) -> None:
        """Let the actor go on to its next step, or to its end."""
        self._advice = advice
        self._resume.release()
        self.wait()

    def wait(self) -> None:
        """Wait until the actor stands before a step or has ended."""
        assert self._stopped.acquire(timeout=STEP_TIMEOUT_S)
        if self._error is not None:
            raise self._error

    def _run(self) -> None:
        try:
            self.step('start')
            self._work(self)
        except Crashed:
            pass
        except BaseException as error:
            self._error = error
        self.ended = True
        self._stopped.release()
