"""Tests of matching calls to routes and of requests to targets."""

from tests.fakes.forwarding import HEADER_NAMES
from tests.policy.test_routing import make_customer
from tests.policy.test_routing import make_index
from tests.policy.test_routing import make_route
from wigeonfall.forwarding.calls import Call
from wigeonfall.forwarding.routed_request import MAX_PART_ID_CHARS
from wigeonfall.forwarding.routed_request import MAX_PARTS
from wigeonfall.forwarding.routed_request import route_call
from wigeonfall.forwarding.routed_request import ROUTE_RANKS
from wigeonfall.forwarding.routed_request import target_request

ROUTE = make_route(rank=2)


def make_call(*extra, body=b''):
    headers = (
        (b'host', b'shop.example'),
        (b'request-id', b'id-1'),
        (b'key', b'k'),
        *extra,
    )
    return Call(b'POST', b'/a/x', headers, body, 100.0)


def routed(*extra, route=ROUTE, customer=None):
    index = make_index(route, customers=(customer or make_customer(),))
    return route_call(index, make_call(*extra), HEADER_NAMES)


def test_the_deadline_is_the_shorter_of_both_time_limits():
    request = routed((b'left-ms', b'2000')).ok_value
    assert request.deadline_s == 102.0
    request = routed((b'left-ms', b'60000')).ok_value
    assert (request.deadline_s, request.caller_timeout_s) == (115.0, 60.0)


def test_tokens_are_counted_by_the_kind_of_quota():
    counts = (b'tokens', b'700, 80')
    assert routed(counts).ok_value.tokens == 780
    assert routed().ok_value.tokens == 200
    assert routed((b'tokens', b'many')).ok_value.tokens == 200
    by_request = make_customer(counts_tokens=False)
    assert routed(counts, customer=by_request).ok_value.tokens == 1


def test_a_customers_rank_goes_before_that_of_the_route():
    """With the customer's rank alone, no route had priority over another."""
    urgent = make_customer(rank=0)
    first = routed(customer=urgent).ok_value.rank
    later = routed(customer=make_customer(rank=1)).ok_value.rank
    assert first == 2
    assert later == ROUTE_RANKS + 2
    report = routed(
        customer=make_customer(rank=1), route=make_route(rank=0)
    ).ok_value.rank
    assert first < report < later


def test_a_call_with_two_request_ids_is_rejected():
    assert routed((b'request-id', b'id-2')).err_value.status == 400


def test_connection_headers_are_not_forwarded():
    request = routed(
        (b'connection', b'close, x-mine, request-id'), (b'x-mine', b'1')
    ).ok_value
    data = target_request(request, HEADER_NAMES, 't1', '', 100.5)
    assert b'x-mine' not in data
    assert b'request-id: id-1\r\n' in data
    assert b'Left-Ms: 14500\r\n' in data


def test_a_stream_is_resumed_after_the_last_event_of_the_caller():
    request = routed((b'last-event-id', b'3')).ok_value
    data = target_request(request, HEADER_NAMES, 't1', '7', 100.5)
    assert data.lower().count(b'last-event-id') == 1
    assert b'Last-Event-Id: 7\r\n' in data
    data = target_request(request, HEADER_NAMES, 't1', '', 100.5)
    assert b'last-event-id: 3\r\n' in data


def test_thousands_of_prompt_parts_are_not_kept():
    """5,000 parts of a legal head took 0.8 MB for as long as a call ran."""
    header = b','.join(b'%x:1' % number for number in range(5000))
    request = routed((b'parts', header)).ok_value
    assert len(request.parts) == MAX_PARTS
    assert len(request.prompt_parts) == 5000


def test_parts_after_one_with_a_long_name_do_not_count():
    long_name = b'x' * (MAX_PART_ID_CHARS + 1)
    header = b'a:60, a:70, ' + long_name + b':5, b:7'
    request = routed((b'parts', header)).ok_value
    assert [(p.id, p.tokens) for p in request.parts] == [('a', 60)]
    assert request.prompt_parts == ('a', long_name.decode(), 'b')
