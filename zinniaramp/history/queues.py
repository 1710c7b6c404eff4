"""What an endpoint process held at each moment, rebuilt from its events."""

from dataclasses import dataclass, field

from .records import LogLine

__all__ = ["HeldAttempt", "Queues", "rebuild", "usable_slots"]

WAITING, RUNNING, PAUSED = "waiting", "running", "paused"

STATE_AFTER = {"start": RUNNING, "resume": RUNNING, "pause": PAUSED}
"""State of an attempt after a decision of the scheduler."""


@dataclass(slots=True, kw_only=True)
class HeldAttempt:
    """An attempt that an endpoint process has accepted and not ended.

    Parameters
    ----------
    attempt : str
        The attempt.
    class_name : str
        Its class.
    tier : int
        Its service tier; 1 is served first.
    is_pausable : bool
        Whether it may be made to give up its slot.
    since : float
        Since when it is in its state.
    state : str
        Where it is.
    protected_until : float
        Until when its slot is its class's floor.
    """

    attempt: str
    class_name: str
    tier: int
    is_pausable: bool
    since: float
    state: str = WAITING
    protected_until: float = 0.0


@dataclass(slots=True, kw_only=True)
class Queues:
    """Everything that one endpoint process holds."""

    held: dict[str, HeldAttempt] = field(default_factory=dict)

    def apply(self, line: LogLine) -> None:
        """Take one event into account."""
        attempt = line.get("attempt")
        match line.name:
            case "process-started":
                self.held.clear()
            case "attempt-placed" if line.get("decision") == "accept":
                self.held[attempt] = _accepted(line)
            case "attempt-scheduled" if attempt in self.held:
                self.move(self.held[attempt], line)
            case "attempt-ended":
                self.held.pop(attempt, None)

    def move(self, one: HeldAttempt, line: LogLine) -> None:
        """Put an attempt in its next state."""
        state = STATE_AFTER.get(line.get("decision"))
        if state is None:
            del self.held[one.attempt]
            return
        one.state, one.since = state, line.time
        one.protected_until = line.time + (line.get("floor_s") or 0.0)

    def in_state(self, *states: str) -> list[HeldAttempt]:
        """Return the attempts in some states."""
        return [one for one in self.held.values() if one.state in states]


def _accepted(line: LogLine) -> HeldAttempt:
    return HeldAttempt(
        attempt=line.get("attempt"),
        class_name=line.get("class"),
        tier=line.get("tier"),
        is_pausable=line.get("pausable"),
        since=line.time,
    )


def usable_slots(
    queues: Queues, tier: int, now: float, *, with_floor: bool, settle_s: float = 0
) -> list[HeldAttempt]:
    """Return attempts whose slots one of a tier could use.

    Parameters
    ----------
    queues : Queues
        What the endpoint process holds.
    tier : int
        The tier that looks for a slot.
    now : float
        The time.
    with_floor : bool
        Whether slots that a class's floor holds count.
    settle_s : float
        Time for which a slot must have been usable.
    """
    return [
        one
        for one in queues.in_state(RUNNING)
        if one.tier > tier
        and one.is_pausable
        and one.since + settle_s <= now
        and (with_floor or one.protected_until + settle_s <= now)
    ]


def rebuild(lines: list[LogLine]):
    """Yield each event with what was held just before it."""
    queues = Queues()
    for line in lines:
        yield line, queues
        queues.apply(line)
