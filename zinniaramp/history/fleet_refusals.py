"""Checks refusals for overload against the slots of the whole fleet.

An endpoint process sees only its own slots.  When a caller gets the answer that
the fleet is overloaded, this check looks at the slots of all endpoints that serve
the request's model or service: none of them may be held by a lower class.  Slots
protected by a class's floor do not count.  Neither do slots taken less than
`Limits.settle_s` ago, because the entry process cannot have known of them.
"""

from collections.abc import Iterator

from .breaches import Breach, Guarantee
from .queues import Queues, usable_slots
from .records import History, Limits, LogLine

__all__ = ["check_fleet_refusals"]

BUSY = "overloaded"
"""Reason in ``request-ended`` if the whole fleet is overloaded."""


class FleetState:
    """State of a fleet at one moment, rebuilt from the merged logs.

    Attributes
    ----------
    queues : dict of Queues
        Accepted attempts of each process, by process name.
    target_by_request : dict of str
        Model or service of each request.
    hosts_by_target : dict of set of str
        Endpoints to which attempts for a model or service were routed.
    tier_by_class : dict of int
        Service tier of each class.
    """

    __slots__ = ("queues", "target_by_request", "hosts_by_target", "tier_by_class")

    def __init__(self):
        self.queues: dict[str, Queues] = {}
        self.target_by_request: dict[str, str] = {}
        self.hosts_by_target: dict[str, set[str]] = {}
        self.tier_by_class: dict[str, int] = {}

    def apply(self, line: LogLine) -> None:
        """Update the state with one event."""
        self.queues.setdefault(line.process, Queues()).apply(line)
        if line.name == "attempt-routed":
            request = line.get("attempt").partition(".")[0]
            self.target_by_request[request] = line.get("target")
            self.hosts_by_target.setdefault(line.get("target"), set()).add(
                line.get("chosen")
            )
        if line.name == "attempt-placed" and line.get("tier"):
            self.tier_by_class[line.get("class")] = line.get("tier")


def check_fleet_refusals(history: History, limits: Limits) -> Iterator[Breach]:
    """Yield requests refused for overload while a lower class held a usable slot."""
    lines = [line for log in history.logs.values() for line in log]
    fleet = FleetState()
    for line in sorted(lines, key=lambda event: event.time):
        fleet.apply(line)
        if line.name == "request-ended" and line.get("reason") == BUSY:
            yield from _check_refusal(line, fleet, limits)


def _check_refusal(
    line: LogLine, fleet: FleetState, limits: Limits
) -> Iterator[Breach]:
    request, tier = line.get("request"), fleet.tier_by_class.get(line.get("class"))
    if tier is None or request not in fleet.target_by_request:
        return
    for host in sorted(fleet.hosts_by_target[fleet.target_by_request[request]]):
        queues = fleet.queues.get(host, Queues())
        slots = usable_slots(
            queues, tier, line.time, with_floor=False, settle_s=limits.settle_s
        )
        if slots:
            names = ", ".join(
                f"{holder.attempt} of {holder.class_name}" for holder in slots[:3]
            )
            yield Breach(
                guarantee=Guarantee.URGENT,
                subject=request,
                evidence=f"{line.get('class')} refused by {line.process} while {names} "
                f"held slots of {host}",
            )
            return
