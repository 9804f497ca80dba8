"""Measures what one recorded event costs in memory and processor time.

Run with `python -m bench.ring`.
"""

import json
import logging
import sys
import time
import tracemalloc

from wigeonfall import clock
from wigeonfall.events import Event
from wigeonfall import recorder

EVENTS = recorder.RING_EVENTS


def _record_all(made: recorder.Recorder) -> None:
    for number in range(EVENTS):
        made.record(
            Event.REQUEST_ANSWERED,
            request_id=f'{number:032x}',
            customer='recetas',
            tier='interactive',
            service='wigeon-pool',
            status=200,
            total_ms=number,
        )


def main() -> None:
    """Measure and print the figures as JSON."""
    logging.getLogger('wigeonfall').setLevel(logging.CRITICAL)
    made = recorder.Recorder('instance', clock.HybridClock())
    tracemalloc.start()
    _record_all(made)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began_s = time.process_time()
    _record_all(made)
    cpu_s = time.process_time() - began_s
    result = {
        'command': ' '.join(['python -m bench.ring', *sys.argv[1:]]),
        'events': EVENTS,
        'bytes_per_event': round(memory_bytes / EVENTS, 1),
        'cpu_us_per_event': round(cpu_s / EVENTS * 1e6, 2),
    }
    sys.stdout.write(json.dumps(result, indent=2) + '\n')


if __name__ == '__main__':
    main()
