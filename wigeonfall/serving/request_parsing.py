"""Authenticates calls and parses them into checked requests."""

from collections.abc import Mapping
import hashlib
import json
import posixpath
import re
from typing import Any
import urllib.parse
import uuid

from result import Err
from result import Ok
from result import Result

from .. import decoding
from ..model.configuration import Configuration
from ..model.customer import Customer
from ..model.refusal import Code
from ..model.refusal import not_run
from ..model.refusal import Refusal
from ..model.request import Request
from ..model.service import Service
from ..model.service import ServiceKind
from ..model.tier import outranks
from ..model.tier import Tier
from ..policy.targets import prompts
from ..ports.callers import Call

COMPLETIONS_PATH = '/v1/chat/completions'
MODELS_PATH = '/v1/models'
SERVICES_PREFIX = '/services/'
MANAGEMENT_ROOT = 'manage'
DEFAULT_ANSWER_TOKENS = 256
MAX_DEADLINE_S = 3600.0
MAX_KEY_CHARACTERS = 255

_VALID_REQUEST_ID = re.compile(r'[A-Za-z0-9._-]{1,64}')
_POSITIVE_INTEGER = re.compile(r'0*[1-9][0-9]{0,11}')
_HEADERS_NOT_FORWARDED = frozenset(
    {
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-attempt-id',
        'x-deadline-ms',
        'x-request-id',
        'x-resume-offset',
        'x-tier',
    }
)


def choose_request_id(headers: Mapping[str, str]) -> str:
    """Return the caller's request id if it is usable, or a new one."""
    given = headers.get('x-request-id', '')
    if _VALID_REQUEST_ID.fullmatch(given):
        return given
    return uuid.uuid4().hex


def authenticate(
    call: Call, configuration: Configuration
) -> Result[Customer, Refusal]:
    """Return the customer whose API key a call carries."""
    scheme, _, key = call.headers.get('authorization', '').partition(' ')
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    customer = configuration.customer_by_key(digest)
    if scheme.lower() != 'bearer' or customer is None:
        return Err(not_run(Code.KEY_UNKNOWN, 'the API key is not known'))
    return Ok(customer)


def check_request(
    call: Call,
    request_id: str,
    customer: Customer,
    configuration: Configuration,
    now_s: float,
) -> Result[Request, Refusal]:
    """Parse and check a call.

    Args:
        call: the call.
        request_id: identifier for the request.
        customer: the authenticated customer.
        configuration: the configuration in force.
        now_s: present time on the monotonic clock.

    Returns:
        A request, or a refusal that is always "not run".
    """
    tier = _tier(call, customer, configuration)
    if isinstance(tier, Err):
        return tier
    if call.path.startswith(SERVICES_PREFIX):
        made = _service_request(
            call, request_id, customer, tier.ok_value, configuration, now_s
        )
    elif call.path == COMPLETIONS_PATH and call.method == 'POST':
        made = _completion_request(
            call, request_id, customer, tier.ok_value, configuration, now_s
        )
    else:
        made = Err(not_run(Code.NOT_FOUND, 'no such path'))
    return made


def _tier(
    call: Call, customer: Customer, configuration: Configuration
) -> Result[Tier, Refusal]:
    highest = configuration.tier(customer.tier)
    if highest is None:
        return Err(
            not_run(Code.INTERNAL, 'the tier of the customer is not known')
        )
    name = call.headers.get('x-tier', customer.tier)
    tier = configuration.tier(name)
    if tier is None:
        return Err(not_run(Code.BAD_REQUEST, f'no tier {name!r}'))
    if outranks(tier, highest):
        message = f'the customer may not ask for tier {name!r}'
        return Err(not_run(Code.TIER_NOT_ALLOWED, message))
    return Ok(tier)


def _deadline_s(
    call: Call, service: Service, now_s: float
) -> Result[float, Refusal]:
    text = call.headers.get('x-deadline-ms')
    if text is None:
        return Ok(now_s + service.deadline_s)
    if not _POSITIVE_INTEGER.fullmatch(text):
        message = 'X-Deadline-Ms is not a positive whole number'
        return Err(not_run(Code.BAD_REQUEST, message))
    return Ok(now_s + min(int(text) / 1000, MAX_DEADLINE_S))


def _service_request(
    call: Call,
    request_id: str,
    customer: Customer,
    tier: Tier,
    configuration: Configuration,
    now_s: float,
) -> Result[Request, Refusal]:
    name, _, rest = call.path.removeprefix(SERVICES_PREFIX).partition('/')
    service = configuration.service(name)
    if _is_management(rest):
        return Err(not_run(Code.NOT_FOUND, 'no such path'))
    if service is None or service.kind is not ServiceKind.PLAIN:
        return Err(not_run(Code.NOT_FOUND, f'no plain service {name!r}'))
    deadline = _deadline_s(call, service, now_s)
    if isinstance(deadline, Err):
        return deadline
    key = call.headers.get('idempotency-key', '')
    if len(key) > MAX_KEY_CHARACTERS:
        message = f'Idempotency-Key exceeds {MAX_KEY_CHARACTERS} characters'
        return Err(not_run(Code.BAD_REQUEST, message))
    route = rest.partition('?')[0].partition('/')[0]
    return Ok(
        Request(
            id=request_id,
            customer=customer,
            tier=tier,
            service=service,
            method=call.method,
            path='/' + rest,
            headers=_forwarded_headers(call.headers),
            body=call.body,
            arrived_s=now_s,
            deadline_s=deadline.ok_value,
            idempotency_key=key,
            route=f'{call.method} /{route}',
        )
    )


def _is_management(path: str) -> bool:
    """Return whether a target may take a path for its management interface.

    The path is decoded and normalised first, as a target may do both.
    """
    decoded = urllib.parse.unquote(path.partition('?')[0])
    normal = posixpath.normpath('/' + decoded.replace('\\', '/')).lstrip('/')
    return normal.partition('/')[0].lower() == MANAGEMENT_ROOT


def _completion_request(
    call: Call,
    request_id: str,
    customer: Customer,
    tier: Tier,
    configuration: Configuration,
    now_s: float,
) -> Result[Request, Refusal]:
    body = _read_completion(call.body)
    if isinstance(body, Err):
        return body
    value = body.ok_value
    service = configuration.service_for_model(value['model'])
    if service is None:
        message = f'no model {value["model"]!r}'
        return Err(not_run(Code.NOT_FOUND, message))
    deadline = _deadline_s(call, service, now_s)
    if isinstance(deadline, Err):
        return deadline
    prompt = _prompt_text(value['messages'])
    return Ok(
        Request(
            id=request_id,
            customer=customer,
            tier=tier,
            service=service,
            method='POST',
            path=COMPLETIONS_PATH,
            headers=_forwarded_headers(call.headers),
            body=call.body,
            arrived_s=now_s,
            deadline_s=deadline.ok_value,
            model=value['model'],
            stream=bool(value.get('stream', False)),
            prompt_tokens=prompts.count_tokens(prompt),
            answer_tokens=value.get('max_tokens', DEFAULT_ANSWER_TOKENS),
            prefix_hashes=prompts.hash_prefixes(prompt),
            route=value['model'],
        )
    )


def _read_completion(body: bytes) -> Result[dict[str, Any], Refusal]:
    try:
        text = body.decode(json.detect_encoding(body), 'surrogatepass')
        value = decoding.loads(text)
    except ValueError:
        return Err(not_run(Code.BAD_REQUEST, 'the body is not JSON'))
    problem = _completion_problem(value)
    if problem is not None:
        return Err(not_run(Code.BAD_REQUEST, problem))
    return Ok(value)


def _completion_problem(value: Any) -> str | None:
    if not isinstance(value, dict):
        return 'the body is not a JSON object'
    if not isinstance(value.get('model'), str):
        return '"model" is not a string'
    messages = value.get('messages')
    if not isinstance(messages, list) or not messages:
        return '"messages" is not a list with at least one message'
    if not all(isinstance(message, dict) for message in messages):
        return '"messages" holds something other than objects'
    max_tokens = value.get('max_tokens', DEFAULT_ANSWER_TOKENS)
    if (
        not isinstance(max_tokens, int)
        or isinstance(max_tokens, bool)
        or max_tokens < 1
    ):
        return '"max_tokens" is not a positive whole number'
    return None


def _prompt_text(messages: list[dict[str, Any]]) -> str:
    parts = []
    for message in messages:
        content = message.get('content', '')
        if not isinstance(content, str):
            content = json.dumps(content, sort_keys=True)
        parts.append(f'{message.get("role", "")}: {content}\n')
    return ''.join(parts)


def _forwarded_headers(
    headers: Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in _HEADERS_NOT_FORWARDED
    )
