"""Makes the servers for callers and operators."""

import threading
from typing import Any

from .. import errors
from .. import recorder as recorder_module
from .. import settings as settings_module
from ..adapters import callers
from ..adapters import operators
from ..adapters import tls
from . import call_handler
from . import control as control_module
from ..model.answer import Answer
from ..ports.callers import Call
from ..settings import ProcessSettings
from .shared_parts import SharedParts


class StartError(errors.WigeonfallError):
    """The settings of a process do not let it start."""


def make_callers_server(
    settings: ProcessSettings, context: call_handler.HandlerContext
) -> callers.CallersServer:
    """Return the server for callers, without starting it.

    Raises:
        TlsError: a certificate or key cannot be used.
    """

    def handle(call: Call) -> Answer:
        try:
            return call_handler.handle(context, call)
        except Exception as error:  # the caller must get an answer
            return call_handler.refuse_unexpected_error(context, call, error)

    files = settings.tls
    listen = callers.ListenSettings(
        settings.listen.callers_address,
        settings.limits.callers_threads,
        settings.limits.header_limit_bytes,
        settings.limits.body_limit_bytes,
        settings.limits.connections,
        tls_adapter=tls.make_http_adapter(
            files.callers_certificate_file, files.callers_key_file
        ),
        memory_mb=settings.limits.memory_mb,
    )
    return callers.CallersServer(listen, handle)


def make_operators_server(
    shared: SharedParts,
    ready: threading.Event,
    control: control_module.Control,
) -> Any:
    """Return the server for operators, without starting it.

    Raises:
        StartError: a secret cannot be read.
        TlsError: a certificate, key or authority cannot be used.
    """

    def events() -> list[dict[str, Any]]:
        entries = shared.recorder.entries()
        return [recorder_module.to_json(entry) for entry in entries]

    shown = operators.Operators(
        ready=ready.is_set,
        pages={'/events': events, '/control': control.page},
        key=_read_operators_key(shared.settings),
        registry=shared.registry,
    )
    files = shared.settings.tls
    return operators.make_server(
        shared.settings.listen.operators_address,
        shown,
        tls.make_http_adapter(
            files.operators_certificate_file,
            files.operators_key_file,
            files.operators_authority_file,
        ),
    )


def _read_operators_key(settings: ProcessSettings) -> str:
    try:
        return settings_module.read_secret(
            'operators_key', settings.secrets.operators_key_file
        )
    except OSError as error:
        raise StartError(
            f'operators_key_file cannot be read: {error}'
        ) from error
