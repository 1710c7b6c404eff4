"""Origins of streams, by the request that brought a stream's first event."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from hashlib import blake2b

from ..clock import Clock

__all__ = [
    "ORIGIN_LIFETIME",
    "OriginRecord",
    "StreamOrigin",
    "StreamOrigins",
    "origin_key",
]

ORIGIN_LIFETIME = timedelta(minutes=1)
"""Time for which an origin is remembered; callers wait for a stream for 16 s."""

MAX_RECORDS = 50_000
"""Largest number of records.  Of 330 gateways with 2,400 streams per second in all, one
hears of those of 40 peers: 18,000 within their lifetime."""

KEY_BYTES = 8
"""Size of a key.  Of 50,000 keys, 2 are equal with a probability of 7e-11."""


@dataclass(slots=True, kw_only=True, frozen=True)
class StreamOrigin:
    """What began a stream.

    Parameters
    ----------
    service : str
        Name of the service.
    version : str
        Software version of the endpoint.
    """

    service: str
    version: str


@dataclass(slots=True, kw_only=True)
class OriginRecord:
    """The origin of one stream, as far as it is known.

    Parameters
    ----------
    origin : StreamOrigin or None
        The origin; None if streams with different origins have the same key.
    at : datetime
        When it was recorded.
    is_own : bool
        Whether this process has forwarded the stream.
    """

    origin: StreamOrigin | None
    at: datetime
    is_own: bool


def origin_key(workspace: str, request_id: str) -> bytes:
    """Return the key of the stream that a workspace's request began.

    Request ids are chosen by callers, so those of different workspaces may be equal.
    """
    digest = blake2b(workspace.encode(), digest_size=KEY_BYTES)
    # No name of a workspace, which is text, has this byte.
    digest.update(b"\xff" + request_id.encode())
    return digest.digest()


class StreamOrigins:
    """Origins of the streams that this process has forwarded or been told of.

    Parameters
    ----------
    clock : Clock
        The process's clock.

    Attributes
    ----------
    records : dict of OriginRecord
        Records by key, the oldest first.
    """

    __slots__ = ("clock", "records")

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.records: dict[bytes, OriginRecord] = {}

    def record(self, key: bytes, origin: StreamOrigin, *, is_own: bool) -> None:
        """Record the origin of a stream."""
        self._remove_old()
        known = self.records.pop(key, None)
        is_ambiguous = known is not None and known.origin != origin
        self.records[key] = OriginRecord(
            origin=None if is_ambiguous else origin,
            at=self.clock(),
            is_own=is_own or (known is not None and known.is_own),
        )

    def find(self, key: bytes) -> OriginRecord | None:
        """Return the record of a stream, or None."""
        self._remove_old()
        return self.records.get(key)

    def own(self, service: str) -> Iterator[tuple[bytes, StreamOrigin]]:
        """Yield keys and origins of the streams that this process has forwarded."""
        for key, record in self.records.items():
            origin = record.origin
            if record.is_own and origin is not None and origin.service == service:
                yield key, origin

    def _remove_old(self) -> None:
        oldest = self.clock() - ORIGIN_LIFETIME
        while self.records:
            key, record = next(iter(self.records.items()))
            if record.at > oldest and len(self.records) < MAX_RECORDS:
                return
            del self.records[key]
