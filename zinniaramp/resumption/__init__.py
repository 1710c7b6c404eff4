"""Origins of streams: where they began, and at which software version they go on."""

from .core import OriginRecord, StreamOrigin, StreamOrigins, origin_key

__all__ = ["OriginRecord", "StreamOrigin", "StreamOrigins", "origin_key"]
