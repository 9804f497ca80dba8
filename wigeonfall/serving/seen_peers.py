"""The instances that were heard of lately."""

import threading

from ..model.instance import Instance

FORGET_S = 6.0


class SeenPeers:
    """When each other instance was last heard of."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: dict[str, tuple[Instance, float]] = {}

    def seen(self, peer: Instance, now_s: float) -> None:
        """Take note of a sign of life.

        Args:
            peer: the instance that sent it.
            now_s: present time; the same clock must be given to live().
        """
        with self._lock:
            self._seen[peer.name] = (peer, now_s)

    def live(self, now_s: float) -> tuple[Instance, ...]:
        """Return the instances heard of within FORGET_S."""
        with self._lock:
            self._seen = {
                name: (peer, seen_s)
                for name, (peer, seen_s) in self._seen.items()
                if now_s - seen_s <= FORGET_S
            }
            return tuple(peer for peer, _ in self._seen.values())
