"""Admission of prompts to engines whose slots or memory are short, without I/O."""

from .core import Admission
from .queue import HeldRequest, HoldQueue
from .rates import Rate
from .shares import WorkspaceShares
from .usage import ServiceUsage
from .verdicts import Hold, Refuse, Send, Verdict

__all__ = [
    "Admission",
    "HeldRequest",
    "Hold",
    "HoldQueue",
    "Rate",
    "Refuse",
    "Send",
    "ServiceUsage",
    "Verdict",
    "WorkspaceShares",
]
