"""Urgent work is never refused, shed or preempted for a lower class.

A slot counts as usable by an attempt if one of a higher-numbered tier that may
be paused holds it.  A slot that a class's floor holds for a bounded quantum is
counted where the predicted wait is the reason, since that quantum may be a part
of the wait; it is not counted where the request's own deadline is the reason.
"""

from collections.abc import Iterator

from .breaches import Breach, Guarantee
from .queues import WAITING, HeldAttempt, Queues, rebuild, usable_slots
from .records import History, Limits, LogLine

__all__ = ["check_urgency"]

LOAD_REASONS = ("overloaded", "deadline")
"""Reasons of refusals that are due to load."""

HIGHEST_TIER = 1


def check_urgency(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield refusals, sheddings and pauses for the good of a lower class."""
    for lines in history.logs.values():
        pausing: list[HeldAttempt] = []
        for line, queues in rebuild(lines):
            if line.name == "process-started":
                pausing = []
            if line.name == "attempt-placed" and line.get("decision") == "refuse":
                yield from _judge_refusal(line, queues, limits)
            if line.name != "attempt-scheduled":
                continue
            if line.get("decision") in ("expire", "shed"):
                yield from _judge_loss(line, queues, limits)
            if line.get("decision") == "pause" and line.get("attempt") in queues.held:
                pausing.append(queues.held[line.get("attempt")])
            if line.get("decision") in ("start", "resume"):
                yield from _judge_pauses(line, queues, pausing)
                pausing = []


def _judge_refusal(line: LogLine, queues: Queues, limits: Limits) -> Iterator[Breach]:
    reason, tier = line.get("reason"), line.get("tier")
    if reason not in LOAD_REASONS or not tier:
        return
    slots = usable_slots(queues, tier, line.time, with_floor=reason == "overloaded")
    if slots:
        yield _breach(line, f"refused ({reason}) while {_names(slots)} held slots")
    waiting = queues.in_state(WAITING)
    lower = [one for one in waiting if one.tier > tier]
    if lower and len(waiting) >= limits.queue_places:
        yield _breach(line, f"refused while {_names(lower)} held queue places")


def _judge_loss(line: LogLine, queues: Queues, limits: Limits) -> Iterator[Breach]:
    lost = queues.held.get(line.get("attempt"))
    if lost is None:
        return
    decision = line.get("decision")
    lower = usable_slots(
        queues, lost.tier, line.time, with_floor=False, settle_s=limits.settle_s
    )
    if decision == "shed":
        lower = [one for one in queues.in_state(WAITING) if one.tier > lost.tier]
        if lost.tier == HIGHEST_TIER and not lower:
            yield _breach(line, "an attempt of the highest tier was shed")
    if lower:
        yield _breach(line, f"ended by '{decision}' while {_names(lower)} stayed")


def _judge_pauses(
    line: LogLine, queues: Queues, pausing: list[HeldAttempt]
) -> Iterator[Breach]:
    winner = queues.held.get(line.get("attempt"))
    for one in pausing:
        if winner is not None and winner.tier >= one.tier:
            yield Breach(
                promise=Guarantee.URGENT,
                subject=one.attempt,
                evidence=f"{one.class_name}, tier {one.tier}, was paused for "
                f"{winner.attempt} of {winner.class_name}, tier {winner.tier}",
            )


def _names(held: list[HeldAttempt]) -> str:
    return ", ".join(f"{one.attempt} of {one.class_name}" for one in held[:3])


def _breach(line: LogLine, what: str) -> Breach:
    evidence = f"{line.get('class')} at {line.process}: {what}"
    return Breach(
        promise=Guarantee.URGENT, subject=str(line.get("attempt")), evidence=evidence
    )
