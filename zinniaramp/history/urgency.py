"""Checks that urgent work is never refused, shed or preempted for a lower class.

A slot is usable for an attempt if an attempt of a lower tier (a higher tier number)
that may be preempted holds it.  A class's floor protects a slot for a bounded
quantum.  Such a slot counts as usable if the refusal is due to the predicted wait,
because the quantum may be a part of that wait.  It does not count if the refusal is
due to the request's own deadline.
"""

from collections.abc import Iterator

from .breaches import Breach, Guarantee
from .queues import WAITING, AcceptedAttempt, Queues, replay, usable_slots
from .records import History, Limits, LogLine

__all__ = ["check_urgency"]

LOAD_REASONS = ("overloaded", "deadline")
"""Reasons of refusals that are due to load."""

HIGHEST_TIER = 1


def check_urgency(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield attempts refused, shed, expired or paused in favour of a lower class."""
    for lines in history.logs.values():
        preempted: list[AcceptedAttempt] = []
        for line, queues in replay(lines):
            if line.name == "process-started":
                preempted = []
            if line.name == "attempt-placed" and line.get("decision") == "refuse":
                yield from _check_refusal(line, queues, limits)
            if line.name != "attempt-scheduled":
                continue
            if line.get("decision") in ("expire", "shed"):
                yield from _check_removal(line, queues, limits)
            if line.get("decision") == "pause" and line.get("attempt") in queues.held:
                preempted.append(queues.held[line.get("attempt")])
            if line.get("decision") in ("start", "resume"):
                yield from _check_preemptions(line, queues, preempted)
                preempted = []


def _check_refusal(line: LogLine, queues: Queues, limits: Limits) -> Iterator[Breach]:
    reason, tier = line.get("reason"), line.get("tier")
    if reason not in LOAD_REASONS or not tier:
        return
    slots = usable_slots(queues, tier, line.time, with_floor=reason == "overloaded")
    if slots:
        yield _breach(line, f"refused ({reason}) while {_names(slots)} held slots")
    waiting = queues.in_state(WAITING)
    lower = [attempt for attempt in waiting if attempt.tier > tier]
    if lower and len(waiting) >= limits.queue_places:
        yield _breach(line, f"refused while {_names(lower)} filled the queue")


def _check_removal(line: LogLine, queues: Queues, limits: Limits) -> Iterator[Breach]:
    """Yield a breach if an attempt expired or was shed before a lower tier."""
    lost = queues.held.get(line.get("attempt"))
    if lost is None:
        return
    decision = line.get("decision")
    lower = usable_slots(
        queues, lost.tier, line.time, with_floor=False, settle_s=limits.settle_s
    )
    if decision == "shed":
        lower = [
            attempt for attempt in queues.in_state(WAITING) if attempt.tier > lost.tier
        ]
        if lost.tier == HIGHEST_TIER and not lower:
            yield _breach(line, "an attempt of the highest tier was shed")
    if lower:
        yield _breach(line, f"ended by '{decision}' while {_names(lower)} remained")


def _check_preemptions(
    line: LogLine, queues: Queues, preempted: list[AcceptedAttempt]
) -> Iterator[Breach]:
    """Yield attempts paused for one of the same or a lower tier that now runs."""
    starting = queues.held.get(line.get("attempt"))
    for attempt in preempted:
        if starting is not None and starting.tier >= attempt.tier:
            yield Breach(
                guarantee=Guarantee.URGENT,
                subject=attempt.attempt,
                evidence=f"{attempt.class_name}, tier {attempt.tier}, was paused for "
                f"{starting.attempt} of {starting.class_name}, tier {starting.tier}",
            )


def _names(held: list[AcceptedAttempt]) -> str:
    return ", ".join(
        f"{attempt.attempt} of {attempt.class_name}" for attempt in held[:3]
    )


def _breach(line: LogLine, finding: str) -> Breach:
    evidence = f"{line.get('class')} at {line.process}: {finding}"
    return Breach(
        guarantee=Guarantee.URGENT, subject=str(line.get("attempt")), evidence=evidence
    )
