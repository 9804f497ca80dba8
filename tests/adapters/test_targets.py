"""Attempts over real sockets."""

import socket
import struct
import threading
import time

import pytest
from result import Err
from result import Ok

from wigeonfall.adapters import targets as targets_adapter
from wigeonfall.model import target
from wigeonfall.ports import targets as port


def _receive_request(connection):
    """Read a request to its end; a body may come in a segment of its own."""
    request = b''
    while not request.endswith(b'{}'):
        part = connection.recv(65536)
        if not part:
            return b''
        request += part
        if request.startswith(b'HEAD'):
            break
    return request


def _serve(*answers, delay_s=0.0):
    """Answer connections one after the other with the given bytes."""
    listener = socket.create_server(('127.0.0.1', 0))

    def run():
        for answer in answers:
            connection, _ = listener.accept()
            with connection:
                _receive_request(connection)
                time.sleep(delay_s)
                connection.sendall(answer)
        listener.close()

    threading.Thread(target=run, daemon=True).start()
    return f'127.0.0.1:{listener.getsockname()[1]}'


def _attempt(address, **changes):
    values = {
        'id': 'a1',
        'request_id': 'r1',
        'target': target.Target('t1', 'app', 'dc', address),
        'method': 'POST',
        'path': '/x',
        'headers': (),
        'body': b'{}',
    }
    return port.Attempt(**{**values, **changes})


def _head(length, attempt_id='a1'):
    return (
        f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\n'
        f'Content-Length: {length}\r\n\r\n'
    ).encode()


def _read(opened):
    assert isinstance(opened, Ok)
    answer = opened.ok_value
    parts = []
    while chunk := answer.read():
        parts.append(chunk)
    answer.close()
    return b''.join(parts)


def test_a_slow_first_byte_is_waited_for_longer_than_a_connection() -> None:
    address = _serve(_head(2) + b'ok', delay_s=0.4)
    attempt = _attempt(address, connect_timeout_s=0.1, first_byte_timeout_s=30)
    assert _read(targets_adapter.make_targets().open(attempt)) == b'ok'


def test_a_truncated_answer_is_broken() -> None:
    opened = targets_adapter.make_targets().open(
        _attempt(_serve(_head(10) + b'half'))
    )
    try:
        _read(opened)
    except port.AttemptFailed as failure:
        assert failure.error.kind is port.AttemptErrorKind.BROKEN
        assert failure.error.may_have_run
    else:
        raise AssertionError('a truncated answer passed for whole')


def _serve_without_length(reset):
    listener = socket.create_server(('127.0.0.1', 0))

    def run():
        connection, _ = listener.accept()
        with connection:
            _receive_request(connection)
            connection.sendall(
                b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n\r\nall of it'
            )
            if reset:
                time.sleep(0.1)
                linger = struct.pack('ii', 1, 0)
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )

    threading.Thread(target=run, daemon=True).start()
    return f'127.0.0.1:{listener.getsockname()[1]}'


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    address = _serve_without_length(reset=False)
    opened = targets_adapter.make_targets().open(_attempt(address))
    assert _read(opened) == b'all of it'


def test_an_answer_without_a_length_that_is_reset_is_broken() -> None:
    address = _serve_without_length(reset=True)
    opened = targets_adapter.make_targets().open(_attempt(address))
    with pytest.raises(port.AttemptFailed):
        _read(opened)


def test_an_answer_of_another_attempt_is_crossed() -> None:
    opened = targets_adapter.make_targets().open(
        _attempt(_serve(_head(2, 'a2') + b'ok'))
    )
    assert opened.err_value.kind is port.AttemptErrorKind.WRONG_ATTEMPT


def test_a_refused_connection_is_provably_not_run() -> None:
    listener = socket.create_server(('127.0.0.1', 0))
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    listener.close()
    opened = targets_adapter.make_targets().open(_attempt(address))
    assert isinstance(opened, Err)
    assert not opened.err_value.may_have_run


def test_a_connection_closed_after_the_request_may_have_run() -> None:
    opened = targets_adapter.make_targets().open(_attempt(_serve(b'')))
    assert opened.err_value.may_have_run


def test_silence_is_told_from_a_broken_connection() -> None:
    address = _serve(_head(2) + b'ok', delay_s=5)
    opened = targets_adapter.make_targets().open(
        _attempt(address, first_byte_timeout_s=0.1)
    )
    assert opened.err_value.kind is port.AttemptErrorKind.TIMED_OUT
    assert opened.err_value.may_have_run


def _serve_chunks(*segments):
    """Answer each request on one connection with the same segments."""
    listener = socket.create_server(('127.0.0.1', 0))
    accepted = []

    def run():
        connection, _ = listener.accept()
        accepted.append(connection)
        with connection:
            while _receive_request(connection):
                for segment in segments:
                    connection.sendall(segment)
                    time.sleep(0.01)

    threading.Thread(target=run, daemon=True).start()
    return f'127.0.0.1:{listener.getsockname()[1]}', accepted


CHUNKED = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def test_chunks_arrive_whole_however_they_are_cut() -> None:
    address, _ = _serve_chunks(
        CHUNKED + b'3\r\nabc\r\n2\r\nd', b'e\r\n', b'1\r', b'\nf\r\n0\r\n\r\n'
    )
    opened = targets_adapter.make_targets().open(_attempt(address))
    assert _read(opened) == b'abcdef'


@pytest.mark.parametrize(
    'segments',
    [
        (CHUNKED, b'2\r\nok\r\n0\r\n\r\n'),
        (CHUNKED + b'2\r\nok\r\n0\r\n\r\n',),
        (_head(2) + b'ok',),
    ],
)
def test_a_connection_serves_again_once_its_answer_was_whole(
    segments: tuple[bytes, ...],
) -> None:
    address, accepted = _serve_chunks(*segments)
    made = targets_adapter.make_targets()
    for _ in range(3):
        assert _read(made.open(_attempt(address))) == b'ok'
    assert len(accepted) == 1


def test_a_chunked_answer_without_its_end_is_broken() -> None:
    opened = targets_adapter.make_targets().open(
        _attempt(_serve(CHUNKED + b'2\r\nok\r\n'))
    )
    answer = opened.ok_value
    assert answer.read() == b'ok'
    try:
        answer.read()
    except port.AttemptFailed as failure:
        assert failure.error.kind is port.AttemptErrorKind.BROKEN
    else:
        raise AssertionError('a truncated answer passed for whole')


def test_a_head_request_has_no_body_to_wait_for() -> None:
    opened = targets_adapter.make_targets().open(
        _attempt(_serve(_head(100)), method='HEAD', body=b'')
    )
    assert _read(opened) == b''


def _refusal(attempt_id):
    return (
        f'HTTP/1.1 503 Full\r\nX-Attempt-Id: {attempt_id}\r\n'
        'X-Run: not-run\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def _serve_twice(first, second):
    """Answer two requests on one connection; return address and count."""
    listener = socket.create_server(('127.0.0.1', 0))
    served = []

    def run():
        connection, _ = listener.accept()
        with connection:
            for answer in (first, second):
                served.append(_receive_request(connection))
                connection.sendall(answer)

    threading.Thread(target=run, daemon=True).start()
    return f'127.0.0.1:{listener.getsockname()[1]}', served


def test_repeated_refusal_of_an_earlier_attempt_does_not_refuse_the_next():
    """Callers were told "not run" of requests that a target was running."""
    answer = _head(2, 'a2') + b'ok'
    address, served = _serve_twice(_head(2) + b'ok', _refusal('a1') + answer)
    made = targets_adapter.make_targets()
    assert _read(made.open(_attempt(address))) == b'ok'
    opened = made.open(_attempt(address, id='a2'))
    assert len(served) == 2
    assert opened.err_value.kind is port.AttemptErrorKind.WRONG_ATTEMPT
    assert opened.err_value.may_have_run


WHOLE_HEAD = _head(2)


@pytest.mark.parametrize('kept', range(len(WHOLE_HEAD)))
def test_answer_that_ends_within_its_head_is_broken(kept: int) -> None:
    """Such an answer passed for an empty one that is whole."""
    opened = targets_adapter.make_targets().open(
        _attempt(_serve(WHOLE_HEAD[:kept]))
    )
    assert opened.err_value.kind is port.AttemptErrorKind.BROKEN
    assert opened.err_value.may_have_run


@pytest.mark.parametrize(
    'status',
    [
        '000 X',
        '099 X',
        '600 X',
        '999 X',
        '2x0 X',
        '101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: h2c',
    ],
)
@pytest.mark.parametrize('interim', [False, True])
def test_answer_without_a_status_is_broken(status, interim) -> None:
    """It was passed on, or ended the call by an unexpected error."""
    answer = _head(2).replace(b'200 OK', status.encode()) + b'ok'
    before = b'HTTP/1.1 100 Continue\r\n\r\n' if interim else b''
    attempt = _attempt(_serve(before + answer))
    opened = targets_adapter.make_targets().open(attempt)
    assert opened.err_value.kind is port.AttemptErrorKind.BROKEN
    assert opened.err_value.may_have_run


@pytest.mark.parametrize('count', [1, 3])
def test_interim_answers_come_before_the_answer(count) -> None:
    """The first was taken for the answer."""
    interim = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' * count
    opened = targets_adapter.make_targets().open(
        _attempt(_serve(interim + _head(2) + b'ok'))
    )
    assert opened.ok_value.status == 200
    assert ('Link', 'x') not in opened.ok_value.headers
    assert _read(opened) == b'ok'


def test_interim_answers_without_end_are_broken() -> None:
    interim = b'HTTP/1.1 100 Continue\r\n\r\n' * 1000
    opened = targets_adapter.make_targets().open(_attempt(_serve(interim)))
    assert opened.err_value.kind is port.AttemptErrorKind.BROKEN
