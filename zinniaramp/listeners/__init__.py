"""HTTP listeners that keep within the memory and descriptors of a process."""

from .bodies import (
    CHUNKED_BYTES,
    BodyBuffer,
    RefusedBody,
    announced_length,
    keep_framing,
)
from .limiting import (
    UNLIMITED_BYTES,
    BodyPolicy,
    Refusal,
    RefusalAnswer,
    draw_retry_seconds,
    refuse_as_json,
)
from .metrics import IntakeMetrics
from .monitor import Intake
from .server import BoundedServer, serve_application
from .streams import MeteredStream

__all__ = [
    "CHUNKED_BYTES",
    "UNLIMITED_BYTES",
    "BodyBuffer",
    "BodyPolicy",
    "BoundedServer",
    "Intake",
    "IntakeMetrics",
    "MeteredStream",
    "Refusal",
    "RefusalAnswer",
    "RefusedBody",
    "announced_length",
    "draw_retry_seconds",
    "keep_framing",
    "refuse_as_json",
    "serve_application",
]
