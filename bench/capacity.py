"""Works out what the size to design for costs, from measured slopes.

`python -m bench.capacity` prints the table that docs/CAPACITY.md holds
between its markers, `--write` puts it there. The slopes are read from the
result files that other benches wrote.
"""

import json
import pathlib
from typing import Annotated
from typing import Any

import attrs
import typer

ROOT = pathlib.Path(__file__).resolve().parents[1]
RESULTS = ROOT / 'bench' / 'results'
PAGE = ROOT / 'docs' / 'CAPACITY.md'
BEGIN = '<!-- table: python -m bench.capacity --write -->'
END = '<!-- end of the table -->'

NODES = 500
REQUESTS_PER_S = 31_000
TOKENS_PER_S = 12_000_000
DATA_CENTERS = 10
CHANGES_PER_DAY = 14_000
REPLACEMENTS_PER_DAY = 3_000
DAY_S = 86_400
STREAM_S = 10.0
CONTROL_CPU_PERCENT = 3.1
CONTROL_BYTES_PER_S = 20_000
NODE_MEMORY_BYTES = 64_000_000
PLATFORM_WRITES_PER_S = 300
PLATFORM_READS_PER_S = 2_000
ORDER_SHARE = 0.1
KIB = 1024


@attrs.frozen
class Slopes:
    """What the benches measured.

    Attributes:
        token_us: processor time for a relayed token at 200 streams.
        request_us: processor time for a short request, all included.
        stream_bytes: memory for a stream in progress.
        idle_bytes: memory of an idle instance.
        link_us: processor time of the arbiter's link for a request alone.
        link_batch_us: the same in batches of 20.
        pool_us: processor time of a pool's decision, 32 targets, 1,000
            requests waiting.
        exchange_cpu_percent: of a core, membership and configuration at 90.
        exchange_bytes_per_s: the same, received.
        evidence_bytes: state of rollouts in a swap at 500 instances.
        evidence_merge_ms: processor time to merge it.
        order_writes: platform writes for an order at 500 a second.
        order_bytes: bytes written for it.
        event_us: processor time for a recorded event.
        event_bytes: memory for it.
        ring_events: events that the ring holds.
    """

    token_us: float
    request_us: float
    stream_bytes: float
    idle_bytes: float
    link_us: float
    link_batch_us: float
    pool_us: float
    exchange_cpu_percent: float
    exchange_bytes_per_s: float
    evidence_bytes: float
    evidence_merge_ms: float
    order_writes: float
    order_bytes: float
    event_us: float
    event_bytes: float
    ring_events: float


@attrs.frozen
class Row:
    """One line of the table."""

    role: str
    state: str
    messages: str
    cpu: str
    memory: str


def _read(name: str) -> Any:
    return json.loads((RESULTS / name).read_text())


def read_slopes() -> Slopes:
    """Return the slopes from the result files.

    Raises:
        OSError: a file cannot be read.
        KeyError: a figure is missing.
    """
    relay = _read('relay-whole.json')
    many = relay['streams'][-1]
    few = relay['streams'][0]
    streams = many['streams'] - few['streams']
    tiers = _read('tiers-1.json')
    membership = _read('membership-size.json')['rows'][-1]
    evidence = _read('rollout-exchange.json')['results'][-1]
    orders = _read('orders-1.json')['runs'][-1]
    ring = _read('ring.json')
    return Slopes(
        token_us=many['cpu_us_per_token'],
        request_us=relay['short_requests']['cpu_us_per_request'],
        stream_bytes=(many['memory_bytes'] - few['memory_bytes']) / streams,
        idle_bytes=relay['idle']['memory_bytes'],
        link_us=tiers['link'][0]['cpu_us_per_request_both_ends'],
        link_batch_us=tiers['link'][1]['cpu_us_per_request_both_ends'],
        pool_us=tiers['pool'][-1]['us_per_request'],
        exchange_cpu_percent=membership['cpu_percent'],
        exchange_bytes_per_s=membership['received_bytes_per_s'],
        evidence_bytes=evidence['bytes'],
        evidence_merge_ms=evidence['merge_ms'],
        order_writes=orders['writes_per_order'],
        order_bytes=orders['written_bytes_per_order'],
        event_us=ring['cpu_us_per_event'],
        event_bytes=ring['bytes_per_event'],
        ring_events=ring['events'],
    )


def rows(slopes: Slopes) -> list[Row]:
    """Return the lines of the table for one node of the planned size."""
    requests_per_s = REQUESTS_PER_S / NODES
    tokens_per_s = TOKENS_PER_S / NODES
    return [
        _relay(slopes, requests_per_s, tokens_per_s),
        _link(slopes, requests_per_s),
        _arbiter(slopes),
        _exchange(slopes),
        _evidence(slopes),
        _ledger(slopes),
        _watcher(),
        _replacement(),
        _ring(slopes, requests_per_s),
    ]


def _relay(slopes: Slopes, requests: float, tokens: float) -> Row:
    cores = tokens * slopes.token_us / 1e6
    request_cores = requests * slopes.request_us / 1e6
    streams = requests * STREAM_S
    memory = slopes.idle_bytes + streams * slopes.stream_bytes
    return Row(
        'relay',
        f'{streams:.0f} streams of {STREAM_S:.0f} s',
        f'{tokens:,.0f} tokens/s, {requests:.0f} requests/s',
        f'{cores:.2f} cores for tokens, {request_cores:.2f} for requests',
        f'{_mib(memory)} in all, of it {_mib(slopes.idle_bytes)} idle',
    )


def _link(slopes: Slopes, requests: float) -> Row:
    alone = requests * slopes.link_us / 1e4
    batched = requests * slopes.link_batch_us / 1e4
    return Row(
        'link to the arbiter',
        'waits and grants of the instance',
        f'{requests:.0f} requests/s',
        f'{alone:.1f} % of a core alone, {batched:.1f} % in batches of 20',
        'under 1 MiB (not measured)',
    )


def _arbiter(slopes: Slopes) -> Row:
    cores = REQUESTS_PER_S * slopes.pool_us / 1e6
    return Row(
        'arbiter',
        'waits, grants and targets of a pool',
        f'{REQUESTS_PER_S:,} requests/s if one pool had all',
        f'{cores:.1f} cores for one pool of all requests',
        'not measured at this size',
    )


def _exchange(slopes: Slopes) -> Row:
    return Row(
        'membership and configuration exchange',
        f'{NODES} members of about 100 bytes',
        f'{slopes.exchange_bytes_per_s / 1000:.1f} kB/s received at 90 '
        f'instances, of {CONTROL_BYTES_PER_S // 1000} kB/s',
        f'{slopes.exchange_cpu_percent:.2f} % of a core at 90 instances, '
        f'of {CONTROL_CPU_PERCENT} %',
        f'about {NODES * 1000 // KIB} KiB',
    )


def _evidence(slopes: Slopes) -> Row:
    merges = 4
    percent = merges * slopes.evidence_merge_ms / 10
    return Row(
        'rollout evidence',
        'counters for each instance, version and route under rollout',
        f'{merges * slopes.evidence_bytes / 1000:.1f} kB/s at {merges} '
        'swaps a second',
        f'{percent:.2f} % of a core while a rollout runs',
        'bounded by 40 counts a message',
    )


def _ledger(slopes: Slopes) -> Row:
    orders = REQUESTS_PER_S * ORDER_SHARE
    writes = orders * slopes.order_writes
    node_bytes = orders * slopes.order_bytes / NODES
    return Row(
        'ledger writer',
        'one object for each slice, pages of older entries',
        f'{writes:.0f} writes/s for {orders:,.0f} orders/s at the measured '
        f'batching, of {PLATFORM_WRITES_PER_S}',
        f'not measured; {node_bytes / 1000:.0f} kB/s written by each node',
        '4 KB for a kept answer, 16 minutes',
    )


def _watcher() -> Row:
    changes_per_s = CHANGES_PER_DAY / DAY_S
    watches = 2 * DATA_CENTERS
    return Row(
        'watcher and reporter',
        'the configuration and its delta',
        f'{watches} waiting watches; {changes_per_s:.2f} changes/s, '
        f'{changes_per_s * DATA_CENTERS:.1f} status writes/s',
        'about 1 s for each change at 8,500 customers (trial)',
        '0.5 MB of text',
    )


def _replacement() -> Row:
    replaced_per_s = REPLACEMENTS_PER_DAY / DAY_S
    reads = 500 / 10
    return Row(
        'live list and replacement',
        '12,000 targets and 500 instances',
        f'{reads:.0f} list reads/s at one in 10 s for each node, of '
        f'{PLATFORM_READS_PER_S:,}; {replaced_per_s * 3600:.0f} '
        'replacements an hour',
        'not measured at this size',
        '12,000 targets of about 400 bytes: 5 MB (arithmetic)',
    )


def _ring(slopes: Slopes, requests: float) -> Row:
    events = 4 * requests
    return Row(
        'event ring',
        f'{slopes.ring_events:,.0f} events',
        'none; operators read it',
        f'{events * slopes.event_us / 1e4:.2f} % of a core at '
        f'{events:.0f} events/s, without log lines',
        _mib(slopes.ring_events * slopes.event_bytes),
    )


def _mib(size_bytes: float) -> str:
    return f'{size_bytes / KIB / KIB:.0f} MiB'


def table(slopes: Slopes) -> str:
    """Return the table as Markdown."""
    lines = [
        '| role | state | messages | processor time | memory |',
        '|---|---|---|---|---|',
    ]
    for row in rows(slopes):
        cells = attrs.astuple(row)
        lines.append('| ' + ' | '.join(cells) + ' |')
    return '\n'.join(lines)


def replaced(page: str, text: str) -> str:
    """Return a page with the text between its markers replaced.

    Raises:
        ValueError: a marker is missing.
    """
    head, begin, rest = page.partition(BEGIN)
    _, end, tail = rest.partition(END)
    if not begin or not end:
        raise ValueError('a marker is missing')
    return f'{head}{begin}\n{text}\n{end}{tail}'


def main(
    write: Annotated[bool, typer.Option(help='Put it into the page.')] = False,
) -> None:
    """Print the table of the capacity page, or write it there."""
    text = table(read_slopes())
    if write:
        PAGE.write_text(replaced(PAGE.read_text(), text))
    typer.echo(text)


if __name__ == '__main__':
    typer.run(main)
