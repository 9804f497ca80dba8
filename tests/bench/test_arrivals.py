"""Tests of the seeded streams of arrivals."""

import pytest

from bench import arrivals
from bench import mixes


def _draw(seed: int, rate_per_s: float = 20.0) -> list[arrivals.Arrival]:
    return arrivals.arrivals(
        mixes.AGENCY, seed, 60.0, lambda at_s: rate_per_s, 60.0
    )


def test_seed_decides_all_arrivals() -> None:
    assert _draw(5) == _draw(5)
    assert [a.at_s for a in _draw(5)] != [a.at_s for a in _draw(6)]


def test_rate_holds_on_average() -> None:
    assert len(_draw(1)) == pytest.approx(20 * 60, rel=0.15)
    assert len(_draw(1, 60.0)) == pytest.approx(60 * 60, rel=0.15)


def test_reports_and_questions_share_dossiers() -> None:
    openings: dict[str, set[str]] = {}
    for arrival in _draw(1):
        if arrival.body and arrival.body.get('model') == 'dossiers':
            document = arrival.body['messages'][0]['content']
            openings.setdefault(arrival.kind, set()).add(document)
    assert openings['dossier-question'] & openings['inspection-report']


def test_only_calls_of_plain_services_that_change_carry_a_key() -> None:
    keyed = {a.kind for a in _draw(1) if 'Idempotency-Key' in a.headers()}
    assert keyed == {'certificate'}
