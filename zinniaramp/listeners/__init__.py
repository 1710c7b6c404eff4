"""HTTP listeners that keep within the memory and descriptors of a process."""

from .metrics import IntakeMetrics
from .monitor import Intake
from .server import BoundedServer, serve_application
from .streams import MeteredStream

__all__ = [
    "BoundedServer",
    "Intake",
    "IntakeMetrics",
    "MeteredStream",
    "serve_application",
]
