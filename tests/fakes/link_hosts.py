"""The store and links between processes, hosted by processes of their own.

One process cannot carry the links of dozens of instances without slowing them.
"""

from multiprocessing.managers import BaseManager
from typing import Any

import attrs

from tests.fakes.metadata_store import MetadataStore
from tests.fakes.ports import free_ports
from tests.fakes.tcp_proxy import TcpProxy


class StoreHost:
    """The store, in a process of its own."""

    def __init__(self) -> None:
        self._store = MetadataStore()
        self._store.__enter__()

    def address(self) -> str:
        """Return where it listens."""
        return self._store.address

    def put(self, kind: str, name: str, value: dict) -> None:
        """Write an object."""
        self._store.objects.put(kind, name, value)


class Host(BaseManager):
    """A process with a part of what stands between instances."""


Host.register('TcpProxy', TcpProxy)
Host.register('Store', StoreHost)


@attrs.frozen
class Link:
    """The store as one instance reaches it.

    Attributes:
        host: process of the proxy.
        proxy: the proxy.
        address: "host:port" where it listens.
        bytes_per_s: what the link of the instance carries.
    """

    host: Any
    proxy: Any
    address: str
    bytes_per_s: float


def make_link(host: Any, to_address: str, bytes_per_s: float) -> Link:
    """Return the link of an instance to the store.

    Args:
        host: process of the proxy.
        to_address: "host:port" of the store.
        bytes_per_s: what the link carries.
    """
    (port,) = free_ports(1)
    proxy = host.TcpProxy(to_address, port)
    proxy.narrow(bytes_per_s)
    return Link(host, proxy, f'127.0.0.1:{port}', bytes_per_s)
