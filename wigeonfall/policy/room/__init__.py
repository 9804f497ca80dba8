"""Who waits, who gets room, and who is refused until when.

Calls by host and path ask in this order:

1. `token_quota` (`usage_window`): whether the customer is within its limit.
2. `patience`: how long the request may wait in the queue.
3. `waiting`: the queue of a service. It asks for each new request
   a. `bookings`: whether its caller was told to return,
   and while requests wait, every few milliseconds,
   b. `best_times`: which of them can still meet their goal,
   c. `rank_shares`: which ranks must not pass more urgent ones,
   d. `kind_shares`: which kinds have got less than their floor,
   e. `customer_shares`: which customers have used more than their part,
   f. `order`: who goes first, by all of these,
   g. `expected_room`: who cannot begin in time and expires at once.
   `targets.load_balancer` then chooses a target for each in turn.
4. `expected_room` and `bookings`: when the caller of an expired one returns.
5. `resend_budget`: whether a failed attempt may be sent again.

`terms` has what settings and routes say of 3 and 4. Calls with grants of an
arbiter by tier use `admission` (`grants`, `fair_queue`, `shares`) instead, and
`rate_limits` and `retry`.
"""
