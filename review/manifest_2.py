"""A manifest and requests like those of a small deployment."""

HOST = 'ficu95.example'
KEY = 'i9n73hh2b9wu3fexd9dn'


def route(name, path, kind, service, timeout_ms=3000, **more):
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': path,
        'Kind': kind,
        'MaxAttempts': 1,
        'TimeoutMs': timeout_ms,
        'TargetLatencyMs': 400,
        'Priority': 1,
        'Service': service,
        **more,
    }


def manifest(version=1, routes=None):
    return {
        'Version': version,
        'Routes': routes or ROUTES,
        'Services': [{'Name': 'pool'}, {'Name': 'app'}],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': 'hule930', 'ApiKeys': [KEY]}],
    }


ROUTES = [
    route(
        'report',
        '/report/',
        'streaming',
        'pool',
        15000,
        GapAimMs=200,
        StickySessions=True,
    ),
    route(
        'recipe',
        '/recipe/',
        'streaming',
        'pool',
        15000,
        GapAimMs=200,
        MaxAttempts=2,
        ResumeStreams=True,
        StickySessions=True,
    ),
    route('order', '/order/', 'non_idempotent', 'app'),
    route('look', '/look/', 'idempotent', 'app', MaxAttempts=2),
]


def request(method, path, request_id, body=b'', time_ms=3000, headers=()):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Wigeonfall-Request-Id: {request_id}',
        f'X-Wigeonfall-Deadline-Ms: {time_ms}',
        f'X-Wigeonfall-Key: {KEY}',
        *headers,
    ]
    if method == 'POST' and not any(
        line.lower().startswith('transfer-encoding') for line in headers
    ):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body
