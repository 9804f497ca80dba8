"""What most parts of one instance are made from."""

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
    """What most parts are made from."""

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
    """Return what the parts of an instance are made from.

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
