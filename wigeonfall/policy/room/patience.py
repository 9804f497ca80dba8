"""How long callers wait for an answer, and so may their requests in a queue.

Load pattern: callers of streams give up a few seconds after they asked, or
after the last event. A request that gets its slot later than that runs for
nobody; one that is refused earlier leaves its caller time to return.
"""

MIN_PATIENCE_S = 2.0  # published patience of streaming callers
PATIENCE_GOALS = 4.0  # multiple of the goal for the first event
PATIENCE_PAUSES = 8.0  # multiple of the goal for pauses between events
ANSWER_MARGIN_S = 0.25  # for the round trip to the target
WAIT_SHARE = 0.6  # of the patience or time; the target needs the rest
RETRY_WAIT_SHARE = 0.85  # of the patience, for callers that will not retry
BUFFERED_WAIT_SHARE = 0.6  # of the time left, for services that do not stream
RETRY_SHARE = 1 / 3  # callers honour a delay up to this share of the time left


def patience_s(goal_s: float, pause_s: float) -> float:
    """Return how long streaming callers wait for a first event.

    Args:
        goal_s: goal for the time to the first event.
        pause_s: goal for the longest pause between events.
    """
    return max(
        MIN_PATIENCE_S, PATIENCE_GOALS * goal_s, PATIENCE_PAUSES * pause_s
    )


def wait_limit_s(
    streaming: bool,
    goal_s: float,
    pause_s: float,
    time_left_s: float,
    is_retry: bool = False,
) -> float:
    """Return how long a request may wait for a target.

    Args:
        streaming: whether its caller waits for a first event.
        goal_s: goal for the time to the first event or whole answer.
        pause_s: goal for the longest pause between events.
        time_left_s: time until the deadline of the request.
        is_retry: whether its caller was refused before.
    """
    if not streaming:
        return max(0.0, BUFFERED_WAIT_SHARE * time_left_s - ANSWER_MARGIN_S)
    max_s = patience_s(goal_s, pause_s)
    if is_retry:
        max_s *= RETRY_WAIT_SHARE
    else:
        # The rest of a short time is needed to return after a refusal.
        max_s = WAIT_SHARE * min(max_s, time_left_s)
    return max(0.0, min(max_s, time_left_s - ANSWER_MARGIN_S))
