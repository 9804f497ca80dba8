"""Names of the headers between callers, instances and targets."""

import attrs


@attrs.frozen
class HeaderNames:
    """Header names, in the case in which they are sent.

    Attributes:
        request_id: identifier of a request, echoed by targets.
        time_left_ms: time that the sender will still wait.
        key: API key of a customer.
        customer: name of the customer that a key belongs to.
        expected_target: identifier of the only target that may run it.
        token_counts: tokens of the prompt and maximum tokens of the answer.
        prompt_parts: parts of the prompt in order, each as "id:tokens".
        not_run: in an answer, set if the target did not run the request.
        receipt: in an answer, proof that it comes from the target.
        reserved: headers that only instances may set, in lower case.
        leaving: in an answer, set to 1 if the target leaves.
        pause: in a refusal of a target, for how many seconds it wants no
            requests.
        body_encoding: in an answer, set if an intermediary encoded the body.
        rate_limit: in an answer, requests a second that the target accepts.
        last_event_id: in a resumed request, the last event the caller got.
    """

    request_id: bytes
    time_left_ms: bytes
    key: bytes
    customer: bytes
    expected_target: bytes
    token_counts: bytes
    prompt_parts: bytes
    not_run: bytes
    receipt: bytes
    reserved: frozenset[bytes]
    rate_limit: bytes
    leaving: bytes
    pause: bytes = b'Retry-After'
    body_encoding: bytes = b'Content-Encoding'
    last_event_id: bytes = b'Last-Event-Id'
