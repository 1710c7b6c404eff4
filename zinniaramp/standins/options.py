"""Options of a fleet on loopback."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["ENGINE_WIDTH", "FleetOptions"]

ENGINE_WIDTH = 8
"""Batch width of the engine stand-ins."""


def _same_address(address: str) -> str:
    return address


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetOptions:
    """Options of a fleet; the defaults describe the usual fleet.

    Parameters
    ----------
    width : int
        Batch width of the engine stand-ins.
    declarations : Path or None
        File of declarations to publish instead of the example's.
    slow : tuple of float
        Factors on the engines' step times, assigned to the engines in turn; 1 for
        all engines if empty.
    advertise : callable
        Maps the stream address of an endpoint process to the address that entries
        connect to, where a test can run a forwarder.
    settings : dict of dict of str
        Keys and values by section that override the usual settings of every daemon
        process.
    """

    width: int = ENGINE_WIDTH
    declarations: Path | None = None
    slow: tuple[float, ...] = ()
    advertise: Callable[[str], str] = _same_address
    settings: dict[str, dict[str, str]] = field(default_factory=dict)

    def slow_factor(self, number: int) -> float:
        """Return the factor on the step time of one engine."""
        return self.slow[number % len(self.slow)] if self.slow else 1.0
