"""Tests of the admission measurements."""

from bench import tiers


def test_burst_leaves_the_other_customers_alone():
    """Fairness keeps what one queue loses, and each request is counted."""
    runs = tiers.burst(4)
    steady = {
        name: sum(
            count['good']
            for customer, count in run['customers'].items()
            if customer != 'large'
        )
        for name, run in runs.items()
    }
    assert steady['burst, fair'] >= 0.95 * steady['no burst']
    assert steady['burst, one queue'] < 0.8 * steady['no burst']
    for run in runs.values():
        for count in run['customers'].values():
            ended = count['good'] + count['limited'] + count['shed']
            assert ended <= count['offered']


def test_no_tier_is_shed_above_a_lower_one():
    """The high tier's overload displaces the lower tiers first."""
    run = tiers.tiers(4)
    customers = run['customers']
    assert run['shed_above_lower_tier'] == 0
    assert customers['orders-burst']['shed'] > 0
    assert customers['reports']['revoked'] > 0
    assert customers['orders']['good'] >= 0.95 * customers['orders']['offered']
