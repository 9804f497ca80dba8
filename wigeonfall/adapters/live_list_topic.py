"""The lending of the live list on the wire between peers."""

import time

from google.protobuf import message as protobuf

from ..model.target import Target
from ..model.target import TargetState
from ..ports.peers import Topic
from ..serving.list_sharing import ListSharing
from ..serving.list_sharing import Message
from .proto import live_list_pb2

NAME = 'live-list'


def make_topic(sharing: ListSharing) -> Topic:
    """Return the topic by which instances lend each other the list."""

    def snapshot_for(peer: str, _now_unix_s: float) -> bytes:
        return encode(sharing.message(peer))

    def merge(payload: bytes, sender: str, _now_unix_s: float) -> None:
        sharing.merge(decode(payload), sender, time.monotonic())

    return Topic(
        name=NAME,
        snapshot=lambda now_unix_s: snapshot_for('', now_unix_s),
        merge=merge,
        snapshot_for=snapshot_for,
    )


def encode(message: Message) -> bytes:
    """Return a message as bytes."""
    state = live_list_pb2.State(wanted=message.wanted, known=message.known)
    for target in message.targets:
        state.targets.add(
            name=target.name,
            service=target.service,
            data_center=target.data_center,
            address=target.address,
            incarnation=target.incarnation,
            version=target.version,
            leaving=target.state is TargetState.LEAVING,
        )
    return state.SerializeToString()


def decode(payload: bytes) -> Message:
    """Return the message in some bytes.

    Raises:
        ValueError: the bytes hold no message.
    """
    try:
        state = live_list_pb2.State.FromString(payload)
    except protobuf.DecodeError as error:
        raise ValueError(str(error)) from error
    return Message(
        state.wanted,
        state.known,
        tuple(_decode_target(one) for one in state.targets),
    )


def _decode_target(target: live_list_pb2.Target) -> Target:
    return Target(
        name=target.name,
        service=target.service,
        data_center=target.data_center,
        address=target.address,
        incarnation=target.incarnation,
        version=target.version,
        state=TargetState.LEAVING if target.leaving else TargetState.READY,
    )
