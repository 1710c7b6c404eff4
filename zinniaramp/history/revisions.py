"""Revisions: in force everywhere in time, and never a lower one."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from .breaches import Breach, Guarantee
from .records import History, Limits, LogLine

__all__ = ["check_revisions"]

EVERY_PROCESS = "*"
"""Name in an outage that keeps every process from its configuration."""


@dataclass(slots=True, kw_only=True)
class ProcessStart:
    """One start of a process and the revisions that it took.

    Parameters
    ----------
    process : str
        Name of the process.
    start, end : float
        First and last sign of life.
    settled : float or None
        When it had looked for the newest revision.
    accepted : list of LogLine
        ``revision-accepted`` events.
    """

    process: str
    start: float
    end: float
    settled: float | None = None
    accepted: list[LogLine] = field(default_factory=list)

    def index_at(self, time: float) -> int:
        """Return the index in force at a time; -1 before the first."""
        taken = [one.get("index") for one in self.accepted if one.time <= time]
        return taken[-1] if taken else -1


def _starts(lines: list[LogLine]) -> list[ProcessStart]:
    starts: list[ProcessStart] = []
    for line in lines:
        if line.name == "process-started" or not starts:
            starts.append(
                ProcessStart(process=line.process, start=line.time, end=line.time)
            )
        current = starts[-1]
        current.end = line.time
        if line.name == "process-settled":
            current.settled = line.time
        if line.name == "revision-accepted":
            current.accepted.append(line)
    return starts


def check_revisions(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield reverts, and revisions that were not in force everywhere in time."""
    starts = [one for lines in history.logs.values() for one in _starts(lines)]
    for one in starts:
        yield from _reverts(one)
    for index, accepted in _first_accepted(starts).items():
        for one in starts:
            yield from _late(history, one, index, accepted, limits)


def _reverts(start: ProcessStart) -> Iterator[Breach]:
    for before, after in zip(start.accepted, start.accepted[1:], strict=False):
        if after.get("index") < before.get("index"):
            evidence = f"{before.get('index')} was in force, then {after.get('index')}"
            yield _breach(start, evidence)


def _first_accepted(starts: list[ProcessStart]) -> dict[int, float]:
    first: dict[int, float] = {}
    for line in (line for one in starts for line in one.accepted):
        index = line.get("index")
        first[index] = min(line.time, first.get(index, line.time))
    return first


def _late(
    history: History,
    start: ProcessStart,
    index: int,
    accepted: float,
    limits: Limits,
) -> Iterator[Breach]:
    """Yield a breach if a start had a lower revision when it was to have this one."""
    due = _due(history, start, accepted, limits.in_force_s)
    judged = max(due, start.settled or start.start + limits.in_force_s)
    if judged > start.end:
        return
    found = start.index_at(judged)
    if found < index:
        seconds = judged - accepted
        evidence = f"{found} in force {seconds:.1f} s after {index} was accepted"
        yield _breach(start, evidence)


def _due(
    history: History, start: ProcessStart, accepted: float, in_force_s: float
) -> float:
    """Return when a revision is due: later if this start was kept from hearing."""
    due = accepted + in_force_s
    for one in sorted(history.outages, key=lambda outage: outage.start):
        is_kept = one.process in (start.process, EVERY_PROCESS)
        if is_kept and start.start <= one.start <= due and one.end >= accepted:
            due = max(due, one.end + in_force_s)
    return due


def _breach(start: ProcessStart, evidence: str) -> Breach:
    return Breach(
        promise=Guarantee.CONFIGURATION, subject=start.process, evidence=evidence
    )
