"""TLS contexts from files."""

import pathlib

import pytest
import trustme

from wigeonfall.adapters import tls


def test_peers_need_an_authority(tmp_path: pathlib.Path) -> None:
    authority = trustme.CA()
    own = authority.issue_cert('127.0.0.1')
    files = [str(tmp_path / name) for name in ('own.pem', 'key.pem', 'ca.pem')]
    own.cert_chain_pems[0].write_to_path(files[0])
    own.private_key_pem.write_to_path(files[1])
    authority.cert_pem.write_to_path(files[2])
    with pytest.raises(tls.TlsError, match='authority'):
        tls.make_peers_contexts(files[0], files[1], '')
    contexts = tls.make_peers_contexts(*files)
    assert contexts is not None
    for context in contexts:
        assert len(context.get_ca_certs()) == 1
