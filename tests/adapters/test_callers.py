"""Callers on real sockets: drain, slow callers, limits."""

import http.client
import socket
import threading
import time

import pytest

from wigeonfall.adapters import callers
from wigeonfall.model import answer

STEP_S = 0.05


def _settings(**changes):
    values = {
        'address': '127.0.0.1:0',
        'threads': 8,
        'header_limit_bytes': 8192,
        'body_limit_bytes': 1000,
    }
    return callers.ListenSettings(**{**values, **changes})


def _make_server(handle, **changes):
    server = callers.CallersServer(_settings(**changes), handle)
    server.shutdown_timeout = 0  # cheroot's own wait must not be needed
    host, _, port = server.begin().rpartition(':')
    return server, (host, int(port))


def _echo(call):
    body = call.body or call.path.encode()
    headers = (('Content-Length', str(len(body))),)
    return answer.Answer(200, headers, iter((body,)))


def _get(address, path='/x'):
    connection = http.client.HTTPConnection(*address, timeout=30)
    connection.request('GET', path)
    response = connection.getresponse()
    body = response.read()
    connection.close()
    return response.status, body


def test_a_call_reaches_the_handler_with_path_and_query() -> None:
    server, address = _make_server(_echo)
    assert _get(address, '/a/b?c=%20d') == (200, b'/a/b?c=%20d')
    server.drain(STEP_S)


def test_drain_answers_connections_that_have_not_sent_yet() -> None:
    server, address = _make_server(_echo, threads=2)
    clients = [
        socket.create_connection(address, timeout=30) for _ in range(50)
    ]
    while server.open_connections() < len(clients):
        time.sleep(0.001)
    stopping = threading.Thread(target=server.drain, args=(STEP_S,))
    stopping.start()
    time.sleep(STEP_S * 20)
    answers = []
    for number, client in enumerate(clients):
        head = f'GET /{number} HTTP/1.1\r\nHost: h\r\n\r\n'
        client.sendall(head.encode())
    for client in clients:
        response = http.client.HTTPResponse(client)
        response.begin()
        answers.append(response.read().decode())
        client.close()
    stopping.join()
    assert answers == [f'/{number}' for number in range(50)]


def test_drain_answers_a_call_on_a_connection_that_was_idle() -> None:
    server, address = _make_server(_echo)
    connection = http.client.HTTPConnection(*address, timeout=30)
    connection.request('GET', '/first')
    connection.getresponse().read()
    stopping = threading.Thread(target=server.drain, args=(STEP_S,))
    stopping.start()
    time.sleep(STEP_S * 20)
    connection.request('GET', '/second')
    response = connection.getresponse()
    assert response.read() == b'/second'
    assert response.getheader('Connection') == 'close'
    connection.close()
    stopping.join()


def test_drain_waits_for_a_long_stream() -> None:
    def stream(call):
        def body():
            for _ in range(20):
                time.sleep(STEP_S)
                yield b'x'

        return answer.Answer(200, (), body())

    server, address = _make_server(stream)
    results = []
    caller = threading.Thread(target=lambda: results.append(_get(address)))
    caller.start()
    while not server.open_connections():
        time.sleep(0.001)
    server.drain(STEP_S)
    caller.join()
    assert results == [(200, b'x' * 20)]


def test_slow_callers_do_not_hold_the_instance() -> None:
    server, address = _make_server(_echo, threads=4, read_timeout_s=0.5)
    slow = [socket.create_connection(address) for _ in range(4)]
    stop = threading.Event()

    def dribble():
        while not stop.wait(0.1):
            for client in slow:
                try:
                    client.sendall(b'G')
                except OSError:
                    return

    dribbling = threading.Thread(target=dribble)
    dribbling.start()
    assert _get(address)[0] == 200
    stop.set()
    dribbling.join()
    for client in slow:
        client.close()
    server.drain(STEP_S)


def test_connections_above_the_limit_are_refused_as_not_run() -> None:
    server, address = _make_server(_echo, connections=2)
    held = [socket.create_connection(address) for _ in range(2)]
    while server.open_connections() < 2:
        time.sleep(0.001)
    refused = socket.create_connection(address, timeout=30)
    received = refused.recv(4096)
    assert b' 503 ' in received and b'X-Run: not-run' in received
    for client in [*held, refused]:
        client.close()
    server.drain(STEP_S)


@pytest.mark.parametrize(
    'head', [b'nonsense\r\n\r\n', b'GET / HTTP/9.9\r\n\r\n', b'\x00' * 64]
)
def test_malformed_calls_leave_the_instance_serving(head) -> None:
    server, address = _make_server(_echo)
    with socket.create_connection(address, timeout=30) as client:
        client.sendall(head)
        client.shutdown(socket.SHUT_WR)
        while client.recv(4096):
            pass
    assert _get(address)[0] == 200
    server.drain(STEP_S)


def test_bodies_of_all_calls_are_bounded_together() -> None:
    """Each thread held a whole body, whatever the others held."""
    started = threading.Event()
    release = threading.Event()

    def hold(call):
        if len(call.body) > 1 << 20:
            started.set()
            release.wait(30)
        return _echo(call)

    def post(size, results):
        connection = http.client.HTTPConnection(*address, timeout=30)
        try:
            connection.request('POST', '/x', b'p' * size)
            response = connection.getresponse()
            run = response.getheader('X-Run')
            results.append((response.status, run))
        except OSError as error:
            results.append((0, repr(error)))
        connection.close()

    # Its account takes one of these bodies at a time.
    server, address = _make_server(
        hold, body_limit_bytes=8 << 20, memory_mb=64
    )
    first, second, small = [], [], []
    holding = threading.Thread(target=post, args=(8 << 20, first))
    holding.start()
    assert started.wait(30)
    post(4 << 20, second)
    post(800, small)
    release.set()
    holding.join()
    # Closed with unread bytes, the refusal may be reset on its way.
    assert second[0] == (503, 'not-run') or second[0][0] == 0
    assert small == [(200, None)] and first == [(200, None)]
    again = []
    post(4 << 20, again)
    assert again == [(200, None)]
    server.drain(STEP_S)
