"""Checks of endpoints that leave the fleet and of graceful shutdowns."""

from collections.abc import Iterator

from .breaches import Breach, Guarantee
from .records import History, Limits, LogLine

__all__ = ["check_leaving", "check_shutdown"]

STARTED = "process-started"

UNFINISHED = {"drain-ended": ("unfinished", "left"), "shutdown-ended": ("left",)}
"""Fields that count requests cut off by a graceful shutdown, by event name."""


def check_leaving(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield new attempts for an endpoint that announced that it is leaving.

    Attempts within `Limits.leaving_s` of the announcement, and those after the next
    start of the process, are not breaches.
    """
    for process, lines in history.logs.items():
        for number, line in enumerate(lines):
            if line.name == "host-leaving":
                end = _next_start(lines[number:])
                yield from _late_routings(history, process, line.time, end, limits)
                yield from _late_acceptances(lines[number:], end, limits)


def _next_start(lines: list[LogLine]) -> float:
    """Return the time of the next process start; infinity if there is none."""
    starts = (line.time for line in lines if line.name == STARTED)
    return next(starts, float("inf"))


def _late_routings(
    history: History, process: str, left: float, end: float, limits: Limits
) -> Iterator[Breach]:
    """Yield attempts that entry processes routed to the leaving endpoint."""
    for lines in history.logs.values():
        for line in lines:
            is_late = left + limits.leaving_s < line.time < end
            is_choice = line.name == "attempt-routed" and line.get("chosen") == process
            if is_late and is_choice:
                yield _breach(line, process, line.time - left, "was chosen for")


def _late_acceptances(
    lines: list[LogLine], end: float, limits: Limits
) -> Iterator[Breach]:
    """Yield attempts that the leaving endpoint accepted.

    The first line is its ``host-leaving`` event.
    """
    left = lines[0]
    for line in lines:
        is_late = left.time + limits.leaving_s < line.time < end
        is_new = line.name == "attempt-placed" and line.get("decision") == "accept"
        if is_late and is_new:
            yield _breach(line, line.process, line.time - left.time, "accepted")


def _breach(line: LogLine, process: str, seconds: float, verb: str) -> Breach:
    return Breach(
        guarantee=Guarantee.LEAVING,
        subject=str(line.get("attempt")),
        evidence=f"{process} {verb} it {seconds:.1f} s after it began to leave",
    )


def check_shutdown(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield graceful shutdowns that ended with unfinished requests."""
    for process, lines in history.logs.items():
        for line in lines:
            for name in UNFINISHED.get(line.name, ()):
                if line.get(name):
                    yield Breach(
                        guarantee=Guarantee.SHUTDOWN,
                        subject=process,
                        evidence=f"{line.name} with {name} {line.get(name)}",
                    )
