"""The fleets that the load tool starts for each mix."""

from tests.fakes import fleet

# Data centre, prefill tokens/s, decode tokens/s of a slot, slots.
CO_OP_ENGINES = (
    ('zac-a', 12_000, 60, 12),
    ('zac-a', 8000, 50, 8),
    ('sal-b', 8000, 50, 8),
    ('sal-b', 4000, 30, 6),
    ('mty-c', 3000, 25, 4),
)
AGENCY_ENGINES = (
    ('talca-a', 16_000, 60, 12),
    ('talca-a', 12_000, 50, 8),
    ('talca-b', 12_000, 50, 8),
    ('talca-b', 6000, 30, 6),
    ('curico-c', 5000, 25, 4),
)
CO_OP_CENTERS = ('zac-a', 'sal-b', 'mty-c')
AGENCY_CENTERS = ('talca-a', 'talca-b', 'curico-c')
CACHE_BLOCKS = 256
PLAIN_LATENCY_MS = 15
PLATFORM_DELAY_MS = 3

MODEL_SERVICES = {'co-op': 'wigeon-pool', 'agency': 'wigeonfall-lm'}
PLAIN_SERVICES = {'co-op': 'pedidos-app', 'agency': 'registro-app'}


def make_plan(mix: str, instances: int) -> fleet.Plan:
    """Return the fleet of a mix with a number of entry instances."""
    engines = CO_OP_ENGINES if mix == 'co-op' else AGENCY_ENGINES
    centers = CO_OP_CENTERS if mix == 'co-op' else AGENCY_CENTERS
    return fleet.Plan(
        example=mix,
        instances=_instances(centers, instances),
        engines=tuple(
            _engine(MODEL_SERVICES[mix], number, *engine)
            for number, engine in enumerate(engines)
        ),
        services=tuple(
            fleet.TargetPlan(
                f'plain-{number}',
                PLAIN_SERVICES[mix],
                center,
                {'latency_ms': PLAIN_LATENCY_MS},
            )
            for number, center in enumerate(centers)
        ),
        platform_options={'delay_ms': PLATFORM_DELAY_MS},
        settings={'log': {'level': 'WARNING'}},
    )


def _instances(
    centers: tuple[str, ...], instances: int
) -> dict[str, tuple[str, ...]]:
    return {
        center: tuple(
            f'{center}-{number}'
            for number in range(place, instances, len(centers))
        )
        for place, center in enumerate(centers)
    }


def _engine(
    service: str,
    number: int,
    center: str,
    prefill_tokens_per_s: int,
    decode_tokens_per_s: int,
    slots: int,
) -> fleet.TargetPlan:
    options = {
        'prefill_tokens_per_s': prefill_tokens_per_s,
        'decode_tokens_per_s': decode_tokens_per_s,
        'slots': slots,
        'cache_blocks': CACHE_BLOCKS,
    }
    return fleet.TargetPlan(f'engine-{number}', service, center, options)
