"""Requests that wait in a gateway for room at an engine."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from itertools import count

from sortedcontainers import SortedKeyList

from ..placement import Demand, EngineChoice, EngineTraits
from .shares import WorkspaceShares

__all__ = ["HeldRequest", "HoldQueue"]

FLOOR_RELEASES = 12
"""Releases of other classes after which a class that waits is served once.  It keeps
the least urgent class at work and is below the share of a twelfth from which urgent
requests count as passed over for it."""

FAIR_QUANTUM_TOKENS = 4096
"""Difference in tokens over weight within which workspaces count as equal; about one
prompt, below which the least slack decides."""

_numbers = count()


@dataclass(slots=True, kw_only=True, eq=False)
class HeldRequest:
    """A request that is admitted or waits.

    Parameters
    ----------
    demand : Demand
        Its tokens, targets, workspace and urgency.
    traits : EngineTraits
        Properties of the engines of its service, under the configuration by which it
        was matched.
    deadline : datetime
        When its answer must be complete.
    since : datetime
        When it was received by the gateway.
    engines : callable
        Returns the names of the engines that may serve it now.
    choose : callable
        Returns the choice with the lowest cost among some engines.
    owner : object
        What waits for it; not used here.

    Attributes
    ----------
    needed_ms : float
        Predicted time from the send to the end when it was last considered.
    engine : str
        The engine that it waits for.
    waits_for_any : bool
        Whether no engine had room, so that it isn't held for a certain one alone.
    reconsider_at : datetime or None
        When another engine is chosen even if the one that it waits for has no room.
    passed : int
        Releases of other requests of its class since it is held.
    latest_start : float
        Time at which it would have to be sent, in seconds since the epoch.
    """

    demand: Demand
    traits: EngineTraits
    deadline: datetime
    since: datetime
    engines: Callable[[], list[str]]
    choose: Callable[[Sequence[str]], EngineChoice]
    owner: object = None
    needed_ms: float = 0.0
    engine: str = ""
    waits_for_any: bool = False
    reconsider_at: datetime | None = None
    passed: int = 0
    latest_start: float = 0.0
    number: int = field(default_factory=lambda: next(_numbers))

    @property
    def rank(self) -> int:
        """Urgency; 0 is the most urgent."""
        return self.demand.urgency

    @property
    def tokens(self) -> int:
        """Tokens of the prompt and the output, which its workspace is charged."""
        return self.demand.prompt_tokens + self.demand.output_estimate


class HoldQueue:
    """Held requests of one service in the order in which they are released.

    The most urgent class is first, in it the workspace that was served least, and in
    this the request with the least slack.

    Parameters
    ----------
    shares : WorkspaceShares
        Virtual time of the workspaces.

    Attributes
    ----------
    classes : dict
        Held requests by urgency and workspace, by least slack.
    count : int
        Number of held requests.
    transfer_bytes : int
        Sum of the bytes of their bodies.
    skipped : dict of int
        Releases of other classes since the last one of each class that waits.
    """

    __slots__ = ("shares", "classes", "count", "transfer_bytes", "skipped")

    def __init__(self, *, shares: WorkspaceShares):
        self.shares = shares
        self.classes: dict[int, dict[str, SortedKeyList]] = {}
        self.count = 0
        self.transfer_bytes = 0
        self.skipped: dict[int, int] = {}

    def __contains__(self, held: HeldRequest) -> bool:
        workspaces = self.classes.get(held.rank, {})
        return held in workspaces.get(held.demand.workspace, ())

    def add(self, held: HeldRequest) -> None:
        """Add a request."""
        workspaces = self.classes.setdefault(held.rank, {})
        name = held.demand.workspace
        if name not in workspaces:
            workspaces[name] = SortedKeyList(
                key=lambda one: (one.latest_start, one.number)
            )
        held.latest_start = held.deadline.timestamp() - held.needed_ms / 1000
        workspaces[name].add(held)
        self.skipped.setdefault(held.rank, 0)
        self.count += 1
        self.transfer_bytes += held.demand.transfer_bytes
        self.shares.enter(name)

    def remove(self, held: HeldRequest) -> bool:
        """Remove a request; return False if it is not in the queue."""
        if held not in self:
            return False
        workspaces = self.classes[held.rank]
        waiting = workspaces[held.demand.workspace]
        waiting.remove(held)
        if not waiting:
            del workspaces[held.demand.workspace]
        if not workspaces:
            del self.classes[held.rank]
            self.skipped.pop(held.rank, None)
        self.count -= 1
        self.transfer_bytes -= held.demand.transfer_bytes
        self.shares.leave(held.demand.workspace)
        return True

    def record_release(self, held: HeldRequest) -> None:
        """Count the release of a request that was removed."""
        for rank in self.skipped:
            self.skipped[rank] = 0 if rank == held.rank else self.skipped[rank] + 1
        for waiting in self.classes.get(held.rank, {}).values():
            for other in waiting:
                other.passed += 1

    def is_at_floor(self, rank: int) -> bool:
        """Return whether a class is served next because it has waited for long."""
        return self.skipped.get(rank, 0) >= FLOOR_RELEASES

    def ahead(self, held: HeldRequest) -> int:
        """Return how many requests are released before one that isn't held yet."""
        urgent = sum(
            len(waiting)
            for rank, workspaces in self.classes.items()
            if rank < held.rank
            for waiting in workspaces.values()
        )
        own_class = self.classes.get(held.rank, {})
        total = sum(map(len, own_class.values()))
        own = len(own_class.get(held.demand.workspace, ()))
        return urgent + min(total, own * max(1, len(own_class)))

    def in_order(self) -> Iterator[HeldRequest]:
        """Yield the requests in the order of release; the queue may not change."""
        ranks = sorted(
            self.classes, key=lambda rank: (not self.is_at_floor(rank), rank)
        )
        for rank in ranks:
            yield from self._class_in_order(self.classes[rank])

    def _class_in_order(
        self, workspaces: dict[str, SortedKeyList]
    ) -> Iterator[HeldRequest]:
        def order(name: str) -> tuple[int, float]:
            step = int(self.shares.served[name] // FAIR_QUANTUM_TOKENS)
            return step, workspaces[name][0].latest_start

        names = sorted(workspaces, key=order)
        depth = 0
        while names:
            # The first of each workspace, then the second: only one is released in a
            # pass before the order is determined anew.
            names = [name for name in names if depth < len(workspaces[name])]
            for name in names:
                yield workspaces[name][depth]
            depth += 1

    def last(self) -> HeldRequest:
        """Return the request that is given up first.

        It is the last one of the workspace that was served most, in the least urgent
        class.
        """
        workspaces = self.classes[max(self.classes)]
        name = max(
            workspaces, key=lambda one: (self.shares.served[one], len(workspaces[one]))
        )
        return workspaces[name][-1]
