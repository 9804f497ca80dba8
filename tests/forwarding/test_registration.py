"""Tests of the entries by which instances discover each other."""

import threading
import time

import attrs
import pytest

from tests.fakes.object_store import MemoryObjects
from wigeonfall.forwarding import registration
from wigeonfall.forwarding.registration import Registration

KIND = 'instances'
WAIT_S = 5.0  # below the interval of refreshes


class Fleet:
    """Instances that register in one store."""

    def __init__(self, size):
        self.store = MemoryObjects()
        self.stopping = threading.Event()
        self.era = 1  # the newest that instances have heard of
        self.registrations = [self.make(f'i{n}', size) for n in range(size)]

    def make(self, name, size):
        return Registration(
            kind=KIND,
            name=name,
            address=f'{name}:1',
            data_center='dc',
            get_store=self.store.port,
            on_addresses=lambda _addresses: None,
            newest_era=lambda: self.era,
            fleet_size=lambda: size,
            record=lambda *_args, **_fields: None,
            stopping=self.stopping,
        )

    def start(self):
        for item in self.registrations:
            registration.start(item)

    def registered(self):
        return {
            item.name
            for item in self.store.port().list(KIND, False).ok_value.objects
        }

    def wait_until_all_registered(self):
        names = {item.name for item in self.registrations}
        deadline_s = time.monotonic() + WAIT_S
        while self.registered() != names:
            assert time.monotonic() < deadline_s, self.registered()
            time.sleep(0.05)


@pytest.fixture
def fleet():
    fleet = Fleet(5)
    yield fleet
    fleet.stopping.set()


def test_entries_that_a_restored_store_lost_are_written_again(fleet):
    """Instances that started then found none of the others for 15 s."""
    copy = fleet.store.copy()
    fleet.start()
    fleet.wait_until_all_registered()
    fleet.store.restore(copy)
    assert fleet.registered() == set()
    fleet.era = 2
    fleet.wait_until_all_registered()


def test_no_entry_is_taken_for_written_in_an_era_that_has_ended(fleet):
    fleet.era = 2
    (first, *_) = fleet.registrations
    assert registration._refresh(first, None) is None
    assert fleet.registered() == set()


def test_instances_look_for_their_entries_at_different_times(monkeypatch):
    """Hundreds of them at once would exceed the rates of the store."""
    waits_s = []
    fleet = Fleet(1)
    (item,) = fleet.registrations
    monkeypatch.setattr('random.uniform', lambda _low, high: high)
    item = attrs.evolve(item, fleet_size=lambda: 500, stopping=_Waits(waits_s))
    fleet.era = 2
    assert registration._wait_for_restore(item, 1)
    assert waits_s[-1] == 500 / registration.MAX_REFRESHES_PER_S


class _Waits:
    """Keeps how long was waited, without waiting."""

    def __init__(self, waits_s):
        self._waits_s = waits_s

    def wait(self, timeout_s):
        self._waits_s.append(timeout_s)
        return False
