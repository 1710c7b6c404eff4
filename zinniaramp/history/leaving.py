"""Leaving endpoints and graceful shutdowns."""

from collections.abc import Iterator

from .breaches import Breach, Guarantee
from .records import History, Limits, LogLine

__all__ = ["check_leaving", "check_shutdown"]

STARTED = "process-started"

UNFINISHED = {"drain-ended": ("unfinished", "left"), "shutdown-ended": ("left",)}
"""Fields that count what a graceful shutdown cut off, by event."""


def check_leaving(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield new work for an endpoint that has been leaving for too long."""
    for process, lines in history.logs.items():
        for number, line in enumerate(lines):
            if line.name == "host-leaving":
                end = _next_start(lines[number:])
                yield from _chosen(history, process, line.time, end, limits)
                yield from _taken(lines[number:], end, limits)


def _next_start(lines: list[LogLine]) -> float:
    starts = (line.time for line in lines if line.name == STARTED)
    return next(starts, float("inf"))


def _chosen(
    history: History, process: str, left: float, end: float, limits: Limits
) -> Iterator[Breach]:
    for lines in history.logs.values():
        for line in lines:
            is_late = left + limits.leaving_s < line.time < end
            is_choice = line.name == "attempt-routed" and line.get("chosen") == process
            if is_late and is_choice:
                yield _breach(line, process, line.time - left, "was offered")


def _taken(lines: list[LogLine], end: float, limits: Limits) -> Iterator[Breach]:
    left = lines[0]
    for line in lines:
        is_late = left.time + limits.leaving_s < line.time < end
        is_new = line.name == "attempt-placed" and line.get("decision") == "accept"
        if is_late and is_new:
            yield _breach(line, line.process, line.time - left.time, "took")


def _breach(line: LogLine, process: str, seconds: float, verb: str) -> Breach:
    return Breach(
        promise=Guarantee.LEAVING,
        subject=str(line.get("attempt")),
        evidence=f"{process} {verb} it {seconds:.1f} s after it began to leave",
    )


def check_shutdown(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield graceful shutdowns that left something unfinished."""
    for process, lines in history.logs.items():
        for line in lines:
            for name in UNFINISHED.get(line.name, ()):
                if line.get(name):
                    yield Breach(
                        promise=Guarantee.SHUTDOWN,
                        subject=process,
                        evidence=f"{line.name} with {name} {line.get(name)}",
                    )
