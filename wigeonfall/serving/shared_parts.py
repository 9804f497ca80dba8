"""Parts of a process that most of its other parts use."""

import ssl
import time

import attrs
import prometheus_client

from .. import clock
from .. import metrics
from .. import recorder as recorder_module
from ..adapters import event_loop
from ..adapters import platform as platform_adapter
from ..adapters import tls
from ..model.instance import Instance
from ..ports.platform import Platform
from ..recorder import Record
from ..recorder import Recorder
from ..settings import ProcessSettings


@attrs.frozen
class SharedParts:
    """Parts of a process that most other parts use.

    Attributes:
        settings: settings of the process.
        own: this instance.
        platform: calls to the platform.
        recorder: keeps recent events.
        record: records an event and counts it in the metrics.
        registry: registry of the metrics.
        loop: event loop for peers, in a thread of its own.
        peers_contexts: TLS contexts of the server and the clients for peers,
            or None.
    """

    settings: ProcessSettings
    own: Instance
    platform: Platform
    recorder: Recorder
    record: Record
    registry: prometheus_client.CollectorRegistry
    loop: event_loop.LoopThread
    peers_contexts: tuple[ssl.SSLContext, ssl.SSLContext] | None

    @property
    def client_context(self) -> ssl.SSLContext | None:
        """TLS context for connections to peers, or None."""
        return self.peers_contexts[1] if self.peers_contexts else None


def make_shared_parts(settings: ProcessSettings) -> SharedParts:
    """Make the shared parts of a process from its settings.

    Raises:
        TlsError: a certificate, key or authority cannot be used.
    """
    own = Instance(
        settings.instance.name,
        settings.instance.data_center,
        settings.listen.peers_address,
        int(time.time() * 1000),
    )
    recorder = recorder_module.Recorder(own.name, clock.HybridClock())
    registry = prometheus_client.CollectorRegistry()
    record = metrics.counting(recorder.record, metrics.Metrics(registry))
    return SharedParts(
        settings=settings,
        own=own,
        platform=platform_adapter.make_platform(settings.platform.address),
        recorder=recorder,
        record=record,
        registry=registry,
        loop=event_loop.LoopThread(),
        peers_contexts=tls.make_peers_contexts(
            settings.tls.peers_certificate_file,
            settings.tls.peers_key_file,
            settings.tls.peers_authority_file,
        ),
    )
