"""HTTP listeners that keep within the memory and descriptors of a process."""

from .bodies import (
    BodyBuffer,
    BodyReservation,
    RefusedBody,
    announced_length,
    is_chunked,
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
    "UNLIMITED_BYTES",
    "BodyBuffer",
    "BodyPolicy",
    "BodyReservation",
    "BoundedServer",
    "Intake",
    "IntakeMetrics",
    "MeteredStream",
    "Refusal",
    "RefusalAnswer",
    "RefusedBody",
    "announced_length",
    "draw_retry_seconds",
    "is_chunked",
    "keep_framing",
    "refuse_as_json",
    "serve_application",
]
