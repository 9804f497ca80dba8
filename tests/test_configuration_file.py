"""Configuration files are checked as a whole."""

import pytest
from result import Ok

from wigeonfall import configuration_file
from wigeonfall import ini

GOOD = """
[tier orders]
rank = 0
[customer norte]
key_sha256 = {0}
tier = orders
rate_requests_per_s = 10
burst_requests = 20
[service pool]
kind = model
models = recipes
""".format('a' * 64)


def _faults(base: str, overlay: str = '') -> list[str]:
    outcome = configuration_file.parse(
        ini.Source('base.ini', base),
        ini.Source('site.ini', overlay),
        'zac-a',
        7,
    )
    if isinstance(outcome, Ok):
        return []
    return [str(fault) for fault in outcome.err_value]


def test_overlay_replaces_single_options() -> None:
    overlay = '[service pool]\nqueued_requests = 5\n'
    outcome = configuration_file.parse(
        ini.Source('base.ini', GOOD),
        ini.Source('site.ini', overlay),
        'zac-a',
        7,
    )
    service = outcome.unwrap().service('pool')
    assert service.queued_requests == 5
    assert service.models == ('recipes',)


@pytest.mark.parametrize(
    ('overlay', 'message'),
    [
        ('[tier other]\nrank = 1', 'site.ini:1: [tier other] may not stand'),
        ('[site]\ndata_center = sal-b', 'site.ini:2: [site] data_center: is'),
        ('[cache]\nsize = 1', 'site.ini:1: [cache] unknown section'),
        ('[customer norte]\ntier = none', 'there is no tier none'),
        ('[customer norte]\nweight = 0', 'must be between'),
        ('[customer norte]\nkey_sha256 = XX', 'must be 64 hexadecimal'),
        ('[service pool]\nsize = 1', 'size: unknown option'),
        ('[service pool]\nkind = other', 'kind: cannot use'),
        ('[service more]\nkind = model\nmodels = recipes', 'of service pool'),
    ],
)
def test_faults_of_a_whole_configuration(overlay: str, message: str) -> None:
    assert not _faults(GOOD)
    faults = _faults(GOOD, overlay)
    assert len(faults) == 1
    assert message in faults[0]


def test_ranks_and_keys_stand_once() -> None:
    twice = GOOD + (
        '[tier batch]\nrank = 0\n'
        '[customer sur]\nkey_sha256 = {0}\ntier = batch\n'
        'rate_requests_per_s = 1\nburst_requests = 1\n'
    ).format('a' * 64)
    faults = _faults(twice)
    assert len(faults) == 2
    assert 'is the rank of tier orders too' in faults[0]
    assert 'is the key of customer norte too' in faults[1]
