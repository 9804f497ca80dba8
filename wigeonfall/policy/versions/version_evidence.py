"""Counts of answers by version, added up over all instances."""

from collections.abc import Collection
from collections.abc import Mapping

_TOTAL_PREFIX = '~'  # of the counts over all instances that a hub hears


class Evidence:
    """Counts of answers by version, from this instance and its peers."""

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._peers: dict[tuple[str, int], Mapping[str, int]] = {}
        self._totals: dict[str, int] = {}

    def advertised(self, with_totals: bool) -> dict[str, int]:
        """Return the counts to send to peers.

        Args:
            with_totals: whether to add the counts over all instances.
        """
        counts = dict(self._own)
        if with_totals:
            keys = self._own.keys() | self._totals.keys()
            for peer in self._peers.values():
                keys |= peer.keys()
            for key in keys:
                counts[_TOTAL_PREFIX + key] = self._total(key)
        return counts

    def count(
        self, service: str, version: str, outcome: str, number: int = 1
    ) -> None:
        """Count an answer, or add a number to a sum."""
        key = f'{service}/{version}/{outcome}'
        self._own[key] = self._own.get(key, 0) + number

    def keep_only(self, versions: Collection[str]) -> None:
        """Drop the counts of all versions but some.

        Args:
            versions: the versions to keep, each as "service/version/".
        """
        kept = tuple(versions)
        for counts in (self._own, self._totals):
            for key in tuple(counts):
                if not key.startswith(kept):
                    del counts[key]
        for peer, heard in tuple(self._peers.items()):
            self._peers[peer] = {
                key: count
                for key, count in heard.items()
                if key.startswith(kept)
            }
            if not self._peers[peer]:
                del self._peers[peer]

    def names(self, service: str, version: str) -> set[str]:
        """Return the names of the counts of a version."""
        prefix = f'{service}/{version}/'
        return {
            key.removeprefix(prefix)
            for counts in (self._own, self._totals, *self._peers.values())
            for key in counts
            if key.startswith(prefix)
        }

    def set_peer_counts(
        self, peer: str, incarnation: int, counts: Mapping[str, int]
    ) -> None:
        """Replace the counts of one incarnation of a peer."""
        own = {}
        for key, count in counts.items():
            if key.startswith(_TOTAL_PREFIX):
                key = key.removeprefix(_TOTAL_PREFIX)
                self._totals[key] = max(count, self._totals.get(key, 0))
            else:
                own[key] = count
        self._peers[peer, incarnation] = own

    def total(self, service: str, version: str, outcome: str) -> int:
        """Return a count over all instances."""
        return self._total(f'{service}/{version}/{outcome}')

    def _total(self, key: str) -> int:
        heard = sum(counts.get(key, 0) for counts in self._peers.values())
        return max(self._own.get(key, 0) + heard, self._totals.get(key, 0))
