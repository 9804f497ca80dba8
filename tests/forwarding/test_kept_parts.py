"""Tests of kept parts between instances and their arbiter."""

import asyncio

import attrs

from tests.fakes.virtual_time import in_virtual_time
from tests.forwarding.test_arbiter import ask
from tests.forwarding.test_arbiter import make_request
from tests.forwarding.test_arbiter import Network
from wigeonfall.model.prompt import PromptPart
from wigeonfall.policy.targets.kept_parts import KeptParts
from wigeonfall.policy.targets.target_stats import RequestSize

PARTS = (PromptPart('hot', 400), PromptPart('session', 3000))


async def turn(net, number, name):
    """Send a turn of the session from an instance; return its slot."""
    pending = attrs.evolve(
        make_request(name), parts=PARTS, size=RequestSize(3600, 10)
    )
    slot = await ask(net[number], pending)
    net[number].slot_client.mark_prompt_read(slot)
    net[number].slot_client.release('s', slot)
    await asyncio.sleep(0.05)
    return slot


def declare_memory(net):
    for node in net.nodes.values():
        node.scheduler._kept = KeptParts(lambda _service: 100_000.0)


@in_virtual_time
async def test_turns_from_all_instances_go_where_the_arbiter_sent_the_first():
    async with Network(20) as net:
        declare_memory(net)
        first = await turn(net, 5, 'r1')
        assert (first.kept_tokens, first.size.prompt_tokens) == (0.0, 3600)
        for number in range(6, 12):
            slot = await turn(net, number, f'r{number}')
            assert slot.target == first.target
            assert (slot.kept_tokens, slot.size.prompt_tokens) == (3400, 200)
        assert net.outstanding() == 0
        assert not any(
            stats.own_prefill_tokens
            for node in net.nodes.values()
            for stats in node.balancer.all_stats()
        )


@in_virtual_time
async def test_the_next_arbiter_learns_anew():
    async with Network(20) as net:
        declare_memory(net)
        await turn(net, 5, 'r1')
        await turn(net, 5, 'r2')
        net.silent.add('i00')
        slot = await turn(net, 6, 'r3')
        assert (slot.arbiter != 'i00', slot.kept_tokens) == (True, 0.0)
        assert (await turn(net, 7, 'r4')).kept_tokens == 3400
