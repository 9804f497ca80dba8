"""Tests of tables of played days."""

import json

from bench import days


def test_scores_of_a_site_make_a_table(tmp_path):
    for number, worth in enumerate((0.4, 0.5)):
        value = {
            'cmd': 'score',
            'id': f'e{number}',
            'at': ['2026-01-01T00:00:00Z', ''],
            'site': 'a',
            'why': 'x',
            'days': [
                {'name': 'quiet', 'G': worth},
                {'name': 'fresh-1', 'G': 0.9},
            ],
        }
        (tmp_path / f'{number}.json').write_text(json.dumps(value), 'utf-8')
    (tmp_path / '9.json').write_text('{"cmd": "run"}', 'utf-8')
    text = days.table(days.read(tmp_path), 'a')
    assert text.splitlines()[2:] == [
        '| e0 | 0.400 | 0.400 | x |',
        '| e1 | 0.500 | 0.500 | x |',
    ]
    assert days.table(days.read(tmp_path), 'b').count('\n') == 1
