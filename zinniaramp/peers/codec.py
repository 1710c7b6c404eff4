"""Encoding of the messages between gateway processes as MessagePack arrays."""

import math
import zlib
from datetime import timedelta

import msgpack

from ..placement.prompts import PromptSegment
from ..registry.items import Item, Snapshot, StoreRevision
from ..resumption import StreamOrigin
from ..routing.shared_limits import LimitReport
from .messages import (
    CauseQuarantined,
    CauseReleased,
    CrashEvent,
    EndpointCrashed,
    EndpointLimited,
    EndpointUsed,
    Heartbeat,
    Hello,
    ItemsRequest,
    LimitEvent,
    Message,
    OriginAnswer,
    OriginMessage,
    OriginRequest,
    RequestSurvived,
    SendEnded,
    SendFirstEvent,
    SendStarted,
    StreamBegan,
)

__all__ = ["MessageDecoder", "MessageError", "encode"]

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Limit on the size of one message, which may contain all items of the store.

One item may have up to a megabyte.
"""

MIN_COMPRESSED_BYTES = 32 * 1024
"""Size from which a message is compressed.  Only copies of the store's items are so
large; a greeting that names 1,000 peers has 22 KB."""

COMPRESSION_LEVEL = 1
"""Level of zlib.  The routes of a configuration are alike, so that the fastest level
leaves a tenth of it or less."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of durations in messages."""

TEXT_ERRORS = "surrogatepass"
"""Handling of lone surrogates, which JSON allows in the keys of the store's items."""


class MessageError(Exception):
    """Received bytes are not a valid message."""


(
    _HELLO,
    _HEARTBEAT,
    _ITEMS_REQUEST,
    _SNAPSHOT,
    _SEND_STARTED,
    _SEND_FIRST_EVENT,
    _SEND_ENDED,
    _ENDPOINT_CRASHED,
    _CAUSE_QUARANTINED,
    _CAUSE_RELEASED,
    _ENDPOINT_LIMITED,
    _ENDPOINT_USED,
    _REQUEST_SURVIVED,
    _STREAM_BEGAN,
    _ORIGIN_REQUEST,
    _ORIGIN_ANSWER,
    _COMPRESSED,
) = range(17)


def _revision_fields(revision: StoreRevision) -> list:
    return [revision.era, revision.number]


def _decode_revision(era, number) -> StoreRevision:
    return StoreRevision(era=int(era), number=int(number))


def _as_array(message: Message) -> list:
    match message:
        case Hello():
            peers = list(message.known_peers)
            return [
                _HELLO,
                message.address,
                message.data_center,
                peers,
                message.link_mbps,
            ]
        case Heartbeat():
            age_ms = None if message.age is None else message.age // MILLISECOND
            return [_HEARTBEAT, *_revision_fields(message.revision), age_ms]
        case ItemsRequest():
            return [_ITEMS_REQUEST, *_revision_fields(message.after)]
        case Snapshot():
            items = [[one.key, one.revision, one.value] for one in message.items]
            revision = _revision_fields(message.revision)
            return [_SNAPSHOT, *revision, items, message.is_complete]
        case SendStarted():
            parts = [value for one in message.parts for value in (one.name, one.tokens)]
            return [
                _SEND_STARTED,
                message.number,
                message.engine,
                message.prompt_tokens,
                message.output_estimate,
                parts,
                message.target // MILLISECOND,
                message.gap_target // MILLISECOND,
                message.workspace,
                message.urgency,
            ]
        case SendFirstEvent():
            return [_SEND_FIRST_EVENT, message.number]
        case SendEnded():
            return [_SEND_ENDED, message.number]
        case StreamBegan() | OriginRequest() | OriginAnswer():
            return _origin_message_as_array(message)
        case _:
            return _endpoint_event_as_array(message)


def _origin_message_as_array(message: StreamBegan | OriginMessage) -> list:
    match message:
        case OriginRequest():
            return [_ORIGIN_REQUEST, message.key]
        case OriginAnswer(origin=None):
            return [_ORIGIN_ANSWER, message.key, None, None]
    kind = _STREAM_BEGAN if isinstance(message, StreamBegan) else _ORIGIN_ANSWER
    return [kind, message.key, message.origin.service, message.origin.version]


def _endpoint_event_as_array(event: CrashEvent | LimitEvent) -> list:
    match event:
        case EndpointLimited():
            report = event.report
            return [_ENDPOINT_LIMITED, report.name, report.rate, report.version]
        case EndpointUsed():
            return [_ENDPOINT_USED, event.endpoint]
        case EndpointCrashed():
            return [_ENDPOINT_CRASHED, event.endpoint, list(event.fingerprints)]
        case RequestSurvived():
            return [_REQUEST_SURVIVED, event.fingerprint]
        case CauseQuarantined():
            left_ms = event.left // MILLISECOND
            return [_CAUSE_QUARANTINED, event.name, left_ms, event.relapses]
        case CauseReleased():
            return [_CAUSE_RELEASED, event.name]


def encode(message: Message) -> bytes:
    """Serialize a message, and compress it if it is large."""
    data = msgpack.packb(_as_array(message), unicode_errors=TEXT_ERRORS)
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return msgpack.packb([_COMPRESSED, zlib.compress(data, COMPRESSION_LEVEL)])


def _decode_snapshot(era, number, items: list, is_complete) -> Snapshot:
    read = tuple(
        Item(key=str(key), revision=int(item_revision), value=value)
        for key, item_revision, value in items
    )
    revision = _decode_revision(era, number)
    return Snapshot(revision=revision, items=read, is_complete=bool(is_complete))


def _decode_send_started(
    number,
    engine,
    prompt_tokens,
    output_estimate,
    parts,
    target_ms,
    gap_target_ms,
    workspace="",
    urgency=0,
) -> SendStarted:
    # A gateway of an earlier version doesn't send the last two fields.
    pairs = zip(parts[::2], parts[1::2], strict=True)
    return SendStarted(
        number=int(number),
        engine=str(engine),
        prompt_tokens=int(prompt_tokens),
        output_estimate=int(output_estimate),
        parts=tuple(
            PromptSegment(name=str(name), tokens=int(tokens)) for name, tokens in pairs
        ),
        target=int(target_ms) * MILLISECOND,
        gap_target=int(gap_target_ms) * MILLISECOND,
        workspace=str(workspace),
        urgency=int(urgency),
    )


def _decode_endpoint_limited(endpoint, rate, version) -> EndpointLimited:
    decoded = None if rate is None else float(rate)
    if decoded is not None and not 0 <= decoded < math.inf:
        raise ValueError(f"rate {rate!r} is not a number of requests per second")
    report = LimitReport(name=str(endpoint), rate=decoded, version=int(version))
    return EndpointLimited(report=report)


def _decode_heartbeat(era, number, age_ms) -> Heartbeat:
    age = None if age_ms is None else int(age_ms) * MILLISECOND
    return Heartbeat(revision=_decode_revision(era, number), age=age)


def _decode_key(key) -> bytes:
    if not isinstance(key, bytes):
        raise TypeError(f"key {key!r} is not binary")
    return key


def _decode_origin(service, version) -> StreamOrigin:
    return StreamOrigin(service=str(service), version=str(version))


def _decode_origin_answer(key, service, version) -> OriginAnswer:
    origin = None if service is None else _decode_origin(service, version)
    return OriginAnswer(key=_decode_key(key), origin=origin)


_DECODERS = {
    _HELLO: lambda address, data_center, known_peers, link_mbps=None: Hello(
        address=str(address),
        data_center=str(data_center),
        known_peers=tuple(str(peer) for peer in known_peers),
        link_mbps=None if link_mbps is None else float(link_mbps),
    ),
    _HEARTBEAT: _decode_heartbeat,
    _ITEMS_REQUEST: lambda *fields: ItemsRequest(after=_decode_revision(*fields)),
    _SNAPSHOT: _decode_snapshot,
    _SEND_STARTED: _decode_send_started,
    _SEND_FIRST_EVENT: lambda number: SendFirstEvent(number=int(number)),
    _SEND_ENDED: lambda number: SendEnded(number=int(number)),
    _ENDPOINT_CRASHED: lambda endpoint, fingerprints: EndpointCrashed(
        endpoint=str(endpoint),
        fingerprints=tuple(str(one) for one in fingerprints),
    ),
    _REQUEST_SURVIVED: lambda one: RequestSurvived(fingerprint=str(one)),
    _CAUSE_QUARANTINED: lambda name, left_ms, relapses: CauseQuarantined(
        name=str(name),
        left=int(left_ms) * MILLISECOND,
        relapses=int(relapses),
    ),
    _CAUSE_RELEASED: lambda name: CauseReleased(name=str(name)),
    _ENDPOINT_LIMITED: _decode_endpoint_limited,
    _ENDPOINT_USED: lambda endpoint: EndpointUsed(endpoint=str(endpoint)),
    _STREAM_BEGAN: lambda key, *origin: StreamBegan(
        key=_decode_key(key), origin=_decode_origin(*origin)
    ),
    _ORIGIN_REQUEST: lambda key: OriginRequest(key=_decode_key(key)),
    _ORIGIN_ANSWER: _decode_origin_answer,
}


class MessageDecoder:
    """Incremental decoder of the messages on one connection.

    Parameters
    ----------
    max_bytes : int, optional
        Largest size of received bytes that are not decoded yet.
    """

    __slots__ = ("max_bytes", "unpacker")

    def __init__(self, *, max_bytes: int = MAX_MESSAGE_BYTES):
        self.max_bytes = max_bytes
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=max_bytes, unicode_errors=TEXT_ERRORS
        )

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that are now complete.

        Raises
        ------
        MessageError
            The bytes are not valid messages. The decoder can't be used any more;
            close the connection.
        """
        try:
            self.unpacker.feed(data)
            return [self._decode(*message) for message in self.unpacker]
        except (
            msgpack.UnpackException,
            msgpack.BufferFull,
            KeyError,
            OverflowError,
            TypeError,
            ValueError,
            zlib.error,
        ) as error:
            raise MessageError(repr(error)) from error

    def _decode(self, kind, *fields) -> Message:
        if kind != _COMPRESSED:
            return _DECODERS[kind](*fields)
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(*fields, self.max_bytes)
        if not decompressor.eof:
            raise ValueError(f"message of more than {self.max_bytes} bytes")
        kind, *fields = msgpack.unpackb(data, unicode_errors=TEXT_ERRORS)
        return _DECODERS[kind](*fields)
