"""Names and formats of the platform that an instance runs on."""

from collections.abc import Callable
from typing import Any

import attrs

from ..model.routing import RoutingTable
from ..model.target import Target
from ..policy.versions.version_trial import Order
from ..policy.versions.version_trial import State
from ..ports.objects import ObjectStore
from ..ports.platform import StoredObject
from .header_names import HeaderNames


@attrs.frozen
class PlatformAdapter:
    """Names, object kinds and codecs of a platform.

    Attributes:
        make_store: returns a client of the store at an address.
        header_names: names of headers.
        table_kind: kind of the object that holds the routing table.
        table_name: name of that object.
        decode_table: decodes its value; raises ValueError.
        targets_kind: kind of the entries of targets.
        decode_target: decodes an entry; raises ValueError.
        orders_kind: kind of the orders to roll out a version of a service.
        decode_order: decodes an order; raises ValueError.
        encode_order: encodes the status of an order in a state.
        instances_kind: kind of the entries of instances.
        writer_version: returns the version of an object by its writer's
            count, 0 if the writer counts none.
        ready_path: path of the health check of the external load balancer.
        evacuations_kind: kind of the entries of evacuated data centres, ''
            for none.
        decode_evacuation: returns the data centre of such an entry; raises
            ValueError.
    """

    make_store: Callable[[str], ObjectStore]
    header_names: HeaderNames
    table_kind: str
    table_name: str
    decode_table: Callable[[Any], RoutingTable]
    targets_kind: str
    decode_target: Callable[[StoredObject], Target]
    orders_kind: str
    decode_order: Callable[[StoredObject], Order]
    encode_order: Callable[[Order, State], dict[str, Any]]
    instances_kind: str
    writer_version: Callable[[StoredObject], int]
    ready_path: bytes
    evacuations_kind: str = ''
    decode_evacuation: Callable[[StoredObject], str] = lambda entry: entry.name
