"""Entries of another writer among those of the users' engines."""

import json

SOUND = {
    'Service': 'r',
    'Address': '127.0.0.1:9',
    'Zone': 'z',
    'Version': 'v1',
    'Slots': 4,
    'State': 'ready',
    'ColdRemainingMs': 0,
    'Sequence': 1,
}
# JSON text of one field.
ODD = {
    'infinite number': ('Slots', '1e999'),
    'number of 401 digits': ('Slots', '9' * 401),
    'number of 5000 digits': ('Slots', '9' * 5000),
    'no number': ('Slots', 'NaN'),
    'negative number': ('Slots', '-1'),
    'missing number': ('Slots', 'null'),
    'port out of range': ('Address', '"127.0.0.1:99999"'),
    'port below zero': ('Address', '"127.0.0.1:-1"'),
    'no address': ('Address', '"a\\u0000b:80"'),
    'deep value': ('Slots', '[' * 20_000 + ']' * 20_000),
    'label of 600 levels': ('Labels', '[' * 600 + ']' * 600),
    'label of 985 levels': ('Labels', '{"a":' * 985 + '1' + '}' * 985),
    'deep label': ('Labels', '{"a":' * 20_000 + '1' + '}' * 20_000),
    'half a surrogate pair': ('Zone', '"\\ud800"'),
    'huge time': ('born', '1e300'),
    'not a string': ('State', '{"ready": true}'),
}


# Names of entries, JSON text included.
ODD_NAMES = {
    'name with half a surrogate pair': 'i-\ud800',
    'name of 5000 characters': 'n' * 5000,
    'empty name': '',
}


def odd_entry(kind, **changes):
    """Return an entry as JSON text.

    Args:
        kind: what is odd about it.
        changes: other fields, with their values.
    """
    name, text = ODD[kind]
    fields = {**SOUND, **changes, name: None}
    return '{%s}' % ', '.join(
        f'"{key}": {text if key == name else json.dumps(value)}'
        for key, value in fields.items()
    )
