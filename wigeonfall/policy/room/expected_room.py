"""Estimates when waiting requests get a slot, and when refused ones may.

Load pattern: more requests wait than can begin before their callers leave.
Those that cannot be reached are refused at once rather than at the end of
their wait, and each of their callers is told another time to return, at which
there should be room after all that wait now and all that return earlier.
"""

import attrs

BOOKED_SHARE = 0.25  # of the slots; new callers take the others


@attrs.define
class ExpectedRoom:
    """Work that waits for the slots of a service.

    Attributes:
        slots: slots that this instance may fill.
        queued_s: slot time of the waiting requests.
        booked_until_s: time at which the callers told to return so far
            should have been served, on the monotonic clock.
    """

    slots: float = 0.0
    queued_s: float = 0.0
    booked_until_s: float = 0.0

    def wait_s(self, ahead_s: float) -> float:
        """Return the wait behind a number of seconds of slot time."""
        return ahead_s / max(1.0, self.slots)

    def book(
        self,
        work_s: float,
        most_s: float,
        now_s: float,
        share: float = BOOKED_SHARE,
    ) -> float:
        """Return the delay after which a refused caller should return.

        Args:
            work_s: slot time of its request.
            most_s: longest delay after which it would return.
            now_s: present time on the monotonic clock.
            share: share of the slots kept for such callers.
        """
        drained_s = now_s + self.wait_s(self.queued_s)
        due_s = max(drained_s, self.booked_until_s)
        if due_s - now_s > most_s or share <= 0:
            return most_s
        self.booked_until_s = due_s + self.wait_s(work_s) / share
        return due_s - now_s
