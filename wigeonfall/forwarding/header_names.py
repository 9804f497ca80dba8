"""Names of headers by which callers, instances and targets understand."""

import attrs


@attrs.frozen
class HeaderNames:
    """Header names, in the case in which they are sent.

    Attributes:
        request_id: identifier of a request, echoed by targets.
        time_left_ms: time that the sender will wait.
        key: key of a customer.
        customer: name of the customer that a key belongs to.
        expected_target: identifier of the only target that may run it.
        token_counts: tokens of the prompt and most tokens of the answer.
        not_run: in an answer, that the target did not run the request.
        receipt: in an answer, the target's proof that it answered.
        reserved: headers that only instances may set, in lower case.
        body_encoding: in an answer, a sign that others changed the body.
    """

    request_id: bytes
    time_left_ms: bytes
    key: bytes
    customer: bytes
    expected_target: bytes
    token_counts: bytes
    not_run: bytes
    receipt: bytes
    reserved: frozenset[bytes]
    body_encoding: bytes = b'Content-Encoding'
    last_event_id: bytes = b'Last-Event-Id'
