"""Detection of prompt segments and requests that crash endpoints; does no I/O."""

from .core import CrashQuarantine
from .records import FINGERPRINT_PREFIX, Quarantine

__all__ = ["FINGERPRINT_PREFIX", "CrashQuarantine", "Quarantine"]
