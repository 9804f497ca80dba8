"""Values of the engine stand-in: switches, records, prompts and answers."""

import json
from typing import Any

import attrs
import xxhash

from . import http_server
from . import prefix_cache

ANSWER_TOKENS = 64


@attrs.define
class Switches:
    """What tests may change while the engine runs.

    Attributes:
        prefill_tokens_per_s: prompt tokens read per second, all requests.
        decode_tokens_per_s: tokens generated per second in each slot.
        slots: requests that generate at once.
        slow_down: factor on the time that everything takes.
        leaving: refuse new work and finish what runs.
        refuse_next: next requests refused with "not run".
        error_rate: share of requests answered with 500.
        bad_above_running: errors and slow-down only above so many running.
        bad_model: errors and slow-down only for this model, or ''.
        silent: keep connections open and send nothing.
        silent_after_events: fall silent after so many events; -1 is never.
        truncate_after_events: cut answers after so many events; -1 is never.
        end_early_after_events: end answers as if whole, without [DONE].
        crossed_next: next answers that belong to another attempt.
        late_ms: time added before each answer begins.
        report_lag_ms: age of load reports.
        cache_event_lag_ms: age of cache events.
        cache_event_loss: share of cache events that never come.
        kv_tokens_per_s: speed of imports of KV cache.
        weight_store_refuse_next: next orders refused with 429.
        seed: seed of the random choices.
    """

    prefill_tokens_per_s: float = 8000
    decode_tokens_per_s: float = 50
    slots: int = 8
    slow_down: float = 1.0
    leaving: bool = False
    refuse_next: int = 0
    error_rate: float = 0.0
    bad_above_running: int = 0
    bad_model: str = ''
    silent: bool = False
    silent_after_events: int = -1
    truncate_after_events: int = -1
    end_early_after_events: int = -1
    crossed_next: int = 0
    late_ms: float = 0
    report_lag_ms: float = 500
    cache_event_lag_ms: float = 500
    cache_event_loss: float = 0.05
    kv_tokens_per_s: float = 100_000
    weight_store_refuse_next: int = 0
    seed: int = 1


@attrs.define
class Record:
    """What one attempt cost and how it ended.

    Attributes:
        outcome: "running", "done", "cancelled", "error", "refused" or "cut".
        started_ms: arrival, since the epoch.
        first_token_ms: first token of the answer, since the epoch.
        ended_ms: end, since the epoch.
    """

    request_id: str
    attempt_id: str
    model: str
    version: str
    resume_offset: int
    prompt_tokens: int
    started_ms: float
    first_token_ms: float = 0
    ended_ms: float = 0
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    decoded_tokens: int = 0
    outcome: str = 'running'


@attrs.frozen
class Prompt:
    """A request's prompt and the answer that belongs to it."""

    model: str
    tokens: int
    text_hash: int
    hashes: tuple[int, ...]
    answer_tokens: int
    stream: bool

    def token(self, version: str, index: int) -> str:
        """Return a token of the answer; equal on all engines."""
        seed = xxhash.xxh64_intdigest(version.encode(), seed=self.text_hash)
        value = xxhash.xxh64_intdigest(str(index).encode(), seed)
        return f' {value % 0xFFFF:04x}'


@attrs.frozen
class Answer:
    """An answer and the means to write its events."""

    id: str
    prompt: Prompt
    record: Record
    headers: dict[str, str]

    def event(self, index: int) -> bytes:
        """Return the event that carries one token."""
        last = index == self.prompt.answer_tokens - 1
        token = self.prompt.token(self.record.version, index)
        value = {
            'id': f'chatcmpl-{self.id}',
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': self.prompt.model,
            'choices': [
                {
                    'index': 0,
                    'delta': {'content': token},
                    'finish_reason': 'stop' if last else None,
                }
            ],
        }
        text = json.dumps(value, separators=(',', ':'))
        return f'data: {text}\n\n'.encode()

    def whole(self, tokens: int) -> bytes:
        """Return the body of an answer that is not streamed."""
        offset = self.record.resume_offset
        text = ''.join(
            self.prompt.token(self.record.version, index)
            for index in range(offset, offset + tokens)
        )
        message = {'role': 'assistant', 'content': text}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        value = {
            'id': f'chatcmpl-{self.id}',
            'object': 'chat.completion',
            'created': 0,
            'model': self.prompt.model,
            'choices': [choice],
            'usage': {
                'prompt_tokens': self.record.prompt_tokens,
                'completion_tokens': tokens,
                'total_tokens': self.record.prompt_tokens + tokens,
            },
        }
        return json.dumps(value, separators=(',', ':')).encode()


def read_prompt(request: http_server.Request) -> Prompt:
    """Return the prompt of a request in the chat-completions shape."""
    value = request.json()
    text = prefix_cache.prompt_text(value['messages'])
    return Prompt(
        model=value.get('model', ''),
        tokens=prefix_cache.count_tokens(text),
        text_hash=xxhash.xxh64_intdigest(text.encode()),
        hashes=prefix_cache.block_hashes(text),
        answer_tokens=int(value.get('max_tokens') or ANSWER_TOKENS),
        stream=bool(value.get('stream')),
    )


def expected_answer(
    messages: list[dict[str, Any]], version: str, tokens: int
) -> str:
    """Return the text that an engine of this version gives."""
    text = prefix_cache.prompt_text(messages)
    text_hash = xxhash.xxh64_intdigest(text.encode())
    prompt = Prompt('', 0, text_hash, (), tokens, True)
    return ''.join(prompt.token(version, index) for index in range(tokens))
