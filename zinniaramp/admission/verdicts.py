"""What becomes of a request for an engine."""

from dataclasses import dataclass

from ..placement import EngineChoice

__all__ = ["Hold", "Refuse", "Send", "Verdict"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Send:
    """The request is sent now.

    Parameters
    ----------
    choice : EngineChoice or None
        The engine; None if no engine is usable, which is for the sender to handle.
    """

    choice: EngineChoice | None

    @property
    def engine(self) -> str | None:
        """Name of the engine."""
        return self.choice.engine if self.choice else None


@dataclass(slots=True, kw_only=True, frozen=True)
class Hold:
    """The request waits in the gateway.

    Parameters
    ----------
    engine : str
        The engine with the lowest cost, which has no room.
    reason : str
        ``slots``, ``memory`` or ``queue`` (requests before it wait as well).
    """

    engine: str
    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Refuse:
    """The request is refused; nothing was sent.

    Parameters
    ----------
    reason : str
        ``deadline`` or ``queue-full``.
    wait_ms : float
        Predicted time until such a request is sent, in milliseconds.
    needed_ms : float
        Predicted time from the send to the end of the answer, in milliseconds.
    """

    reason: str
    wait_ms: float
    needed_ms: float


Verdict = Send | Hold | Refuse
