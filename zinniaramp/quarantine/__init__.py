"""Detection of prompt segments that crash engines; does no I/O."""

from .core import SegmentQuarantine
from .records import Quarantine

__all__ = ["Quarantine", "SegmentQuarantine"]
