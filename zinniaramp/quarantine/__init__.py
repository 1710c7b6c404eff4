"""Detection of prompt segments and requests that crash endpoints; does no I/O."""

from .core import CrashQuarantine
from .records import Quarantine

__all__ = ["Quarantine", "CrashQuarantine"]
