"""Keys and certificates of callers, operators and peers."""

from collections.abc import Iterator
import pathlib
import ssl

import pytest
import trustme
import urllib3

from tests.fakes import fleet as fleet_module
from tests.fakes import processes
from wigeonfall.adapters import event_loop
from wigeonfall.adapters import peers
from wigeonfall.adapters.proto import exchange_pb2

KEY = 'example-key-of-tienda'
HOST = '127.0.0.1'


def _write(authority: trustme.CA, path: pathlib.Path, name: str) -> None:
    certificate = authority.issue_cert(HOST)
    certificate.private_key_pem.write_to_path(path / f'{name}.key')
    for blob in certificate.cert_chain_pems:
        blob.write_to_path(path / f'{name}.crt', append=True)


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[fleet_module.Fleet]:
    authority = trustme.CA()
    authority.cert_pem.write_to_path(tmp_path / 'authority.crt')
    _write(authority, tmp_path, 'instance')
    _write(trustme.CA(), tmp_path, 'stranger')
    files = {
        'callers_certificate_file': 'instance.crt',
        'callers_key_file': 'instance.key',
        'peers_certificate_file': 'instance.crt',
        'peers_key_file': 'instance.key',
        'peers_authority_file': 'authority.crt',
    }
    plan = fleet_module.Plan(
        example='co-op',
        instances={'zac-a': ('zac-a-1', 'zac-a-2')},
        settings={'tls': files},
    )
    with fleet_module.Fleet(plan, tmp_path) as started:
        yield started


def _live(fleet: fleet_module.Fleet) -> set[str]:
    return set(fleet.show('zac-a-1', '/control')['live_instances'])


def test_callers_are_served_over_tls_alone(
    fleet: fleet_module.Fleet, tmp_path: pathlib.Path
) -> None:
    address = fleet.instances['zac-a-1'].callers_address
    pool = urllib3.PoolManager(ca_certs=str(tmp_path / 'authority.crt'))
    headers = {'Authorization': f'Bearer {KEY}'}
    answer = pool.request(
        'GET', f'https://{address}/v1/models', headers=headers
    )
    assert answer.status == 200
    with pytest.raises(urllib3.exceptions.HTTPError):
        urllib3.request(
            'GET', f'http://{address}/v1/models', retries=False, timeout=20
        )


def test_a_silent_caller_does_not_hold_up_the_handshake_of_others(
    fleet: fleet_module.Fleet, tmp_path: pathlib.Path
) -> None:
    address = fleet.instances['zac-a-1'].callers_address
    host, _, port = address.rpartition(':')
    silent = [
        urllib3.connection.HTTPConnection(host, int(port)) for _ in range(5)
    ]
    for connection in silent:
        connection.connect()
    pool = urllib3.PoolManager(
        ca_certs=str(tmp_path / 'authority.crt'), timeout=5, retries=False
    )
    headers = {'Authorization': f'Bearer {KEY}'}
    answer = pool.request(
        'GET', f'https://{address}/v1/models', headers=headers
    )
    assert answer.status == 200
    for connection in silent:
        connection.close()


def test_a_callers_key_opens_no_operators_path(
    fleet: fleet_module.Fleet,
) -> None:
    address = fleet.instances['zac-a-1'].operators_address
    for path in ('/events', '/control', '/metrics', '/none'):
        answer = urllib3.request(
            'GET',
            f'http://{address}{path}',
            headers={'Authorization': f'Bearer {KEY}'},
            retries=False,
        )
        assert answer.status == 401
    assert urllib3.request('GET', f'http://{address}/health').status == 200


def _swap(address: str, context: ssl.SSLContext | None) -> object:
    loop = event_loop.LoopThread()

    async def swap() -> exchange_pb2.State:
        channel = peers.PeerChannel(address, context)
        try:
            return await channel.swap(exchange_pb2.State(instance='x'))
        finally:
            channel.close()

    try:
        return loop.submit(swap()).result()
    finally:
        loop.stop()


def _context(path: pathlib.Path, name: str | None = None) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=path / 'authority.crt')
    context.set_alpn_protocols(['h2'])
    if name is not None:
        context.load_cert_chain(path / f'{name}.crt', path / f'{name}.key')
    return context


def test_only_peers_with_a_certificate_of_the_authority_are_answered(
    fleet: fleet_module.Fleet, tmp_path: pathlib.Path
) -> None:
    processes.wait_for(lambda: _live(fleet) == {'zac-a-1', 'zac-a-2'})
    address = fleet.instances['zac-a-1'].peers_address
    own = _swap(address, _context(tmp_path, 'instance'))
    assert own.instance == 'zac-a-1'
    for context in (
        None,
        _context(tmp_path),
        _context(tmp_path, 'stranger'),
    ):
        with pytest.raises(peers.PeerError):
            _swap(address, context)
