"""An in-memory port of targets whose attempts follow a script."""

from collections.abc import Iterable
import threading

import attrs
from result import Err
from result import Ok
from result import Result

from wigeonfall.model import customer
from wigeonfall.model import refusal
from wigeonfall.model import request as request_module
from wigeonfall.model import service
from wigeonfall.model import target
from wigeonfall.model import tier
from wigeonfall.ports import targets as port
from wigeonfall.serving import attempts as attempts_module
from wigeonfall.serving import grant as grant_module

FAR_S = 1e12


@attrs.frozen
class Script:
    """How one attempt goes.

    Attributes:
        status: HTTP status.
        chunks: chunks that are read.
        open_error: how opening fails, or None.
        read_error: how reading fails after the chunks, or None.
        revoke_after: chunks after which the grant is revoked, or None.
        headers: headers of the answer.
    """

    status: int = 200
    chunks: tuple[bytes, ...] = ()
    open_error: port.AttemptError | None = None
    read_error: port.AttemptError | None = None
    revoke_after: int | None = None
    headers: tuple[tuple[str, str], ...] = ()


class MemoryTargets:
    """Targets that play scripts, one for each attempt."""

    def __init__(self, script_for, only_target_twice: bool = True) -> None:
        self.only_target_twice = only_target_twice
        self.attempts: list[port.Attempt] = []
        self.closed = 0
        self.released = 0
        self.reported: list[object] = []
        self._script_for = script_for
        self._revoked = threading.Event()

    def open(
        self, attempt: port.Attempt
    ) -> Result[port.TargetAnswer, port.AttemptError]:
        """Play the script of an attempt."""
        self.attempts.append(attempt)
        script = self._script_for(attempt)
        if script.open_error is not None:
            return Err(script.open_error)
        chunks = iter(enumerate(script.chunks))
        revoked = self._revoked

        def read() -> bytes:
            for index, chunk in chunks:
                if index == script.revoke_after:
                    revoked.set()
                return chunk
            if script.read_error is not None:
                raise port.AttemptFailed(script.read_error)
            return b''

        return Ok(
            port.TargetAnswer(script.status, script.headers, read, self._close)
        )

    def acquire(
        self,
        request: request_module.Request,
        excluded: frozenset[str],
        now_s: float,
    ) -> Result[grant_module.Grant, object]:
        """Grant any request at once, unless the only target is excluded."""
        if 't1' in excluded and not self.only_target_twice:
            return Err(refusal.not_run(refusal.Code.NO_TARGET, 'planned'))
        self._revoked = threading.Event()
        granted = target.Target('t1', request.service.name, 'dc', 'h:1')
        grant = grant_module.Grant(
            granted,
            self._revoked,
            self._release,
            report_cached_tokens=lambda cached_tokens: self.reported.append(
                cached_tokens
            ),
            report_pace=lambda pace_s: self.reported.append('paced'),
        )
        return Ok(grant)

    def _close(self) -> None:
        self.closed += 1

    def _release(self) -> None:
        self.released += 1


def make_attempt_context(
    targets: MemoryTargets, retries: int = 1000
) -> attempts_module.AttemptContext:
    """Return attempts over scripted targets with a number of retries."""
    left = [retries]

    def may_retry(request: object, now_s: float) -> bool:
        left[0] -= 1
        return left[0] >= 0

    return attempts_module.AttemptContext(
        targets=port.Targets(targets.open, lambda address: None),
        acquire=targets.acquire,
        choose_version=lambda request, versions, now_s: request,
        may_retry=may_retry,
        on_success=lambda request, now_s: None,
        on_leaving=lambda left_target, now_s: None,
        on_outcome=lambda outcome, now_s: None,
        record=lambda event, **fields: None,
    )


def make_request(**changes: object) -> request_module.Request:
    """Return a request that streams, with some fields changed."""
    made = request_module.Request(
        id='r1',
        customer=customer.Customer('c', '00', 'orders', 10, 10),
        tier=tier.Tier('orders', 0),
        service=service.Service('pool', service.ServiceKind.MODEL, ('m',)),
        method='POST',
        path='/v1/chat/completions',
        headers=(),
        body=b'{}',
        arrived_s=0,
        deadline_s=FAR_S,
        model='m',
        stream=True,
    )
    return attrs.evolve(made, **changes)


def make_event(request_id: str, text: str) -> bytes:
    """Return one event of a stream, as engines send it."""
    return (
        f'data: {{"id":"chatcmpl-{request_id}","choices":[{{"index":0,'
        f'"delta":{{"content":"{text}"}}}}]}}\n\n'
    ).encode()


def split(data: bytes, cuts: Iterable[int]) -> tuple[bytes, ...]:
    """Return data cut at the given offsets."""
    edges = [0, *sorted({cut for cut in cuts if 0 < cut < len(data)})]
    ends = [*edges[1:], len(data)]
    return tuple(
        data[start:stop]
        for start, stop in zip(edges, ends, strict=True)
        if start < stop
    )
