"""Starts processes for tests and the bench, and speaks to stand-ins."""

import collections
from collections.abc import Callable
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
from typing import Any

import attrs
import urllib3

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
KEPT_LINES = 100_000
START_TIMEOUT_S = 30.0
POLL_S = 0.02


class ProcessFailed(Exception):
    """A process ended or kept silent where it should not have."""


@attrs.frozen
class Usage:
    """Resources that a process has used.

    Attributes:
        cpu_s: processor time in user and kernel mode.
        memory_bytes: resident memory.
        threads: threads that exist.
    """

    cpu_s: float
    memory_bytes: int
    threads: int


class Process:
    """A process of this repository and the lines that it prints.

    Attributes:
        name: name for messages.
        pid: process id.
    """

    def __init__(
        self, name: str, command: tuple[str, ...], env: dict[str, str]
    ) -> None:
        self.name = name
        self._popen = subprocess.Popen(
            command,
            cwd=REPOSITORY,
            env={**os.environ, 'PYTHONFAULTHANDLER': '1', **env},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.pid = self._popen.pid
        self._lines: collections.deque[str] = collections.deque(
            maxlen=KEPT_LINES
        )
        self._errors: collections.deque[str] = collections.deque(maxlen=1000)
        self._readers = (
            _keep_lines(self._popen.stdout, self._lines),
            _keep_lines(self._popen.stderr, self._errors),
        )

    def lines(self) -> tuple[str, ...]:
        """Return what it has printed to standard output."""
        return tuple(self._lines)

    def errors(self) -> str:
        """Return what it has printed to standard error."""
        return ''.join(self._errors)

    def log(self) -> list[dict[str, Any]]:
        """Return the JSON objects that it has printed."""
        return [
            json.loads(line) for line in self.lines() if line.startswith('{')
        ]

    def running(self) -> bool:
        """Return whether it still runs."""
        return self._popen.poll() is None

    def address(self) -> str:
        """Wait for the line that tells the address, and return it."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for value in self.log():
                if 'address' in value:
                    return str(value['address'])
            if not self.running():
                break
            time.sleep(POLL_S)
        raise ProcessFailed(f'{self.name} gave no address: {self.errors()}')

    def pause(self) -> None:
        """Stop it with SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue it after a pause."""
        self._popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End it at once."""
        self._popen.kill()
        self._finish(START_TIMEOUT_S)

    def terminate(self) -> None:
        """Ask it to stop, and return without waiting."""
        self._popen.terminate()

    def stop(self, timeout_s: float = 20.0) -> int:
        """Ask it to stop, wait for its end and return its exit status.

        Raises:
            ProcessFailed: it did not end in time and was killed.
        """
        self.terminate()
        try:
            return self._finish(timeout_s)
        except subprocess.TimeoutExpired:
            # The stacks of all threads tell where it hangs.
            self._popen.send_signal(signal.SIGABRT)
            time.sleep(1)
            self.kill()
            raise ProcessFailed(
                f'{self.name} did not stop: {self.lines()[-3:]}'
                f' {self.errors()[-6000:]}'
            ) from None

    def usage(self) -> Usage:
        """Return the resources that it has used so far."""
        root = pathlib.Path('/proc') / str(self.pid)
        fields = (root / 'stat').read_text().rpartition(')')[2].split()
        ticks_per_s = os.sysconf('SC_CLK_TCK')
        cpu_s = (int(fields[11]) + int(fields[12])) / ticks_per_s
        pages = int((root / 'statm').read_text().split()[1])
        page_bytes = os.sysconf('SC_PAGE_SIZE')
        return Usage(cpu_s, pages * page_bytes, int(fields[17]))

    def _finish(self, timeout_s: float) -> int:
        status = self._popen.wait(timeout_s)
        for reader in self._readers:
            reader.join(timeout_s)
        return status


def _keep_lines(stream: Any, lines: collections.deque[str]) -> Any:
    def read() -> None:
        with stream:
            lines.extend(stream)

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    return thread


def start(name: str, *arguments: str, **env: str) -> Process:
    """Start a module of this repository as a process.

    Args:
        name: name for messages.
        arguments: the module and its arguments.
        env: environment variables to add.
    """
    return Process(name, (sys.executable, '-m', *arguments), env)


def start_binary(
    name: str, binary: pathlib.Path, *arguments: str, **env: str
) -> Process:
    """Start a zipapp as a process.

    Args:
        name: name for messages.
        binary: the zipapp.
        arguments: its arguments.
        env: environment variables to add.
    """
    return Process(name, (sys.executable, str(binary), *arguments), env)


def wait_for(condition: Callable[[], bool], timeout_s: float = 30.0) -> None:
    """Wait until a condition holds.

    Raises:
        ProcessFailed: it did not hold in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise ProcessFailed(f'not within {timeout_s} s: {condition}')
        time.sleep(POLL_S)


def answers(url: str, status: int = 200) -> bool:
    """Return whether a URL answers with a status now."""
    try:
        answer = urllib3.request('GET', url, retries=False, timeout=2.0)
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status == status


def wait_until_answers(url: str, timeout_s: float = 30.0) -> None:
    """Wait until a URL answers 200; raises ProcessFailed if it does not."""
    wait_for(lambda: answers(url), timeout_s)


def set_switches(address: str, **switches: Any) -> Any:
    """Set switches of a stand-in and return its records."""
    answer = urllib3.request(
        'POST',
        f'http://{address}/control',
        json=switches,
        retries=False,
        timeout=30.0,
    )
    if answer.status != 200:
        raise ValueError(answer.data.decode())
    return answer.json()


def records(address: str, query: str = '') -> Any:
    """Return the records of a stand-in.

    Args:
        address: "host:port" of the stand-in.
        query: "log=1" adds the platform's log of calls, "blocks=1" the
            engine's count of reads by block.
    """
    url = f'http://{address}/control?{query}'
    return urllib3.request('GET', url, retries=False, timeout=30.0).json()
