"""Instances and arbiters without sockets: links that queue and lose."""

import collections

import attrs

from wigeonfall.model import customer
from wigeonfall.model import instance
from wigeonfall.model import request
from wigeonfall.model import service
from wigeonfall.model import target
from wigeonfall.model import tier
from wigeonfall.policy.room import grants
from wigeonfall.ports import arbiters as port
from wigeonfall.serving import admission
from wigeonfall.serving import arbiter

SERVICE = service.Service(
    'lm',
    service.ServiceKind.MODEL,
    ('m',),
    outstanding_requests=8,
    outstanding_tokens=100,
    queued_requests=5,
)
TARGETS = tuple(
    target.Target(name, 'lm', 'dc', '127.0.0.1:1') for name in ('a', 'b')
)


def make_request(name, rank, deadline_s, now_s=0.0, cost=10, stream=True):
    """Return a request for the service."""
    client = customer.Customer(f'c{rank}', '', '', 1, 1)
    return request.Request(
        id=name,
        customer=client,
        tier=tier.Tier(f't{rank}', rank),
        service=SERVICE,
        method='POST',
        path='/',
        headers=(),
        body=b'',
        arrived_s=now_s,
        deadline_s=deadline_s,
        model='m' if stream else '',
        stream=stream,
        prompt_tokens=cost,
    )


def ignore(event, **fields):
    """Record nothing."""


@attrs.define(eq=False)
class Line:
    """Messages on their way between one instance and one arbiter."""

    up: collections.deque = attrs.field(factory=collections.deque)
    down: collections.deque = attrs.field(factory=collections.deque)
    link: port.ArbiterLink | None = None
    session: arbiter.Session | None = None


class Fleet:
    """Instances and arbiters with queues of messages between them."""

    def __init__(self, instances, arbiters, seen=TARGETS):
        self.now_s = 0.0
        self.live = tuple(
            instance.Instance(f'i{n}', 'dc', '', 1) for n in range(instances)
        )
        self.nodes = [
            admission.ServiceAdmission(
                SERVICE,
                own,
                lambda _service, _now_s: seen,
                lambda: self.live,
                ignore,
                lambda: self.now_s,
            )
            for own in self.live
        ]
        self.arbiters = [self.make_arbiters() for _ in range(arbiters)]
        self.lines = {}

    def make_arbiters(self):
        """Return a fresh arbiter."""
        return arbiter.Arbiters(
            lambda _name: SERVICE,
            lambda _service, _now_s: TARGETS,
            lambda: self.live,
            ignore,
        )

    def connect(self, node, at):
        """Replace the link of an instance by one to an arbiter."""
        self.disconnect(node, lose=True)
        line = Line()
        line.session = arbiter.Session(
            'lm', self.live[node], lambda batch: line.down.append(batch)
        )
        line.link = port.ArbiterLink(
            lambda held, waiting: line.up.append((held, waiting)),
            lambda pending: line.up.append(pending),
            lambda wait_id: line.up.append(wait_id),
            lambda report: line.up.append(report),
        )
        self.lines[node] = (line, at)
        self.nodes[node].attach(line.link, self.now_s)

    def disconnect(self, node, lose):
        """Break a link, with or without what is on its way up."""
        line, at = self.lines.pop(node, (None, None))
        if line is None:
            return
        while line.up and not lose:
            self._up(line, at)
        self.arbiters[at].disconnect(line.session, self.now_s)
        self.nodes[node].detach(line.link, self.now_s)

    def restart(self, at):
        """Replace an arbiter by a fresh one, which breaks its links."""
        for node, (_, other) in tuple(self.lines.items()):
            if other == at:
                self.disconnect(node, lose=True)
        self.arbiters[at] = self.make_arbiters()

    def deliver(self, node):
        """Carry the messages of one link, first up and then down."""
        line, at = self.lines.get(node, (None, None))
        if line is None:
            return
        while line.up:
            self._up(line, at)
        while line.down:
            batch = line.down.popleft()
            self.nodes[node].apply_decisions(line.link, batch, self.now_s)

    def _up(self, line, at):
        item = line.up.popleft()
        if isinstance(item, tuple):
            self.arbiters[at].connect(line.session, *item, self.now_s)
        elif isinstance(item, str):
            self.arbiters[at].receive(line.session, (), (item,), self.now_s)
        elif isinstance(item, grants.AnswerReport):
            self.arbiters[at].receive(
                line.session, (), (), self.now_s, (item,)
            )
        else:
            self.arbiters[at].receive(line.session, (item,), (), self.now_s)

    def tick(self, delay_s):
        """Let time pass everywhere."""
        self.now_s += delay_s
        for each in self.arbiters:
            each.tick(self.now_s)
        for node in self.nodes:
            node.tick(self.now_s)

    def settle(self):
        """Carry all messages until none is left."""
        for _ in range(4):
            for node in tuple(self.lines):
                self.deliver(node)

    def outstanding(self, name):
        """Return the requests and tokens held at a target."""
        held = [
            item
            for node in self.nodes
            for item in node.held()
            if item.target == name
        ]
        return len(held), sum(item.cost_tokens for item in held)
