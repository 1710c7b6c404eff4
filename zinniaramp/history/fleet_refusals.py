"""No caller is refused for load while a lower class holds a slot elsewhere.

An endpoint process sees its own slots only.  Here the slots of all endpoints
that serve a request's model or service are looked at when its caller is told
that the fleet is overloaded.  Slots that a class's floor holds don't count, nor
those that were given out less than `Limits.settle_s` ago, which the entry could
not know of.
"""

from collections.abc import Iterator

from .breaches import Breach, Guarantee
from .queues import Queues, usable_slots
from .records import History, Limits, LogLine

__all__ = ["check_fleet_refusals"]

BUSY = "overloaded"
"""Reason of a request's end that says that the fleet is overloaded."""


class Fleet:
    """What was known of a fleet at one moment of its merged logs."""

    __slots__ = ("queues", "targets", "serving", "tiers")

    def __init__(self):
        self.queues: dict[str, Queues] = {}
        self.targets: dict[str, str] = {}
        self.serving: dict[str, set[str]] = {}
        self.tiers: dict[str, int] = {}

    def apply(self, line: LogLine) -> None:
        """Take one event into account."""
        self.queues.setdefault(line.process, Queues()).apply(line)
        if line.name == "attempt-routed":
            request = line.get("attempt").partition(".")[0]
            self.targets[request] = line.get("target")
            self.serving.setdefault(line.get("target"), set()).add(line.get("chosen"))
        if line.name == "attempt-placed" and line.get("tier"):
            self.tiers[line.get("class")] = line.get("tier")


def check_fleet_refusals(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield requests refused for load while a lower class held a usable slot."""
    lines = [line for log in history.logs.values() for line in log]
    fleet = Fleet()
    for line in sorted(lines, key=lambda one: one.time):
        fleet.apply(line)
        if line.name == "request-ended" and line.get("reason") == BUSY:
            yield from _judge(line, fleet, limits)


def _judge(line: LogLine, fleet: Fleet, limits: Limits) -> Iterator[Breach]:
    request, tier = line.get("request"), fleet.tiers.get(line.get("class"))
    if tier is None or request not in fleet.targets:
        return
    for host in sorted(fleet.serving[fleet.targets[request]]):
        queues = fleet.queues.get(host, Queues())
        slots = usable_slots(
            queues, tier, line.time, with_floor=False, settle_s=limits.settle_s
        )
        if slots:
            names = ", ".join(f"{one.attempt} of {one.class_name}" for one in slots[:3])
            yield Breach(
                promise=Guarantee.URGENT,
                subject=request,
                evidence=f"{line.get('class')} refused by {line.process} while {names} "
                f"held slots of {host}",
            )
            return
