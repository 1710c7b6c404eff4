"""Account of the memory and descriptors that connections hold, and eviction order."""

from .account import FIELD_BYTES, LARGE_BYTES, Account, unlimited_account
from .holder import Holder, Kind, Phase
from .limits import IntakeLimits, derive_limits

__all__ = [
    "FIELD_BYTES",
    "LARGE_BYTES",
    "Account",
    "Holder",
    "IntakeLimits",
    "Kind",
    "Phase",
    "derive_limits",
    "unlimited_account",
]
