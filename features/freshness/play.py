"""Simulation of a load on the store and on the gateways' mesh, in virtual time."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from result import Err, Ok
from tornado.iostream import StreamClosedError

from features.support.virtual_time import VirtualTimeLoop
from zinniaramp.peers import PeerMesh
from zinniaramp.platform.store import RANGE_TIMEOUT, REVISION_TIMEOUT, WATCH_MARGIN
from zinniaramp.reads import ReadError
from zinniaramp.registry import (
    Item,
    Registry,
    RevisionChecker,
    Snapshot,
    Source,
    StoreFollower,
    StoreRevision,
)
from zinniaramp.sockets import Address

FIRST_REVISION = 100
PEER_PORT = 8000


SLOW_SECONDS = 0.12
"""Time by which a slow store delays a call and its answer, each."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Outage:
    """Time from `start` to `end`, in seconds, in which the store is disturbed.

    Parameters
    ----------
    start, end : float
        The time.
    kind : str
        ``silent``: it neither takes calls nor delivers answers; ``refusing`` or
        ``slow``.
    gateways : frozenset of int or None
        Gateways to which this applies; None for all.
    """

    start: float
    end: float
    kind: str
    gateways: frozenset[int] | None = None


@dataclass(slots=True, kw_only=True)
class Load:
    """What a simulation plays.  Times are in seconds.

    Parameters
    ----------
    gateways : int
        Number of gateway processes.
    peers : int
        Number of others that each one is connected to.
    unanswered : int
        Number of gateways whose watches are left unanswered.
    unanswered_from, unanswered_to : float
        Watches that wait within this time are never answered.
    away_from, away_to : float
        The store is away in this time.
    refuses : bool
        Whether it refuses calls while it is away; by default it doesn't answer them.
    outages : tuple of Outage
        Further disturbances of the store.
    changes : tuple of float
        Times at which the store acknowledges a change.
    seconds : float
        Length of the play.
    store_latency, peer_latency : float
        Time from a call to its answer, half of it each way, and until a peer has a
        message.
    seed : int
        Seed of the gateways' jitter.
    """

    gateways: int = 5
    peers: int = 4
    unanswered: int = 0
    unanswered_from: float = 0.0
    unanswered_to: float = 0.0
    away_from: float = 0.0
    away_to: float = 0.0
    refuses: bool = False
    outages: tuple[Outage, ...] = ()
    changes: tuple[float, ...] = ()
    seconds: float = 30.0
    store_latency: float = 0.004
    peer_latency: float = 0.001
    seed: int = 1


@dataclass(slots=True, kw_only=True)
class Report:
    """What a simulation has shown.

    Parameters
    ----------
    delays : dict of list of float
        Time from each change until each gateway had it, by the time of the change;
        infinite if it never had it.
    calls : list of tuple
        Time and gateway of each call to the store.
    """

    delays: dict[float, list[float]] = field(default_factory=dict)
    calls: list[tuple[float, int]] = field(default_factory=list)

    def calls_per_second(self, start, end) -> float:
        """Return the rate of all gateways' calls between two times."""
        return sum(start <= at < end for at, _ in self.calls) / (end - start)


class SimulatedStore:
    """The store: a revision per change, and calls that may be left unanswered."""

    def __init__(self, load, loop, report):
        self.load = load
        self.loop = loop
        self.report = report
        self.number = FIRST_REVISION
        self.changed = asyncio.Event()

    def disturbance(self, gateway):
        """Return how the store is disturbed for a gateway now; empty if it is not."""
        load, now = self.load, self.loop.seconds
        if load.away_from <= now < load.away_to:
            return "refusing" if load.refuses else "silent"
        for outage in load.outages:
            is_affected = outage.gateways is None or gateway in outage.gateways
            if is_affected and outage.start <= now < outage.end:
                return outage.kind
        return ""

    def add_change(self):
        """Store the next change."""
        self.number += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def make_source(self, gateway):
        """Return the calls of one gateway."""

        async def read_all():
            return await self._call(gateway, RANGE_TIMEOUT, self._all_items)

        async def read_revision():
            return await self._call(gateway, REVISION_TIMEOUT, self._revision)

        async def watch(after, wait):
            async def answer():
                return await self._changes(gateway, after.number, wait)

            return await self._call(gateway, wait + WATCH_MARGIN, answer)

        async def read_history():
            return Err(ReadError("not simulated"))

        return Source(
            read_all=read_all,
            watch=watch,
            read_revision=read_revision,
            read_history=read_history,
        )

    async def _call(self, gateway, timeout, answer):
        self.report.calls.append((self.loop.seconds, gateway))
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                is_slow = self.disturbance(gateway) == "slow"
                latency = self.load.store_latency / 2 + SLOW_SECONDS * is_slow
                await asyncio.sleep(latency)
                disturbance = self.disturbance(gateway)
                if disturbance == "refusing":
                    return Err(ReadError("refused", status=503))
                if disturbance == "silent":
                    await asyncio.Event().wait()
                answered = await answer()
                if self.disturbance(gateway) == "silent":
                    await asyncio.Event().wait()
                await asyncio.sleep(latency)
                return Ok(answered)
        return Err(ReadError("timeout", status=599))

    async def _revision(self):
        return StoreRevision(era=0, number=self.number)

    async def _all_items(self):
        return self._snapshot(FIRST_REVISION, is_complete=True)

    async def _changes(self, gateway, after, wait):
        load, began_at = self.load, self.loop.seconds
        with suppress(TimeoutError):
            async with asyncio.timeout(wait.total_seconds()):
                while self.number <= after:
                    await self.changed.wait()
        is_affected = gateway < load.unanswered and began_at < load.unanswered_to
        if is_affected and self.loop.seconds >= load.unanswered_from:
            await asyncio.Event().wait()
        return self._snapshot(after, is_complete=False)

    def _snapshot(self, after, *, is_complete):
        items = tuple(
            Item(key=f"change/{number}", revision=number, value=b"")
            for number in range(after + 1, self.number + 1)
        )
        revision = StoreRevision(era=0, number=self.number)
        return Snapshot(revision=revision, items=items, is_complete=is_complete)


class MemoryStream:
    """One end of a connection whose bytes arrive after a delay."""

    def __init__(self, loop, delay):
        self.loop = loop
        self.delay = delay
        self.other = None
        self.received = bytearray()
        self.has_data = asyncio.Event()

    async def write(self, data):
        """Send bytes to the other end."""
        self.loop.call_later(self.delay, self.other.receive, data)

    def receive(self, data):
        """Accept bytes of the other end."""
        self.received += data
        self.has_data.set()

    async def read_bytes(self, _size, partial):
        """Return the received bytes, or wait for some."""
        assert partial
        await self.has_data.wait()
        self.has_data.clear()
        data = bytes(self.received)
        self.received.clear()
        return data

    def close(self):
        """Do nothing; the tasks of both ends are cancelled."""


class SimulatedGateway:
    """A gateway's registry, its reads of the store and its mesh."""

    def __init__(self, *, number, store, loop, load, link_mbps=None):
        random = Random(load.seed * 1000 + number)
        self.registry = Registry(
            decode=lambda _item: Ok(None),
            lapse_grace=timedelta(seconds=2),
            entry_lifetime=timedelta(seconds=3.6),
            clock=loop.clock,
        )
        self.follower = StoreFollower(
            source=store.make_source(number),
            registry=self.registry,
            clock=loop.clock,
            random=random,
            has_wider_peer=lambda: self.mesh.has_wider_peer(),
        )
        self.mesh = PeerMesh(
            own_address=Address(ip=f"10.0.{number // 250}.{number % 250}", port=8000),
            data_center="a",
            seeds=(),
            registry=self.registry,
            on_load_event=lambda _connection, _event: None,
            find_origin=lambda _: None,
            current_events=tuple,
            random=random,
            link_mbps=link_mbps,
        )
        self.registry.on_change.append(self.mesh.announce_revision)
        self.checker = RevisionChecker(
            follower=self.follower,
            freshness=self.registry.freshness,
            on_confirmed=self.mesh.announce_revision,
            clock=loop.clock,
            random=random,
        )


def connect(loop, delay, near, far):
    """Return the coroutines of a connection from one gateway to another."""
    ends = MemoryStream(loop, delay), MemoryStream(loop, delay)
    return join_ends(near, far, ends)


def join_ends(near, far, ends):
    """Return the coroutines of a connection between two gateways over two streams."""
    ends[0].other, ends[1].other = ends[1], ends[0]
    name = str(near.mesh.own_address)
    return (
        near.mesh._run_connection(str(far.mesh.own_address), ends[0]),
        far.mesh.server._read_messages(name, ends[1]),
    )


def play(load):
    """Play a load and return the report."""
    loop = VirtualTimeLoop()
    report = Report()
    try:
        loop.run_until_complete(_play(load, loop, report))
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
    return report


async def _play(load, loop, report):
    store = SimulatedStore(load, loop, report)
    gateways = [
        SimulatedGateway(number=number, store=store, loop=loop, load=load)
        for number in range(load.gateways)
    ]
    work = [gateway.follower.run() for gateway in gateways]
    work += [gateway.checker.run() for gateway in gateways]
    # A mesh opens no connection to an address for which it has a task.
    connected = {str(gateway.mesh.own_address): None for gateway in gateways}
    for number, gateway in enumerate(gateways):
        gateway.mesh.connect_tasks.update(connected)
        for step in range(1, load.peers + 1):
            far = gateways[(number + step) % load.gateways]
            work += connect(loop, load.peer_latency, gateway, far)
    work += [_change(load, loop, store, gateways, report)]
    tasks = [asyncio.create_task(one) for one in work]
    await asyncio.sleep(load.seconds)
    for task in tasks:
        task.cancel()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    for error in ended:
        if isinstance(error, Exception) and not isinstance(error, StreamClosedError):
            raise error


async def _change(load, loop, store, gateways, report):
    """Make the changes and measure when each gateway has them."""
    measured = []
    for at in load.changes:
        await asyncio.sleep(at - loop.seconds)
        store.add_change()
        delays = report.delays[at] = [float("inf")] * len(gateways)
        measured.append((at, store.number, delays))
        for number, gateway in enumerate(gateways):
            listener = _make_listener(gateway, measured, number, loop)
            if at == load.changes[0]:
                gateway.registry.on_change.append(listener)


def _make_listener(gateway, measured, number, loop):
    def record():
        known = gateway.registry.cache.revision.number
        for at, revision, delays in measured:
            if known >= revision and delays[number] == float("inf"):
                delays[number] = loop.seconds - at

    return record
