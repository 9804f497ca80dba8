"""Membership on the wire between peers."""

import time

from google.protobuf import message as protobuf

from ..model.instance import Instance
from ..policy.membership import Member
from ..policy.targets.target_reports import TargetReport
from ..ports.peers import Topic
from ..serving.membership import Membership
from ..serving.membership import Message
from .proto import membership_pb2

NAME = 'membership'


def make_topic(membership: Membership) -> Topic:
    """Return the topic that exchanges membership with peers."""

    def snapshot_for(peer: str, _now_unix_s: float) -> bytes:
        return encode(membership.message(peer, time.monotonic()))

    def merge(payload: bytes, sender: str, _now_unix_s: float) -> None:
        membership.merge(decode(payload), sender, time.monotonic())

    return Topic(
        name=NAME,
        snapshot=lambda now_unix_s: snapshot_for('', now_unix_s),
        merge=merge,
        snapshot_for=snapshot_for,
    )


def encode(message: Message) -> bytes:
    """Return a message as bytes."""
    state = membership_pb2.State(
        own=_encode_member(message.own),
        own_beats=message.own.heartbeats,
        members=[_encode_member(member) for member in message.members],
        digests=[digest for digest, _ in message.heartbeats],
        beats=[heartbeats for _, heartbeats in message.heartbeats],
        wanted=message.wanted,
    )
    for report in message.targets:
        state.targets.add(
            target=report.target,
            incarnation=report.incarnation,
            leaving=report.leaving,
            version=report.version,
        )
    return state.SerializeToString()


def decode(payload: bytes) -> Message:
    """Return the message in some bytes.

    Raises:
        ValueError: the bytes hold no message.
    """
    try:
        state = membership_pb2.State.FromString(payload)
    except protobuf.DecodeError as error:
        raise ValueError(str(error)) from error
    return Message(
        own=_decode_member(state.own, state.own_beats),
        members=tuple(_decode_member(member, 0) for member in state.members),
        heartbeats=tuple(zip(state.digests, state.beats, strict=True)),
        wanted=tuple(state.wanted),
        targets=tuple(
            TargetReport(
                report.target,
                report.incarnation,
                report.leaving,
                report.version,
            )
            for report in state.targets
        ),
    )


def _encode_member(member: Member) -> membership_pb2.Member:
    instance = member.instance
    return membership_pb2.Member(
        name=instance.name,
        data_center=instance.data_center,
        peers_address=instance.peers_address,
        incarnation=instance.incarnation,
        leaving=member.leaving,
    )


def _decode_member(member: membership_pb2.Member, beats: int) -> Member:
    instance = Instance(
        member.name,
        member.data_center,
        member.peers_address,
        member.incarnation,
    )
    return Member(instance, member.leaving, beats)
