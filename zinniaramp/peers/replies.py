"""Reading of a peer's replies to requests for items and for origins."""

from tornado.iostream import IOStream, StreamClosedError

from ..observability import emit
from ..registry import Registry, Snapshot
from .codec import MessageDecoder, MessageError
from .events import ITEMS_RECEIVED_FROM_PEER, PEER_SENT_INVALID_DATA
from .messages import OriginAnswer
from .origin_requests import OriginRequests
from .server import MAX_READ_BYTES

__all__ = ["read_replies"]


async def read_replies(
    name: str, stream: IOStream, *, registry: Registry, origin_requests: OriginRequests
) -> None:
    """Apply a peer's replies until the connection ends.

    Parameters
    ----------
    name : str
        Address of the peer.
    stream : IOStream
        Connection that this process opened; it is closed after invalid data.
    registry : Registry
        Receives the items.
    origin_requests : OriginRequests
        Receives the origins.
    """
    decoder = MessageDecoder()
    received = 0
    while True:
        try:
            data = await stream.read_bytes(MAX_READ_BYTES, partial=True)
            messages = decoder.feed(data)
        except StreamClosedError:
            return
        except MessageError as error:
            emit(PEER_SENT_INVALID_DATA, peer=name, problem=str(error))
            stream.close()
            return
        received += len(data)
        registry.copies.record_bytes(name)
        for message in messages:
            match message:
                case Snapshot():
                    await _apply_snapshot(name, message, registry, received)
                case OriginAnswer():
                    origin_requests.apply(name, message)
            received = 0


async def _apply_snapshot(
    name: str, snapshot: Snapshot, registry: Registry, size: int
) -> None:
    if snapshot.revision <= registry.cache.revision:
        return
    await registry.prepare(snapshot)
    before = registry.cache.revision
    if snapshot.revision <= before:
        return
    registry.apply(snapshot)
    emit(
        ITEMS_RECEIVED_FROM_PEER,
        peer=name,
        era=snapshot.revision.era,
        before=before.number,
        revision=snapshot.revision.number,
        items=len(snapshot.items),
        bytes=size,
    )
