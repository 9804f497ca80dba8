"""Configuration on the wire between peers."""

from collections.abc import Callable
import zlib

from google.protobuf import message as protobuf
import xxhash

from ..model.revision import Change
from ..model.revision import Revision
from ..model.revision import Texts
from ..model.site_status import Report
from ..policy.configuration import Position
from ..policy import text_delta
from ..ports.peers import Topic
from ..serving.configuration import ConfigurationState
from ..serving.configuration import Message
from .proto import configuration_pb2

NAME = 'configuration'

# Returns the data centre of an instance, '' if it is not known.
SiteOf = Callable[[str], str]


def make_topic(
    state: ConfigurationState, data_center: str, site_of: SiteOf
) -> Topic:
    """Return the topic that exchanges configurations with peers.

    Args:
        state: the configuration of this process.
        data_center: our data centre, within which reports are passed on.
        site_of: returns the data centre of an instance.
    """

    def snapshot_for(peer: str, now_unix_s: float) -> bytes:
        message = state.message(peer, now_unix_s)
        return encode(
            message,
            state.delta_base(peer),
            with_reports=site_of(peer) == data_center,
        )

    def merge(payload: bytes, sender: str, now_unix_s: float) -> None:
        state.merge(decode(payload, state.kept_revision), sender, now_unix_s)

    return Topic(
        name=NAME,
        snapshot=lambda now_unix_s: snapshot_for('', now_unix_s),
        merge=merge,
        snapshot_for=snapshot_for,
    )


def encode(
    message: Message, base: Revision | None, with_reports: bool
) -> bytes:
    """Return a message as bytes.

    Args:
        message: the message.
        base: revision that the receiver has, or None to send texts whole.
        with_reports: whether the reports go with it.
    """
    state = configuration_pb2.State(
        version=message.position.version,
        change_id=message.position.change_id,
        confirmed=message.confirmed,
    )
    if message.revision is not None:
        _encode_revision(state.revision, message.revision, base)
    if with_reports:
        for report in message.reports:
            state.reports.add(
                instance=report.instance,
                version=report.version,
                in_force_ms=report.in_force_ms,
            )
    return state.SerializeToString()


def decode(payload: bytes, kept: Callable[[str], Revision | None]) -> Message:
    """Return the message in some bytes.

    Args:
        payload: the bytes.
        kept: returns the revision that a change made, if it is kept.

    Raises:
        ValueError: the bytes hold no message, or a delta that cannot be used.
    """
    try:
        state = configuration_pb2.State.FromString(payload)
        revision = None
        if state.HasField('revision'):
            revision = _decode_revision(state.revision, kept)
    except (protobuf.DecodeError, zlib.error) as error:
        raise ValueError(str(error)) from error
    reports = tuple(
        Report(report.instance, report.version, report.in_force_ms)
        for report in state.reports
    )
    return Message(
        Position(state.version, state.change_id),
        state.confirmed,
        revision,
        reports,
    )


def _encode_revision(
    to: configuration_pb2.Revision, revision: Revision, base: Revision | None
) -> None:
    to.change.CopyFrom(_encode_change(revision.change))
    to.earlier.extend(_encode_change(change) for change in revision.earlier)
    to.digest = _digest(revision.texts)
    if base is None:
        texts = configuration_pb2.Texts(
            base=revision.texts.base, overlays=revision.texts.overlays
        )
        to.texts = zlib.compress(texts.SerializeToString())
    else:
        delta = _encode_delta(base, revision.texts)
        to.texts_delta = zlib.compress(delta.SerializeToString())


def _decode_revision(
    found: configuration_pb2.Revision,
    kept: Callable[[str], Revision | None],
) -> Revision:
    if found.WhichOneof('content') == 'texts':
        whole = configuration_pb2.Texts.FromString(
            zlib.decompress(found.texts)
        )
        texts = Texts(whole.base, dict(whole.overlays))
    else:
        delta = configuration_pb2.TextsDelta.FromString(
            zlib.decompress(found.texts_delta)
        )
        texts = _apply_delta(delta, kept(delta.older_change_id))
    if _digest(texts) != found.digest:
        raise ValueError('the texts have another digest')
    earlier = tuple(_decode_change(change) for change in found.earlier)
    return Revision(texts, _decode_change(found.change), earlier)


def _encode_delta(
    base: Revision, texts: Texts
) -> configuration_pb2.TextsDelta:
    delta = configuration_pb2.TextsDelta(older_change_id=base.change.id)
    _fill_delta(delta.base, base.texts.base, texts.base)
    for site, text in texts.overlays.items():
        _fill_delta(
            delta.overlays[site], base.texts.overlays.get(site, ''), text
        )
    return delta


def _fill_delta(
    to: configuration_pb2.TextDelta, older: str, newer: str
) -> None:
    made = text_delta.make_delta(older, newer)
    to.head_lines = made.head_lines
    to.tail_lines = made.tail_lines
    to.middle = made.middle


def _apply_delta(
    delta: configuration_pb2.TextsDelta, base: Revision | None
) -> Texts:
    if base is None:
        raise ValueError('the revision before it is not kept here')
    older = base.texts
    return Texts(
        _apply_text(delta.base, older.base),
        {
            site: _apply_text(changed, older.overlays.get(site, ''))
            for site, changed in delta.overlays.items()
        },
    )


def _apply_text(delta: configuration_pb2.TextDelta, older: str) -> str:
    return text_delta.apply_delta(
        older,
        text_delta.Delta(delta.head_lines, delta.tail_lines, delta.middle),
    )


def _digest(texts: Texts) -> int:
    digest = xxhash.xxh64(texts.base.encode())
    for site, text in sorted(texts.overlays.items()):
        digest.update(f'\0{site}\0{text}'.encode())
    return digest.intdigest()


def _encode_change(change: Change) -> configuration_pb2.Change:
    return configuration_pb2.Change(
        version=change.version,
        id=change.id,
        operator=change.operator,
        reason=change.reason,
        accepted_ms=change.accepted_ms,
    )


def _decode_change(found: configuration_pb2.Change) -> Change:
    return Change(
        found.version,
        found.id,
        found.operator,
        found.reason,
        found.accepted_ms,
    )
