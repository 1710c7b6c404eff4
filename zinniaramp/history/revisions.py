"""Checks that revisions are in force everywhere in time and never revert."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from .breaches import Breach, Guarantee
from .records import History, Limits, LogLine

__all__ = ["check_revisions"]

EVERY_PROCESS = "*"
"""Process name of an outage that cuts all processes off from the configuration."""


@dataclass(slots=True, kw_only=True)
class ProcessIncarnation:
    """One incarnation of a process and the revisions that it accepted.

    Parameters
    ----------
    process : str
        Name of the process.
    start, end : float
        Times of its first and last event, in Unix seconds.
    settled : float or None
        When it finished its search for the newest revision; None if it did not.
    accepted : list of LogLine
        Its ``revision-accepted`` events.
    """

    process: str
    start: float
    end: float
    settled: float | None = None
    accepted: list[LogLine] = field(default_factory=list)

    def index_at(self, time: float) -> int:
        """Return the index of the revision in force at a time; -1 before any."""
        taken = [event.get("index") for event in self.accepted if event.time <= time]
        return taken[-1] if taken else -1


def _split_incarnations(lines: list[LogLine]) -> list[ProcessIncarnation]:
    incarnations: list[ProcessIncarnation] = []
    for line in lines:
        if line.name == "process-started" or not incarnations:
            incarnations.append(
                ProcessIncarnation(process=line.process, start=line.time, end=line.time)
            )
        current = incarnations[-1]
        current.end = line.time
        if line.name == "process-settled":
            current.settled = line.time
        if line.name == "revision-accepted":
            current.accepted.append(line)
    return incarnations


def check_revisions(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield reverts, and revisions that were not in force everywhere in time."""
    incarnations = [
        incarnation
        for lines in history.logs.values()
        for incarnation in _split_incarnations(lines)
    ]
    for incarnation in incarnations:
        yield from _check_reverts(incarnation)
    for index, accepted in _first_accepted(incarnations).items():
        for incarnation in incarnations:
            yield from _check_in_force(history, incarnation, index, accepted, limits)


def _check_reverts(incarnation: ProcessIncarnation) -> Iterator[Breach]:
    for before, after in zip(
        incarnation.accepted, incarnation.accepted[1:], strict=False
    ):
        if after.get("index") < before.get("index"):
            evidence = f"{before.get('index')} was in force, then {after.get('index')}"
            yield _breach(incarnation, evidence)


def _first_accepted(incarnations: list[ProcessIncarnation]) -> dict[int, float]:
    """Return when each revision was first accepted by any process, by index."""
    first: dict[int, float] = {}
    for line in (line for incarnation in incarnations for line in incarnation.accepted):
        index = line.get("index")
        first[index] = min(line.time, first.get(index, line.time))
    return first


def _check_in_force(
    history: History,
    incarnation: ProcessIncarnation,
    index: int,
    accepted: float,
    limits: Limits,
) -> Iterator[Breach]:
    """Yield a breach if a lower revision was in force when this one was due."""
    due = _due_time(history, incarnation, accepted, limits.in_force_s)
    checked_at = max(due, incarnation.settled or incarnation.start + limits.in_force_s)
    if checked_at > incarnation.end:
        return
    actual = incarnation.index_at(checked_at)
    if actual < index:
        seconds = checked_at - accepted
        evidence = f"{actual} in force {seconds:.1f} s after {index} was accepted"
        yield _breach(incarnation, evidence)


def _due_time(
    history: History,
    incarnation: ProcessIncarnation,
    accepted: float,
    in_force_s: float,
) -> float:
    """Return when a revision must be in force in one incarnation of a process.

    An outage that may have delayed the revision restarts the period of
    `in_force_s` at the end of the outage.
    """
    due = accepted + in_force_s
    for outage in sorted(history.outages, key=lambda outage: outage.start):
        is_affected = outage.process in (incarnation.process, EVERY_PROCESS)
        if (
            is_affected
            and incarnation.start <= outage.start <= due
            and outage.end >= accepted
        ):
            due = max(due, outage.end + in_force_s)
    return due


def _breach(incarnation: ProcessIncarnation, evidence: str) -> Breach:
    return Breach(
        guarantee=Guarantee.CONFIGURATION,
        subject=incarnation.process,
        evidence=evidence,
    )
