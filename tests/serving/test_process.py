"""Tests of how an instance stops."""

import subprocess
import sys

PROGRAM = """
import signal
import threading
import time

from wigeonfall.serving import process

stopping = threading.Event()
signal.signal(signal.SIGTERM, lambda *_args: stopping.set())


def send():
    time.sleep(0.5)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(60)


threading.Thread(target=send, daemon=True).start()
process.wait_for_stop(stopping)
"""


def test_a_signal_delivered_to_another_thread_stops_the_instance() -> None:
    """A stop would hang under load, when the main thread is not woken."""
    done = subprocess.run(
        [sys.executable, '-c', PROGRAM], timeout=30, check=False
    )
    assert done.returncode == 0
