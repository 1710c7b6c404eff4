"""Account of what connections hold, admission, and the choice of whom to evict.

No part of this does I/O: a holder's ``evict`` function, given by the listener, closes
its connection.
"""

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterator
from datetime import datetime

from ..buffers import (
    SERVER_BUFFER_BYTES,
    SMALL_BUFFER_BYTES,
    USUAL_BUFFER_BYTES,
    unread_capacity,
)
from ..clock import Clock
from .holder import Holder, Kind, Phase
from .limits import IntakeLimits, derive_limits

__all__ = ["Account", "unlimited_account"]

CONNECTION_BYTES = 10 * 1024
"""Memory of one connection without any data; 7 KB were measured."""

RUN_BYTES = 20 * 1024
"""Memory of one request in work, with its connection to an endpoint and without data;
1,200 of them took 34 MB with their callers' connections."""

FIELD_BYTES = 400
"""Memory of one header field of a request that is being handled.  200 requests with
2,600 fields each took 192 MB at a route, which keeps two copies: 370 bytes a field."""

LARGE_BYTES = 64 * 1024
"""Size above which a request counts as large; ordinary ones have a few kilobytes."""

LARGE_SHARE = 0.8
"""Share of the budget up to which large requests are accepted; the rest is kept for
ordinary ones."""

RELIEF_SHARE = 0.125
"""Share of the budget that one round of evictions frees beyond what is needed, so that
a flood does not search all holders for each of its requests."""

MIN_ROOM_SHARE = 0.125
"""Share of the budget that stays available whatever the resident memory is, so that
ordinary requests are served while the allocator keeps free memory."""


DESCRIPTOR_ORDER = (Phase.REFUSED, Phase.HEAD, Phase.BODY, Phase.IDLE, Phase.ANSWER)
"""Order of phases in which connections are closed for their descriptors, the oldest of
a phase first.  Idle ones come late: their callers may be about to send."""

MEMORY_ORDER = (Phase.REFUSED, Phase.HEAD, Phase.BODY, Phase.ANSWER)
"""Phases of the connections that are closed for their memory."""


class Account:
    """Memory and descriptors that the connections of a process hold.

    Parameters
    ----------
    limits : IntakeLimits
        Limits of the process.
    clock : Clock
        The process's clock.
    on_evicted : callable
        Called with the kind, the phase and the cause of each eviction.

    Attributes
    ----------
    held : int
        Bytes that are charged, without the connections themselves.
    budget : float
        Bytes that may be held now; at most that of the limits.
    running : int
        Callers' requests in work, each of which may have a connection to an endpoint.
    counts : dict
        Open connections, by kind.
    queues : dict
        Holders by kind and phase, in the order in which they entered it.
    relief_due : callable
        Called once when more is held than may be; it has `relieve` called soon.
    """

    __slots__ = (
        "limits",
        "clock",
        "on_evicted",
        "held",
        "budget",
        "running",
        "counts",
        "queues",
        "relief_due",
        "is_relief_due",
    )

    def __init__(
        self,
        *,
        limits: IntakeLimits,
        clock: Clock,
        on_evicted: Callable[[Kind, Phase, str], None] = lambda *_: None,
    ):
        self.limits = limits
        self.clock = clock
        self.on_evicted = on_evicted
        self.held = 0
        self.budget = limits.budget
        self.running = 0
        self.counts = dict.fromkeys(Kind, 0)
        self.queues: dict[Kind, dict[Phase, OrderedDict[Holder, None]]] = {
            kind: {phase: OrderedDict() for phase in Phase} for kind in Kind
        }
        self.relief_due: Callable[[], None] = lambda: None
        self.is_relief_due = False

    @property
    def connections(self) -> int:
        """Number of open connections of all kinds."""
        return sum(self.counts.values())

    def set_limits(self, limits: IntakeLimits) -> None:
        """Replace the limits; what is held beyond them is evicted soon."""
        self.limits = limits
        self.budget = limits.budget
        self.add(0)

    def receive_buffer(self) -> int:
        """Return the size of a new connection's receive buffer, in bytes."""
        usual = unread_capacity(USUAL_BUFFER_BYTES)
        is_crowded = self.connections * usual > self.limits.receive_room
        return SMALL_BUFFER_BYTES if is_crowded else USUAL_BUFFER_BYTES

    def send_buffer(self) -> int:
        """Return the size of the receive buffer of a new send, in bytes."""
        usual = unread_capacity(SERVER_BUFFER_BYTES)
        is_crowded = self.running * usual > self.limits.receive_room
        return SMALL_BUFFER_BYTES if is_crowded else SERVER_BUFFER_BYTES

    def open(
        self,
        kind: Kind,
        evict: Callable[[Phase], None],
        count_unread: Callable[[], int] = lambda: 0,
    ) -> Holder | None:
        """Admit a connection, evicting an older one if necessary.

        Returns
        -------
        Holder or None
            The account of the connection; None if it must be closed at once.
        """
        cap = {
            Kind.PEER: self.limits.peers,
            Kind.READINESS: self.limits.readiness,
            Kind.METRICS: self.limits.metrics,
            Kind.OPERATOR: self.limits.readiness,
        }.get(kind, float("inf"))
        if self.counts[kind] >= cap and not self._evict_oldest((kind,)):
            return None
        if self._used_sockets() >= self.limits.sockets and not self._evict_oldest(
            (Kind.CALLER, kind)
        ):
            return None
        holder = Holder(account=self, kind=kind, evict=evict, count_unread=count_unread)
        self.counts[kind] += 1
        self.queues[kind][Phase.HEAD][holder] = None
        self.add(CONNECTION_BYTES)
        return holder

    def begin_run(self, holder: Holder) -> bool:
        """Begin to handle a request, which may open a connection to an endpoint.

        Returns
        -------
        bool
            Whether a descriptor is left for it; if not, refuse the request.
        """
        holder.enter(Phase.RUNNING)
        if self._used_sockets() >= self.limits.sockets and not self._evict_oldest(
            (Kind.CALLER,)
        ):
            return False
        holder.is_running = True
        holder.charge(RUN_BYTES)
        self.running += 1
        return True

    def remove(self, holder: Holder) -> None:
        """Remove a closed connection."""
        self.queues[holder.kind][holder.phase].pop(holder, None)
        self.counts[holder.kind] -= 1
        self.add(-CONNECTION_BYTES)

    def add(self, count: int) -> None:
        """Add to the bytes that are held."""
        self.held += count
        if self.held > self.budget and not self.is_relief_due:
            self.is_relief_due = True
            self.relief_due()

    def make_room(self, holder: Holder, count: int) -> bool:
        """Return whether bytes may be charged, after evictions if necessary.

        Large requests find less room than others.  One request is admitted whatever
        its size if nothing else of any size is held.
        """
        is_large = holder.charged + count > LARGE_BYTES
        budget = self.budget * (LARGE_SHARE if is_large else 1)
        if self.held + count <= budget:
            return True
        self._free(self.held + count - budget, sparing=holder)
        if self.held + count <= budget:
            return True
        own = CONNECTION_BYTES * self.connections + holder.buffered + holder.charged
        return self.held - own < LARGE_BYTES and count <= self.limits.budget

    def relieve(self) -> None:
        """Evict the largest and slowest holders if more is held than may be."""
        self.is_relief_due = False
        if self.held > self.budget:
            self._free(self.held - self.budget)

    def adjust(self, resident_bytes: int) -> None:
        """Adjust the budget to the measured memory of the process.

        Bytes that the process has not read count as well.

        Parameters
        ----------
        resident_bytes : int
            Resident memory of the process.
        """
        limits = self.limits
        room = max(
            limits.high_water - resident_bytes - self._measure_unread(resident_bytes),
            limits.budget * MIN_ROOM_SHARE - self.held,
        )
        self.budget = min(limits.budget, self.held + room)
        self.add(0)

    def _measure_unread(self, resident_bytes: int) -> int:
        """Return how many bytes wait to be read; 0 if they can't exceed the limit.

        The measurement takes a system call for each connection.
        """
        most = self.connections * unread_capacity(USUAL_BUFFER_BYTES)
        if resident_bytes + most <= self.limits.high_water:
            return 0
        total = 0
        for queues in self.queues.values():
            for holder in itertools.chain.from_iterable(queues.values()):
                holder.unread = holder.count_unread()
                total += holder.unread
        return total

    def _used_sockets(self) -> int:
        return self.connections + self.running

    def _evict_oldest(self, kinds: tuple[Kind, ...]) -> bool:
        """Evict the connection of some kinds that has done nothing for longest."""
        for phase in DESCRIPTOR_ORDER:
            for kind in kinds:
                queue = self.queues[kind][phase]
                if queue:
                    self._evict(next(iter(queue)), "descriptors")
                    return True
        return False

    def _free(self, count: float, sparing: Holder | None = None) -> None:
        """Evict the holders of most bytes times seconds, until enough is free."""
        now = self.clock()
        candidates = [one for one in self._memory_holders() if one is not sparing]
        candidates.sort(key=lambda one: _weight(one, now), reverse=True)
        aim = self.held - count - self.limits.budget * RELIEF_SHARE
        for holder in candidates:
            if self.held <= aim:
                return
            self._evict(holder, "memory")

    def _memory_holders(self) -> Iterator[Holder]:
        for queues in self.queues.values():
            for phase in MEMORY_ORDER:
                yield from queues[phase]

    def _evict(self, holder: Holder, cause: str) -> None:
        phase = holder.phase
        holder.close()
        self.on_evicted(holder.kind, phase, cause)
        holder.evict(phase)


def _weight(holder: Holder, now: datetime) -> float:
    """Return the bytes that a connection holds, times the time for which it has."""
    size = CONNECTION_BYTES + holder.charged + holder.buffered + holder.unread
    return size * (now - holder.since).total_seconds()


def unlimited_account(clock: Clock) -> Account:
    """Return an account that admits everything, for a host that names no limits."""
    limits = derive_limits(memory_mb=None, max_fds=None, resident_bytes=0)
    return Account(limits=limits, clock=clock)
