"""The choice among targets of which nothing is known."""

import collections

from wigeonfall.model.target import Target
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.targets.target_choice import TimeBudget
from wigeonfall.policy.targets.target_stats import RequestSize

BUDGET = TimeBudget(1.0, 2.0, 10.0)
SIZE = RequestSize(1000, 100)
INSTANCES = 84
TARGETS = 30


def _choices(balancer, names, count):
    chosen = []
    for _ in range(count):
        estimate = balancer.choose(
            balancer.estimates(names, 1.0), SIZE, BUDGET, 1.0
        )
        name = estimate.stats.target.name
        balancer.request_sent(name, SIZE)
        chosen.append(name)
    return chosen


def _balancer(instance, data_centers=('dc',)):
    targets = [
        Target(
            f't{n}',
            's',
            data_centers[n % len(data_centers)],
            '10.0.0.1:1',
            slots=8,
        )
        for n in range(TARGETS)
    ]
    balancer = LoadBalancer('dc', instance)
    balancer.set_targets(targets)
    return balancer, [target.name for target in targets]


def test_instances_that_start_together_do_not_all_send_to_one_target():
    """All sent their first requests to the first target of the list."""
    sent: collections.Counter[str] = collections.Counter()
    for number in range(INSTANCES):
        balancer, names = _balancer(f'i{number}')
        sent.update(_choices(balancer, names, 3))
    mean = sum(sent.values()) / TARGETS
    assert max(sent.values()) < 2.5 * mean


def test_requests_of_one_instance_spread_over_unknown_targets():
    balancer, names = _balancer('i1')
    assert len(set(_choices(balancer, names, TARGETS))) == TARGETS


def test_unknown_targets_of_the_own_data_centre_come_first():
    balancer, names = _balancer('i1', ('other', 'dc'))
    own = {name for name in names if int(name[1:]) % 2}
    assert set(_choices(balancer, names, len(own))) == own
