"""Which numbers are statuses of HTTP answers."""

import http

_LEAST = 100
_MOST = 599
_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


def is_valid(status: int) -> bool:
    """Return whether a number is a status; parsers take any three digits."""
    return _LEAST <= status <= _MOST


def is_interim(status: int) -> bool:
    """Return whether another answer follows one of a valid status."""
    return status < http.HTTPStatus.OK


def is_success(status: int) -> bool:
    """Return whether a status says that a request succeeded."""
    return http.HTTPStatus.OK <= status < http.HTTPStatus.MULTIPLE_CHOICES


def phrase(status: int) -> str:
    """Return the text of a status line after the status."""
    return _PHRASES.get(status, 'Status')
