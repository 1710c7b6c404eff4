"""HTTP listeners that keep within the memory and descriptors of a process."""

from .bodies import CHUNKED_BYTES
from .metrics import IntakeMetrics
from .monitor import Intake
from .server import BoundedServer, serve_application
from .streams import MeteredStream

__all__ = [
    "CHUNKED_BYTES",
    "BoundedServer",
    "Intake",
    "IntakeMetrics",
    "MeteredStream",
    "serve_application",
]
