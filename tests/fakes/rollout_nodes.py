"""Instances that control rollouts, over a platform in memory."""

import json

import attrs
import cattrs
from result import Err
from result import Ok

from tests.fakes import memory_platform
from wigeonfall.model.rollout import Outcome
from wigeonfall.model.rollout import Rollout
from wigeonfall.model.target import Target
from wigeonfall.ports import platform as platform_port
from wigeonfall.ports import targets as targets_port
from wigeonfall.serving import leases
from wigeonfall.serving import rollout_changes as changes
from wigeonfall.serving import rollout_control
from wigeonfall.serving import rollouts
from wigeonfall.serving import target_orders

SERVICE = 'lm'
START_UNIX_S = 1_000_000.0


class World:
    """The time, the platform and the targets that all nodes share."""

    def __init__(self, targets: int = 3) -> None:
        self.now_s = 0.0
        self.platform = memory_platform.MemoryPlatform()
        self.targets = {
            f't{n}': Target(
                f't{n}', SERVICE, 'dc', f'127.0.0.1:{n + 1}', version='old'
            )
            for n in range(targets)
        }
        self.answers: list[int] = []

    @property
    def now_unix_s(self) -> float:
        """Present time in seconds since the epoch."""
        return START_UNIX_S + self.now_s

    def stored(self) -> Rollout | None:
        """Return the stored rollout."""
        got = [o for o in self.platform.history if o.kind == rollouts.KIND]
        return cattrs.structure(got[-1].value, Rollout) if got else None

    def operate(self, what: str, wanted: Rollout | None = None):
        """Make an operator's change."""
        move = changes.new_move(what, 'ana', 'test', self.now_unix_s)
        change = changes.start(wanted) if wanted else changes.apply_to_existing
        port = self.platform.port()
        return changes.apply_change(port, SERVICE, move, change)


class Node:
    """One instance with its own clock and its own way to the platform."""

    def __init__(
        self, name: str, names: tuple[str, ...], world: World, offset_s: float
    ) -> None:
        self.name = name
        self.world = world
        self.offset_s = offset_s
        self.cut = False
        self.events: list[tuple[str, dict]] = []
        self.sent: list[target_orders.TargetOrder] = []
        port = self._port()
        self.rollouts = rollouts.Rollouts(name, 1, lambda: names, self._record)
        self.lease = leases.ControlLease(
            port, 'rollouts', name, self._record, self.monotonic
        )
        sender = target_orders.OrderSender(
            targets_port.Targets(
                open=self._open, close_idle_to=lambda a: None
            ),
            self.lease.held,
            self._record,
            lambda work: work(),
            self.monotonic,
        )
        self.control = rollout_control.Control(
            name,
            port,
            self.rollouts,
            self.lease,
            lambda: names,
            lambda service: tuple(world.targets.values()),
            sender,
            self._record,
        )

    def monotonic(self) -> float:
        """Return the time on this node's clock."""
        return self.world.now_s + self.offset_s

    def step(self) -> None:
        """Judge the evidence and do one round of control."""
        now_s = self.monotonic()
        self.rollouts.evaluate(now_s, self.world.now_unix_s)
        self.control.step(now_s, self.world.now_unix_s)

    def exchange(self, peer: 'Node') -> None:
        """Exchange states with a peer, both ways."""
        now_unix_s = self.world.now_unix_s
        for one, other in ((self, peer), (peer, self)):
            state = one.rollouts.snapshot(now_unix_s)
            other.rollouts.merge(state, one.name, now_unix_s)

    def traffic(self, version: str, number: int, ok: bool = True) -> None:
        """Report outcomes of requests."""
        outcome = Outcome(ok, 0.4 if ok else None)
        for _ in range(number):
            self.rollouts.observe(
                SERVICE, version, 'report', outcome, self.monotonic()
            )

    def chosen(self, number: int = 40) -> list[str | None]:
        """Return the versions that some requests would go to."""
        return [
            self.rollouts.choose_version(
                SERVICE, 'report', f'r{n}', self.monotonic()
            )
            for n in range(number)
        ]

    def _record(self, event, **fields) -> None:
        self.events.append((event.name, fields))

    def _open(self, attempt):
        body = json.loads(attempt.body)
        assert self.lease.held(), 'an order left without the lease'
        status = self.world.answers.pop(0) if self.world.answers else 200
        if status == 200:
            target = self.world.targets[attempt.target.name]
            self.world.targets[target.name] = attrs.evolve(
                target, version=body['value']
            )
        self.sent.append(body)
        return Ok(
            targets_port.TargetAnswer(status, (), lambda: b'', lambda: None)
        )

    def _port(self) -> platform_port.Platform:
        """Return the platform as reached from this node."""
        port = self.world.platform.port()
        kind = platform_port.PlatformErrorKind.UNAVAILABLE
        away = Err(platform_port.PlatformError(kind, 'cut off'))

        def guarded(call):
            return lambda *args: away if self.cut else call(*args)

        def checked_update(stored):
            moves = stored.value.get('moves', ())
            if moves and moves[-1]['what'] in ('grow', 'complete'):
                assert self.lease.held(), 'a share grew without the lease'
            return port.update(stored)

        calls = attrs.asdict(port, recurse=False)
        calls['update'] = checked_update
        return platform_port.Platform(
            **{name: guarded(call) for name, call in calls.items()}
        )


def new_rollout(
    world: World, length_s: float = 600.0, orders: bool = False
) -> Rollout:
    """Return a rollout that an operator may start now."""
    now_unix_s = world.now_unix_s
    return Rollout(
        SERVICE,
        0,
        'old',
        'new',
        now_unix_s,
        now_unix_s + length_s,
        30.0,
        orders=orders,
    )


def new_nodes(world: World, number: int = 3) -> list[Node]:
    """Return nodes whose clocks show unlike times."""
    names = tuple(f'n{n}' for n in range(number))
    return [
        Node(name, names, world, 1000.0 * index)
        for index, name in enumerate(names)
    ]
