"""Detection of prompt segments that crash engines; does no I/O."""

from .core import Quarantine, SegmentQuarantine

__all__ = ["Quarantine", "SegmentQuarantine"]
