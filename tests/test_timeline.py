"""The time line of many instances."""

import json
import pathlib

import hypothesis
from hypothesis import strategies as st
import prometheus_client
import pytest
import trustme

from wigeonfall.adapters import operators
from wigeonfall.adapters import tls
from wigeonfall import clock
from wigeonfall import recorder
from wigeonfall import timeline

NAMES = ('z1', 'z2', 'z3')
# Each step: who acts, whom it sends its stamp to, its clock's fault in ms.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(NAMES),
        st.sampled_from(NAMES),
        st.integers(-5_000, 5_000),
    ),
    max_size=40,
)


def _entry(
    instance: str, stamp: clock.Stamp, number: int = 101
) -> recorder.Entry:
    return recorder.Entry(stamp, instance, number, 'text', {})


@hypothesis.given(STEPS, st.data())
def test_merging_keeps_causal_order(
    steps: list[tuple[str, str, int]], data: st.DataObject
) -> None:
    clocks = {name: clock.HybridClock() for name in NAMES}
    logs: dict[str, list[recorder.Entry]] = {name: [] for name in NAMES}
    causes: list[tuple[recorder.Entry, recorder.Entry]] = []
    for now_s, (sender, receiver, fault_ms) in enumerate(steps, start=100):
        at_s = now_s + fault_ms / 1000
        sent = _entry(sender, clocks[sender].tick(at_s))
        logs[sender].append(sent)
        if receiver != sender:
            stamp = clocks[receiver].see(sent.stamp, now_s)
            taken = _entry(receiver, stamp, 102)
            logs[receiver].append(taken)
            causes.append((sent, taken))
    sources = [data.draw(st.permutations(logs[name])) for name in NAMES]
    merged = list(timeline.merge([*sources, logs['z1']]))
    place = {
        (e.instance, e.stamp, e.number): index
        for index, e in enumerate(merged)
    }
    assert len(place) == len(merged) == sum(map(len, logs.values()))
    for sent, taken in causes:
        first = place[sent.instance, sent.stamp, sent.number]
        assert first < place[taken.instance, taken.stamp, taken.number]
    for name in NAMES:
        assert [e for e in merged if e.instance == name] == logs[name]


def test_a_file_may_hold_lines_of_other_programs(
    tmp_path: pathlib.Path,
) -> None:
    entry = _entry('z1', clock.Stamp(5, 1))
    lines = ('started', '[]', '7', '{"event": 1}', '{"cut off')
    whole = json.dumps(recorder.to_json(entry))
    path = tmp_path / 'z1.log'
    path.write_text('\n'.join((*lines, whole)))
    assert timeline.read_file(path) == (entry,)


def test_sources_that_cannot_be_read_are_told(tmp_path: pathlib.Path) -> None:
    with pytest.raises(timeline.TimelineError, match='missing'):
        timeline.read_file(tmp_path / 'missing')
    binary = tmp_path / 'binary'
    binary.write_bytes(b'\xff\xfe')
    with pytest.raises(timeline.TimelineError, match='binary'):
        timeline.read_file(binary)


def test_an_event_is_described_on_one_line() -> None:
    entry = recorder.Entry(
        clock.Stamp(61_007, 2), 'z1', 703, 'peer unreachable', {'peer': 'b'}
    )
    assert timeline.describe(entry) == (
        '00:01:01.007+2 z1 703 peer unreachable peer=b'
    )


def test_instances_with_tls_and_a_key_are_read(tmp_path: pathlib.Path) -> None:
    files = timeline.TlsFiles(
        *(str(tmp_path / name) for name in ('ca.pem', 'own.pem', 'key.pem'))
    )
    authority = trustme.CA()
    authority.cert_pem.write_to_path(files.authority_file)
    own = authority.issue_cert('127.0.0.1')
    own.cert_chain_pems[0].write_to_path(files.certificate_file)
    own.private_key_pem.write_to_path(files.key_file)
    entry = _entry('z1', clock.Stamp(5, 1))
    shown = operators.Operators(
        ready=lambda: True,
        pages={'/events': lambda: [recorder.to_json(entry)]},
        key='secret',
        registry=prometheus_client.CollectorRegistry(),
    )
    adapter = tls.make_http_adapter(
        files.certificate_file, files.key_file, files.authority_file
    )
    server = operators.make_server('127.0.0.1:0', shown, adapter)
    address = operators.start(server)
    try:
        assert timeline.read_instance(address, 'secret', files) == (entry,)
        with pytest.raises(timeline.TimelineError, match='status 401'):
            timeline.read_instance(address, 'other', files)
        unknown = timeline.TlsFiles(files.authority_file)
        for refused in (unknown, timeline.TlsFiles()):
            with pytest.raises(timeline.TimelineError):
                timeline.read_instance(address, 'secret', refused)
        missing = timeline.TlsFiles(str(tmp_path / 'missing'))
        with pytest.raises(timeline.TimelineError):
            timeline.read_instance(address, 'secret', missing)
    finally:
        server.stop()
