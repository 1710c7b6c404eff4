"""How a fleet on loopback differs from the usual one."""

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
    """Departures from the usual fleet.

    Parameters
    ----------
    width : int
        Batch width of the engine stand-ins.
    declarations : Path or None
        File of declarations to publish in place of the example's own.
    slow : tuple of float
        Factor on the step time of each engine, in turn; 1 for all if empty.
    advertise : callable
        Returns the address at which entries reach an endpoint process's stream
        address, so that a test can put a forwarder between.
    settings : dict of dict of str
        Keys by section that differ from the usual settings of every daemon
        process.
    """

    width: int = ENGINE_WIDTH
    declarations: Path | None = None
    slow: tuple[float, ...] = ()
    advertise: Callable[[str], str] = _same_address
    settings: dict[str, dict[str, str]] = field(default_factory=dict)

    def slow_factor(self, number: int) -> float:
        """Return the factor of one engine."""
        return self.slow[number % len(self.slow)] if self.slow else 1.0
