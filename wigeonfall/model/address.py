"""Addresses of peers and targets."""

import ipaddress
import re

MAX_PORT = 65_535
# Without what a resolver or a socket refuses with another error than OSError.
_ADDRESS = re.compile(r'([0-9A-Za-z.:-]{1,63}):([0-9]{1,5})')


def parse(address: str) -> tuple[str, int]:
    """Return host and port of an address that can be connected to.

    Args:
        address: "host:port".

    Raises:
        ValueError: the address is none.
    """
    found = _ADDRESS.fullmatch(address)
    if found is None:
        raise ValueError(f'{address[:80]!r} is not host:port')
    port = int(found[2])
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'{address!r} has a port out of range')
    return found[1], port


def parse_ip(address: str) -> tuple[str, int]:
    """Return host and port of an address with an IP address.

    Raises:
        ValueError: the address is none, or its host is no IP address.
    """
    host, port = parse(address)
    ipaddress.ip_address(host)
    return host, port
