"""Lends the live list of targets to instances that could not read it.

An instance that starts while the platform is away learns the targets from
its peers until it reads the platform's own list.
"""

import threading

import attrs

from ..model.target import Target
from .available_targets import AvailableTargets

TARGETS_PER_MESSAGE = 256


@attrs.frozen
class Message:
    """What one instance tells another of the live list.

    Attributes:
        wanted: whether the sender has no list of the platform's yet.
        known: whether the sender knows the targets, from the platform or a
            peer.
        targets: some of the sender's targets, if the receiver wants them.
    """

    wanted: bool
    known: bool
    targets: tuple[Target, ...] = ()


class ListSharing:
    """Who wants the list, and how much of it each was told."""

    def __init__(self, targets: AvailableTargets) -> None:
        self._targets = targets
        self._lock = threading.Lock()
        self._next_for: dict[str, int] = {}

    def message(self, peer: str) -> Message:
        """Return what to tell a peer.

        A long list goes in parts, one with each message, in turn.

        Args:
            peer: name of the peer.
        """
        wanted = not self._targets.has_list()
        known = self._targets.known()
        with self._lock:
            start = self._next_for.get(peer)
            if start is None:
                return Message(wanted, known)
            listed = self._targets.listed()
            end = start + TARGETS_PER_MESSAGE
            self._next_for[peer] = end if end < len(listed) else 0
            return Message(wanted, known, listed[start:end])

    def merge(self, message: Message, sender: str, now_s: float) -> None:
        """Take in what a peer told.

        Args:
            message: what it told.
            sender: its name.
            now_s: present time on the monotonic clock.
        """
        with self._lock:
            if message.wanted:
                self._next_for.setdefault(sender, 0)
            else:
                self._next_for.pop(sender, None)
        if message.known:
            self._targets.add_from_peer(message.targets, now_s)
