"""Sends the live list of targets to peers that could not read it.

An instance that starts while the platform is unreachable uses the targets of
its peers until it reads the platform's own list.
"""

import threading

import attrs

from ..model.target import Target
from .available_targets import AvailableTargets

TARGETS_PER_MESSAGE = 256


@attrs.frozen
class Message:
    """What one instance sends to another about the live list.

    Attributes:
        wanted: whether the sender has not read the platform's list yet.
        known: whether the sender has a list, from the platform or a peer.
        targets: some of the sender's targets, if the receiver wants them.
    """

    wanted: bool
    known: bool
    targets: tuple[Target, ...] = ()


class ListSharing:
    """The peers that want the list, and what to send to each next."""

    def __init__(self, targets: AvailableTargets) -> None:
        self._targets = targets
        self._lock = threading.Lock()
        self._next_index: dict[str, int] = {}

    def message(self, peer: str) -> Message:
        """Return the message to send to a peer.

        A list of more than TARGETS_PER_MESSAGE targets is sent in parts, one
        with each message, and starts again after the last.

        Args:
            peer: name of the peer.
        """
        wanted = not self._targets.has_list()
        known = self._targets.known()
        with self._lock:
            start = self._next_index.get(peer)
            if start is None:
                return Message(wanted, known)
            listed = self._targets.listed()
            end = start + TARGETS_PER_MESSAGE
            self._next_index[peer] = end if end < len(listed) else 0
            return Message(wanted, known, listed[start:end])

    def merge(self, message: Message, sender: str, now_s: float) -> None:
        """Merge a message of a peer.

        Args:
            message: the message.
            sender: name of the peer.
            now_s: present time on the monotonic clock.
        """
        with self._lock:
            if message.wanted:
                self._next_index.setdefault(sender, 0)
            else:
                self._next_index.pop(sender, None)
        if message.known:
            self._targets.add_from_peer(message.targets, now_s)
