"""The root of the errors that the layers raise.

Each layer defines its own errors below this one and turns the errors of the
layer under it into them.
"""


class WigeonfallError(Exception):
    """Base of every error raised on purpose in this package."""
