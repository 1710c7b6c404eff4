"""Accepted attempts of an endpoint process at each moment, rebuilt from its events."""

from dataclasses import dataclass, field

from .records import LogLine

__all__ = ["AcceptedAttempt", "Queues", "replay", "usable_slots"]

WAITING, RUNNING, PAUSED = "waiting", "running", "paused"

STATE_AFTER = {"start": RUNNING, "resume": RUNNING, "pause": PAUSED}
"""State of an attempt after a decision of the scheduler; other decisions end it."""


@dataclass(slots=True, kw_only=True)
class AcceptedAttempt:
    """An attempt that an endpoint process has accepted and that has not ended.

    Parameters
    ----------
    attempt : str
        Identifier of the attempt.
    class_name : str
        Its class.
    tier : int
        Its service tier; 1 is served first.
    is_pausable : bool
        Whether it may be preempted, that is, paused to free its slot.
    state_since : float
        Time at which it entered its state, in Unix seconds.
    state : str
        ``waiting``, ``running`` or ``paused``.
    protected_until : float
        Time until which its class's floor protects its slot, in Unix seconds.
    """

    attempt: str
    class_name: str
    tier: int
    is_pausable: bool
    state_since: float
    state: str = WAITING
    protected_until: float = 0.0


@dataclass(slots=True, kw_only=True)
class Queues:
    """Accepted attempts of one endpoint process.

    Parameters
    ----------
    held : dict of AcceptedAttempt
        Attempts that have not ended, by identifier.
    """

    held: dict[str, AcceptedAttempt] = field(default_factory=dict)

    def apply(self, line: LogLine) -> None:
        """Update the attempts with one event."""
        attempt = line.get("attempt")
        match line.name:
            case "process-started":
                self.held.clear()
            case "attempt-placed" if line.get("decision") == "accept":
                self.held[attempt] = _accept(line)
            case "attempt-scheduled" if attempt in self.held:
                self.apply_decision(self.held[attempt], line)
            case "attempt-ended":
                self.held.pop(attempt, None)

    def apply_decision(self, accepted: AcceptedAttempt, line: LogLine) -> None:
        """Set the state that a decision of the scheduler gives an attempt.

        The attempt is removed if the decision ends it.
        """
        state = STATE_AFTER.get(line.get("decision"))
        if state is None:
            del self.held[accepted.attempt]
            return
        accepted.state, accepted.state_since = state, line.time
        accepted.protected_until = line.time + (line.get("floor_s") or 0.0)

    def in_state(self, *states: str) -> list[AcceptedAttempt]:
        """Return the attempts that are in one of the states."""
        return [accepted for accepted in self.held.values() if accepted.state in states]


def _accept(line: LogLine) -> AcceptedAttempt:
    return AcceptedAttempt(
        attempt=line.get("attempt"),
        class_name=line.get("class"),
        tier=line.get("tier"),
        is_pausable=line.get("pausable"),
        state_since=line.time,
    )


def usable_slots(
    queues: Queues, tier: int, now: float, *, with_floor: bool, settle_s: float = 0
) -> list[AcceptedAttempt]:
    """Return the running attempts that an attempt of a tier could preempt.

    Parameters
    ----------
    queues : Queues
        Accepted attempts of the endpoint process.
    tier : int
        Tier of the attempt that needs a slot.
    now : float
        Current time, in Unix seconds.
    with_floor : bool
        Whether slots protected by a class's floor count as usable.
    settle_s : float
        Seconds for which a slot must have been usable.
    """
    return [
        holder
        for holder in queues.in_state(RUNNING)
        if holder.tier > tier
        and holder.is_pausable
        and holder.state_since + settle_s <= now
        and (with_floor or holder.protected_until + settle_s <= now)
    ]


def replay(lines: list[LogLine]):
    """Yield each event with the accepted attempts just before it.

    The same `Queues` is yielded each time and changes with the next event.
    """
    queues = Queues()
    for line in lines:
        yield line, queues
        queues.apply(line)
