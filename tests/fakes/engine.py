"""A stand-in for a model engine that batches continuously.

Run alone with `python -m tests.fakes.engine`. The switches and the records
are at /control.
"""

import asyncio
import collections
import json
import random
import time
from typing import Any

import attrs
import typer

from . import batch
from . import http_server
from . import kv_blobs
from . import prefix_cache
from . import target
from .engine_values import Answer
from .engine_values import Prompt
from .engine_values import read_prompt
from .engine_values import Record
from .engine_values import Switches

PREFILL_STEP_S = 0.02
COMPLETIONS_PATH = '/v1/chat/completions'


class Engine:
    """One engine: its slots, its cache and its records."""

    def __init__(
        self,
        identity: target.Identity,
        switches: Switches,
        cache_blocks: int,
    ) -> None:
        self.identity = identity
        self.switches = switches
        self.server = http_server.Server(self._handle)
        self._random = random.Random(switches.seed)
        self._cache = prefix_cache.PrefixCache(cache_blocks)
        self._orders = target.Orders()
        self._prefill = asyncio.Lock()
        self._batch = batch.Batch()
        self._records: list[Record] = []
        self._block_prefills: collections.Counter[int] = collections.Counter()
        self._blobs = kv_blobs.KvBlobs(self._cache, identity.name)

    async def keep_reports(self) -> None:
        """Keep load reports for later, for ever."""
        while True:
            self._batch.keep_report(self.switches.slots)
            self._load()
            await asyncio.sleep(batch.SNAPSHOT_PERIOD_S)

    async def register(self) -> None:
        """Keep the engine in the platform's live list, for ever."""
        await target.register(self.identity, self.server)

    def _load(self) -> dict[str, Any]:
        report = self._batch.old_report(
            self.switches.slots, self.switches.report_lag_ms
        )
        return {
            **report,
            'version': self.identity.version,
            'incarnation': self.identity.incarnation,
            'leaving': self.switches.leaving,
        }

    async def _handle(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        if request.path == '/control':
            await self._control(request, to)
        elif self.switches.silent:
            await to.wait_until_gone()
        elif request.path == COMPLETIONS_PATH:
            await self._complete(request, to)
        elif request.path == '/load':
            await to.send_json(200, self._load())
        elif request.path == '/cache-events':
            await self._send_cache_events(request, to)
        elif request.path == '/manage/orders':
            status = await self._orders.take(request.json(), self.identity)
            await to.send_json(status, {})
        elif request.path.startswith('/kv/'):
            rate_per_s = self.switches.kv_tokens_per_s
            await self._blobs.handle(request, to, rate_per_s)
        else:
            await to.send_json(404, {'message': 'no such path'})

    async def _complete(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        prompt = read_prompt(request)
        record = self._new_record(request, prompt)
        headers = target.answer_headers(request, self.identity)
        if self.switches.leaving or self.switches.refuse_next > 0:
            self.switches.refuse_next -= not self.switches.leaving
            record.outcome = 'refused'
            await target.refuse(to, headers, self.switches.leaving)
            return
        if self._is_bad(prompt.model) and self._fails():
            record.outcome = 'error'
            await to.send_json(500, {'error': {'message': 'failed'}}, headers)
            return
        try:
            await self._run(prompt, record, to, headers)
        except ConnectionError:
            if record.outcome == 'running':
                record.outcome = 'cancelled'
        finally:
            record.ended_ms = time.time() * 1000

    def _new_record(
        self, request: http_server.Request, prompt: Prompt
    ) -> Record:
        record = Record(
            request_id=request.headers.get('x-request-id', ''),
            attempt_id=request.headers.get('x-attempt-id', ''),
            model=prompt.model,
            version=self.identity.version,
            resume_offset=int(request.headers.get('x-resume-offset', 0)),
            prompt_tokens=prompt.tokens,
            started_ms=time.time() * 1000,
        )
        self._records.append(record)
        return record

    def _is_bad(self, model: str) -> bool:
        switches = self.switches
        if switches.bad_model not in ('', model):
            return False
        return self._batch.running >= switches.bad_above_running

    def _fails(self) -> bool:
        return self._random.random() < self.switches.error_rate

    async def _run(
        self,
        prompt: Prompt,
        record: Record,
        to: http_server.Responder,
        headers: dict[str, str],
    ) -> None:
        need_tokens = record.prompt_tokens + record.resume_offset
        left_tokens = max(0, prompt.answer_tokens - record.resume_offset)
        self._batch.prefill_tokens_queued += need_tokens
        self._batch.decode_tokens_left += left_tokens
        try:
            await self._batch.enter(self.switches.slots, to)
            try:
                await self._serve(prompt, record, to, headers)
            finally:
                self._batch.leave(self.switches.slots)
        finally:
            done_tokens = record.prefilled_tokens + record.cached_tokens
            self._batch.prefill_tokens_queued -= need_tokens - done_tokens
            self._batch.decode_tokens_left -= (
                left_tokens - record.decoded_tokens
            )

    async def _serve(
        self,
        prompt: Prompt,
        record: Record,
        to: http_server.Responder,
        headers: dict[str, str],
    ) -> None:
        await self._read_prompt_tokens(prompt, record, to)
        headers['X-Cached-Tokens'] = str(record.cached_tokens)
        await asyncio.sleep(self.switches.late_ms / 1000)
        answered = prompt
        answer_id = record.request_id
        if self.switches.crossed_next > 0:
            self.switches.crossed_next -= 1
            answered = attrs.evolve(prompt, text_hash=0)
            answer_id = 'another'
            headers['X-Attempt-Id'] = 'another'
        answer = Answer(answer_id, answered, record, headers)
        if prompt.stream:
            await self._stream(answer, to)
        else:
            await self._send_whole(answer, to)
        record.outcome = 'done'

    async def _read_prompt_tokens(
        self, prompt: Prompt, record: Record, to: http_server.Responder
    ) -> None:
        async with self._prefill:
            held = self._cache.match(prompt.hashes)
            record.cached_tokens = held * prefix_cache.BLOCK_TOKENS
            self._batch.prefill_tokens_queued -= record.cached_tokens
            wanted = record.prompt_tokens + record.resume_offset
            while (
                left := wanted
                - record.cached_tokens
                - (record.prefilled_tokens)
            ):
                rate_per_s = self.switches.prefill_tokens_per_s
                step = max(1, int(rate_per_s * PREFILL_STEP_S))
                step = min(left, step)
                await asyncio.sleep(step / rate_per_s * self._slowness(prompt))
                if to.caller_gone:
                    raise ConnectionResetError('cancelled in prefill')
                record.prefilled_tokens += step
                self._batch.prefill_tokens_queued -= step
                held = self._store_blocks(prompt, record, held)

    def _store_blocks(self, prompt: Prompt, record: Record, held: int) -> int:
        read_tokens = record.cached_tokens + record.prefilled_tokens
        whole = min(
            read_tokens // prefix_cache.BLOCK_TOKENS, len(prompt.hashes)
        )
        for block_hash in prompt.hashes[held:whole]:
            self._block_prefills[block_hash] += 1
            self._cache.store(block_hash)
        return whole

    def _slowness(self, prompt: Prompt) -> float:
        return self.switches.slow_down if self._is_bad(prompt.model) else 1.0

    async def _stream(self, answer: Answer, to: http_server.Responder) -> None:
        fields = {'Content-Type': 'text/event-stream', **answer.headers}
        await to.start_stream(200, fields)
        sent = 0
        async for index in self._decode(answer, to):
            if await self._stops(sent, answer.record, to):
                return
            await to.send_chunk(answer.event(index))
            sent += 1
        await to.send_chunk(b'data: [DONE]\n\n')
        await to.end_stream()

    async def _stops(
        self, sent: int, record: Record, to: http_server.Responder
    ) -> bool:
        switches = self.switches
        if switches.silent or sent == switches.silent_after_events:
            record.outcome = 'cut'
            await to.wait_until_gone()
            raise ConnectionResetError('silent until the caller left')
        if sent == switches.truncate_after_events:
            record.outcome = 'cut'
            to.abort()
            raise ConnectionResetError('truncated')
        if sent == switches.end_early_after_events:
            await to.end_stream()
            return True
        return False

    async def _send_whole(
        self, answer: Answer, to: http_server.Responder
    ) -> None:
        indexes = [index async for index in self._decode(answer, to)]
        await self._stops(-2, answer.record, to)
        body = answer.whole(len(indexes))
        if self.switches.truncate_after_events >= 0:
            fields = {**answer.headers, 'Content-Length': str(len(body))}
            await to.send(200, body[: len(body) // 2], fields)
            answer.record.outcome = 'cut'
            to.close()
            raise ConnectionResetError('truncated')
        fields = {'Content-Type': 'application/json', **answer.headers}
        await to.send(200, body, fields)

    async def _decode(self, answer: Answer, to: http_server.Responder) -> Any:
        record = answer.record
        due_s = time.monotonic()
        for index in range(record.resume_offset, answer.prompt.answer_tokens):
            due_s += (
                self._slowness(answer.prompt)
                / self.switches.decode_tokens_per_s
            )
            await asyncio.sleep(due_s - time.monotonic())
            if to.caller_gone:
                raise ConnectionResetError('cancelled in decode')
            record.decoded_tokens += 1
            record.first_token_ms = record.first_token_ms or (
                time.time() * 1000
            )
            self._batch.decode_tokens_left -= 1
            yield index

    async def _send_cache_events(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        events = self._cache.events_since(
            int(request.query.get('since', 0)),
            self.switches.cache_event_lag_ms / 1000,
            self.switches.cache_event_loss,
            self._random,
        )
        await to.send_json(200, events)

    async def _control(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        if request.method == 'POST':
            try:
                changes = request.json()
                self.switches = attrs.evolve(self.switches, **changes)
            except (ValueError, TypeError) as error:
                await to.send_json(400, {'message': str(error)})
                return
            if 'seed' in changes:
                self._random.seed(changes['seed'])
            if 'weight_store_refuse_next' in changes:
                self._orders.refuse_next = changes['weight_store_refuse_next']
            self.identity.leaving = self.switches.leaving
            self._batch.admit(self.switches.slots)
        value = {
            'identity': attrs.asdict(self.identity),
            'switches': attrs.asdict(self.switches),
            'report': self._batch.report(self.switches.slots),
            'cached_blocks': len(self._cache),
            'orders': [attrs.asdict(o) for o in self._orders.taken],
            'records': [attrs.asdict(r) for r in self._records],
        }
        if 'blocks' in request.query:
            value['block_prefills'] = dict(self._block_prefills)
        await to.send_json(200, value)


def start(
    port: int = 0,
    identity: target.Identity | None = None,
    cache_blocks: int = 256,
    **switches: Any,
) -> http_server.Handle:
    """Start an engine in a thread with these switches set."""
    engine = Engine(
        identity or target.Identity(), Switches(**switches), cache_blocks
    )
    background = (engine.keep_reports, engine.register)
    return http_server.start_in_thread(engine.server, port, background)


def main(
    port: int = 0,
    name: str = 'engine',
    service: str = 'lm',
    data_center: str = 'local',
    version: str = 'v1',
    platform: str = '',
    checks_fencing: bool = False,
    cache_blocks: int = 256,
    prefill_tokens_per_s: float = 8000,
    decode_tokens_per_s: float = 50,
    slots: int = 8,
    report_lag_ms: float = 500,
    switches: str = '{}',
) -> None:
    """Run an engine as this process; switches is a JSON object."""
    identity = target.Identity(
        name=name,
        service=service,
        data_center=data_center,
        version=version,
        platform=platform,
        checks_fencing=checks_fencing,
    )
    values = {
        'prefill_tokens_per_s': prefill_tokens_per_s,
        'decode_tokens_per_s': decode_tokens_per_s,
        'slots': slots,
        'report_lag_ms': report_lag_ms,
        **json.loads(switches),
    }
    engine = Engine(identity, Switches(**values), cache_blocks)
    background = (engine.keep_reports, engine.register)
    http_server.run_alone(engine.server, port, background)


if __name__ == '__main__':
    typer.run(main)
