"""Cold endpoints: which ones are cold, and what they may be sent."""

from .allowance import ColdAllowance, ColdBounds
from .core import WarmUps
from .membership import Membership

__all__ = ["ColdAllowance", "ColdBounds", "Membership", "WarmUps"]
