"""Simulation of large changes over links of limited width, in virtual time."""

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok
from tornado.iostream import StreamClosedError

from features.freshness.play import (
    FIRST_REVISION,
    Load,
    MemoryStream,
    SimulatedGateway,
    join_ends,
)
from features.support.virtual_time import VirtualTimeLoop
from zinniaramp.reads import LARGE_ANSWER_BYTES, ReadError, Transfer
from zinniaramp.registry import Item, ReadBarrier, Snapshot, Source, StoreRevision

CONFIGURATION = "op/config"
ENDPOINTS = "servers/"
PIECE_BYTES = 16 * 1024
"""Bytes that pass a link at once, between those of other connections."""

ANSWER_BYTES = 100
"""Bytes of an answer, and of each item in it, beside the values."""

BASE64_RATIO = 4 / 3
DECODING_SECONDS = 0.15
"""Time in which a large configuration is decoded, in parts."""

MEGABIT = 1_000_000 / 8
STORE_SECONDS = 0.004
PEER_SECONDS = 0.001


@dataclass(slots=True, kw_only=True)
class LinkLoad:
    """What a simulation plays.  Times are in seconds, rates in Mbit/s.

    Parameters
    ----------
    gateways, wide : int
        Number of gateways, and how many of them have a wide link.
    wide_rate, narrow_rate : float
        Rates of the links.
    large : tuple of float
        Times at which the store has a large configuration.
    small : tuple of float
        Times at which an endpoint's entry changes.
    routes : int
        Routes in a large configuration.
    barriers : tuple of float
        Times at which each gateway waits for the read barrier.
    breaks_watches : bool
        Whether the last bytes of each large answer to a watch are lost, so that all
        items are read instead.
    cut_off : int
        Number of gateways, with narrow links, that do not reach the store from
        second `cut_at` on.
    seconds, seed : float, int
        Length of the play, and seed of the gateways' jitter.
    """

    gateways: int
    wide: int
    wide_rate: float = 100
    narrow_rate: float = 5
    large: tuple[float, ...] = ()
    small: tuple[float, ...] = ()
    routes: int = 1700
    barriers: tuple[float, ...] = ()
    breaks_watches: bool = False
    cut_off: int = 0
    cut_at: float = 5.0
    seconds: float = 20.0
    seed: int = 1


@dataclass(slots=True, kw_only=True)
class LinkReport:
    """What a simulation has shown.

    Parameters
    ----------
    delays : dict of list of float
        Time from each change until each gateway had it, by the time of the change.
    copy_seconds : list of float
        Time that one copy of a large change takes on the link of each gateway.
    copies : list of float
        Bytes that each gateway received, in copies of a large change.
    barriers : list of tuple
        For each wait, whether the gateway counted as current, and then whether it had
        the endpoints' entries that the store had at its begin.
    """

    delays: dict[float, list[float]] = field(default_factory=dict)
    copy_seconds: list[float] = field(default_factory=list)
    copies: list[float] = field(default_factory=list)
    barriers: list[tuple[bool, bool]] = field(default_factory=list)


def make_configuration(routes, seed):
    """Return a configuration document with some number of routes."""
    random = Random(seed)
    names = [f"{random.getrandbits(40):x}" for _ in range(routes)]
    return json.dumps(
        [
            {
                "name": name,
                "hostname": f"{name[:5]}.example",
                "prefix": f"/{name[5:]}/",
                "service": f"service-{random.randrange(3)}",
                "route_type": "streaming",
                "timeout_ms": 12000,
                "target_latency_ms": 2000,
                "target_gap_ms": 600,
                "max_attempts": 1,
                "priority": 2,
                "sticky": True,
                "resumable": False,
                "public": False,
            }
            for name in names
        ]
    ).encode()


class Link:
    """One direction of a link; pieces pass it one after the other."""

    def __init__(self, loop, megabits):
        self.loop = loop
        self.rate = megabits * MEGABIT
        self.free_at = 0.0
        self.carried = 0

    def carry(self, size):
        """Queue a piece, and return the seconds until it has passed."""
        self.carried += size
        self.free_at = max(self.free_at, self.loop.seconds) + size / self.rate
        return self.free_at - self.loop.seconds


class LinkStream(MemoryStream):
    """One end of a connection over the links of two gateways."""

    def __init__(self, loop, near, far):
        super().__init__(loop, PEER_SECONDS)
        self.links = near.up, far.down
        self.turn = asyncio.Lock()

    async def write(self, data):
        """Send bytes in pieces; return once the links have carried them."""
        async with self.turn:
            for start in range(0, len(data), PIECE_BYTES):
                piece = data[start : start + PIECE_BYTES]
                await asyncio.sleep(max(link.carry(len(piece)) for link in self.links))
                self.loop.call_later(self.delay, self.other.receive, piece)


@dataclass(slots=True, kw_only=True)
class Host:
    """Links of a gateway's host."""

    up: Link
    down: Link
    number: int


class LinkStore:
    """The store, whose answers take the time that their bytes need on the link."""

    def __init__(self, load, loop, hosts):
        self.load = load
        self.loop = loop
        self.hosts = hosts
        self.changes = []
        self.changed = asyncio.Event()

    def add(self, key, value):
        """Store the next change and return its revision."""
        number = FIRST_REVISION + len(self.changes) + 1
        self.changes.append(Item(key=key, revision=number, value=value))
        self.changed.set()
        self.changed = asyncio.Event()
        return number

    @property
    def revision(self):
        """The store's revision."""
        return StoreRevision(era=0, number=FIRST_REVISION + len(self.changes))

    def make_source(self, number):
        """Return the calls of one gateway."""
        host = self.hosts[number]
        transfer = Transfer(clock=self.loop.clock)

        async def read_all():
            latest = {item.key: item for item in self.changes}
            return await self._deliver(host, transfer, latest.values(), True)

        async def watch(after, wait):
            await self._wait(after, wait, "")
            changes = [one for one in self.changes if one.revision > after.number]
            delivered = await self._deliver(host, transfer, changes, False)
            is_large = answer_bytes(changes) >= LARGE_ANSWER_BYTES
            if is_large and self.load.breaks_watches:
                return Err(ReadError("connection closed", has_begun=True))
            return delivered

        async def read_endpoint_changes(after):
            newer = (one for one in self.changes if one.revision > after.number)
            changes = [one for one in newer if one.key.startswith(ENDPOINTS)]
            own = Transfer(clock=self.loop.clock)
            return await self._deliver(host, own, changes, False)

        async def watch_endpoints(after, wait):
            await self._wait(after, wait, ENDPOINTS)
            return await read_endpoint_changes(after)

        async def read_revision():
            await self._reach(host)
            await asyncio.sleep(STORE_SECONDS + host.down.carry(ANSWER_BYTES))
            return Ok(self.revision)

        async def read_history():
            raise NotImplementedError

        return Source(
            read_all=read_all,
            watch=watch,
            read_revision=read_revision,
            read_history=read_history,
            watch_endpoints=watch_endpoints,
            read_endpoint_changes=read_endpoint_changes,
            transfer=transfer,
        )

    async def _reach(self, host):
        """Wait for ever if the gateway is cut off."""
        is_last = host.number >= self.load.gateways - self.load.cut_off
        if is_last and self.loop.seconds >= self.load.cut_at:
            await asyncio.Event().wait()

    async def _wait(self, after, wait, prefix):
        def has_changes():
            newer = (one for one in self.changes if one.revision > after.number)
            return any(one.key.startswith(prefix) for one in newer)

        with suppress(TimeoutError):
            async with asyncio.timeout(wait.total_seconds()):
                while not has_changes():
                    await self.changed.wait()

    async def _deliver(self, host, transfer, items, is_complete):
        await self._reach(host)
        snapshot = Snapshot(
            revision=self.revision, items=tuple(items), is_complete=is_complete
        )
        transfer.start()
        try:
            await asyncio.sleep(STORE_SECONDS)
            size = answer_bytes(items)
            transfer.record_header(f"Content-Length: {size}")
            for start in range(0, size, PIECE_BYTES):
                piece = bytes(min(PIECE_BYTES, size - start))
                await asyncio.sleep(host.down.carry(len(piece)))
                if held := transfer.record_bytes(piece):
                    await held
        finally:
            transfer.finish()
        return Ok(snapshot)


async def decode_in_parts(snapshot):
    """Take the time that the decoding of a snapshot's large items takes."""
    if any(item.key == CONFIGURATION for item in snapshot.items):
        await asyncio.sleep(DECODING_SECONDS)


def answer_bytes(items):
    """Return the size of an answer of the store."""
    values = sum(len(item.value) for item in items)
    return int(values * BASE64_RATIO) + ANSWER_BYTES * (1 + len(items))


def play(load):
    """Play a load and return the report."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(_play(load, loop))
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()


async def _play(load, loop):
    hosts = []
    for number in range(load.gateways):
        rate = load.wide_rate if number < load.wide else load.narrow_rate
        up, down = Link(loop, rate), Link(loop, rate)
        hosts.append(Host(up=up, down=down, number=number))
    store = LinkStore(load, loop, hosts)
    seeded = Load(seed=load.seed)
    gateways = [
        SimulatedGateway(
            number=host.number,
            store=store,
            loop=loop,
            load=seeded,
            link_mbps=host.down.rate / MEGABIT,
        )
        for host in hosts
    ]
    for gateway in gateways:
        gateway.registry.prepare_items = decode_in_parts
    work = [one.follower.run() for one in gateways]
    work += [one.checker.run() for one in gateways]
    connected = {str(one.mesh.own_address): None for one in gateways}
    for near, host in zip(gateways, hosts, strict=True):
        near.mesh.connect_tasks.update(connected)
        for far, other in zip(gateways, hosts, strict=True):
            if far is not near:
                ends = LinkStream(loop, host, other), LinkStream(loop, other, host)
                work += join_ends(near, far, ends)
    report = LinkReport()
    work.append(_change(load, loop, store, gateways, report))
    for at in load.barriers:
        work += [_wait_for_barrier(one, store, loop, at, report) for one in gateways]
    tasks = [asyncio.create_task(one) for one in work]
    await asyncio.sleep(load.seconds)
    for task in tasks:
        task.cancel()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    for error in ended:
        if isinstance(error, Exception) and not isinstance(error, StreamClosedError):
            raise error
    size = answer_bytes([one for one in store.changes if one.key == CONFIGURATION][:1])
    report.copy_seconds = [size / host.down.rate for host in hosts]
    report.copies = [host.down.carried / size for host in hosts]
    return report


async def _change(load, loop, store, gateways, report):
    """Make the changes and measure when each gateway has them."""
    awaited = []
    for number, gateway in enumerate(gateways):
        gateway.registry.on_change.append(
            _make_listener(gateway.registry.cache, number, awaited, loop, report)
        )
    for at in sorted(load.large + load.small):
        await asyncio.sleep(at - loop.seconds)
        report.delays[at] = [float("inf")] * len(gateways)
        if at in load.large:
            key, value = CONFIGURATION, make_configuration(load.routes, at)
        else:
            key, value = f"{ENDPOINTS}{at}", b"x" * 200
        awaited.append((at, key, store.add(key, value)))


async def _wait_for_barrier(gateway, store, loop, at, report):
    """Wait for the read barrier, and record what the gateway knows then."""
    await asyncio.sleep(at)
    entries = [item for item in store.changes if item.key.startswith(ENDPOINTS)]
    barrier = ReadBarrier(
        cache=gateway.registry.cache,
        read_revision=gateway.follower.read_revision,
        large_answers=gateway.follower.large_answers,
    )
    is_current = await barrier.wait()
    known = gateway.registry.cache.items
    report.barriers.append((is_current, all(one.key in known for one in entries)))


def _make_listener(cache, number, awaited, loop, report):
    def record():
        for at, key, revision in awaited:
            item, delays = cache.items.get(key), report.delays[at]
            is_known = item is not None and item.revision >= revision
            if is_known and delays[number] == float("inf"):
                delays[number] = loop.seconds - at

    return record
