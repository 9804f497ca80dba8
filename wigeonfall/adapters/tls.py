"""TLS contexts for callers, operators and peers."""

import socket
import ssl
from typing import Any

from cheroot.ssl import builtin

from .. import errors

_ALPN_HTTP2 = 'h2'


class TlsError(errors.WigeonfallError):
    """A certificate, key or authority cannot be used."""


class LazyHandshake(builtin.BuiltinSSLAdapter):
    """TLS for cheroot, with the handshake on the thread of the connection.

    By default cheroot shakes hands on the thread that accepts, where one
    silent caller would hold up all others.
    """

    def wrap(
        self, sock: socket.socket
    ) -> tuple[ssl.SSLSocket, dict[str, Any]]:
        """Return the wrapped socket and its WSGI environment."""
        wrapped = self.context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return wrapped, {}


def make_http_adapter(
    certificate_file: str, key_file: str, authority_file: str = ''
) -> LazyHandshake | None:
    """Return TLS for an HTTP server, or None without a certificate.

    Args:
        certificate_file: PEM file with the certificate and its chain.
        key_file: PEM file with the private key.
        authority_file: PEM file of the authority that clients' certificates
            must come from, or '' if clients need none.

    Raises:
        TlsError: a file cannot be read or does not fit the others.
    """
    if not certificate_file:
        return None
    try:
        adapter = LazyHandshake(
            certificate_file, key_file, authority_file or None
        )
        if authority_file:
            adapter.context.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as error:
        raise TlsError(f'{certificate_file}: {error}') from error
    return adapter


def make_peers_contexts(
    certificate_file: str, key_file: str, authority_file: str
) -> tuple[ssl.SSLContext, ssl.SSLContext] | None:
    """Return the server's and the clients' context between peers.

    Both ends must show a certificate of the same authority.

    Args:
        certificate_file: PEM file with this instance's certificate.
        key_file: PEM file with its private key.
        authority_file: PEM file of the authority of all instances.

    Returns:
        The contexts, or None without a certificate.

    Raises:
        TlsError: a file cannot be read or does not fit the others, or there
            is no authority.
    """
    if not certificate_file:
        return None
    if not authority_file:
        # The authorities of the operating system would be trusted instead.
        raise TlsError(f'{certificate_file}: peers need an authority')
    try:
        return (
            _peers_context(
                ssl.Purpose.CLIENT_AUTH,
                certificate_file,
                key_file,
                authority_file,
            ),
            _peers_context(
                ssl.Purpose.SERVER_AUTH,
                certificate_file,
                key_file,
                authority_file,
            ),
        )
    except (OSError, ssl.SSLError) as error:
        raise TlsError(f'{certificate_file}: {error}') from error


def _peers_context(
    purpose: ssl.Purpose,
    certificate_file: str,
    key_file: str,
    authority_file: str,
) -> ssl.SSLContext:
    context = ssl.create_default_context(purpose, cafile=authority_file)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(certificate_file, key_file)
    context.set_alpn_protocols([_ALPN_HTTP2])
    return context
