"""Play of streams that break off and are resumed while software versions change."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from features.resumption.world import (
    SERVICE,
    Connections,
    SimulatedEngine,
    SimulatedGateway,
    SimulatedStore,
    read_cached,
)
from features.support.virtual_time import VirtualTimeLoop
from zinniaramp.gateway.matching import MatchedRequest
from zinniaramp.gateway.messages import RequestMetadata
from zinniaramp.gateway.resumption import origin_key
from zinniaramp.placement import Demand, PromptSegment
from zinniaramp.routes import (
    ClientLimits,
    Configuration,
    RetryPolicy,
    Route,
    ServiceShare,
    Workspace,
)

ROUTE_TIMEOUT_SECONDS = 6.0
"""Timeout of the route; a caller waits as long in all."""

EVENT_SECONDS = 0.1
STREAM_EVENTS = (3, 25)
"""Fewest and most events of a stream."""

PREFILL_SECONDS = (0.02, 0.3)
"""Shortest and longest time to the first event."""

CONNECT_SECONDS = (0.02, 0.6)
"""Time after its start in which a gateway is connected to another one."""

LEASE_SECONDS = 3.6
"""Time after a crash in which the store removes the entry of an engine."""

DRAIN_SECONDS = 2.0
"""Time for which an engine serves on after it has reported that it leaves."""

MAX_TRIES = 4
RETRY_SECONDS = (0.0, 0.15)
"""Wait of a caller after a broken connection."""

REFUSED_SECONDS = 0.5
"""Wait of a caller that was refused."""

ROUTE = Route(
    name="talk",
    host="films.example",
    prefix="/talk/",
    shares=(ServiceShare(service=SERVICE, weight=1),),
    repeat=RetryPolicy.RESUME,
    streams=True,
    timeout=timedelta(seconds=ROUTE_TIMEOUT_SECONDS),
    target=timedelta(seconds=1),
    gap_target=timedelta(seconds=1),
    max_attempts=2,
    priority=0,
    public=False,
)
WORKSPACE = Workspace(name="workshop", priority=None)
CONFIGURATION = Configuration(
    version=1,
    routes={ROUTE.host: (ROUTE,)},
    services={},
    workspaces={},
    needs_key=False,
    limits=ClientLimits(
        header_bytes=1, body_bytes=1, idle_timeout=timedelta(seconds=1)
    ),
)


@dataclass(slots=True, kw_only=True)
class Load:
    """What a simulation plays.  Times are in seconds.

    Parameters
    ----------
    gateways : int
        Number of gateways.
    versions : tuple of str
        Software versions of the engines at the start.
    lists_segments : bool
        Whether the engines list the segments in their KV caches.
    rate : float
        New streams per second.
    seconds : float
        Time in which streams begin; callers finish after it.
    faults : tuple
        Time of each fault and the function that plays it.
    names_origin : callable
        Returns what a caller states in its request, from the ids of its first attempt
        and of the one before.
    """

    gateways: int = 5
    versions: tuple[str, ...] = ("v1", "v1", "v1", "v1.1", "v1.1", "v1.1")
    lists_segments: bool = False
    rate: float = 25.0
    seconds: float = 14.0
    faults: tuple[tuple[float, Callable], ...] = ()
    names_origin: Callable[[str, str], str | None] = lambda first, _before: first


@dataclass(slots=True, kw_only=True)
class Report:
    """What callers have seen.

    Parameters
    ----------
    begun, asked : int
        Number of new streams that began, and of requests for new streams.
    joined : int
        Streams with events of several software versions.
    resumed, refused : Counter
        Streams that were resumed and that were refused, by how their origin was known.
    lost : int
        Refused ones whose version served, though a gateway within reach knew it.
    """

    begun: int = 0
    asked: int = 0
    joined: int = 0
    resumed: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    lost: int = 0

    @property
    def share(self):
        """Share of the streams taken up that went on."""
        tried = self.resumed.total() + self.refused.total()
        return self.resumed.total() / tried if tried else 1.0


@dataclass(slots=True, kw_only=True)
class CallerStream:
    """What a caller has of its stream.

    Parameters
    ----------
    name : str
        Name of the stream; its own prompt segment has it too.
    length : int
        Number of events of the complete stream.
    first, before : str
        Ids of the attempt that brought the first event, and of the last one.
    events : int
        Number of events that the caller has.
    versions : set of str
        Software versions that wrote them.
    """

    name: str
    length: int
    first: str = ""
    before: str = ""
    events: int = 0
    versions: set[str] = field(default_factory=set)


class RefusedError(Exception):
    """The gateway refuses a request that has not run."""


class BrokenError(Exception):
    """The connection broke off."""


class Play:
    """A running simulation."""

    def __init__(self, load, seed, loop):
        self.load = load
        self.loop = loop
        self.random = Random(seed)
        self.report = Report()
        self.store = SimulatedStore(loop)
        self.engines = []
        self.gateways = []
        self.connections = Connections(loop)
        self.serving = {}
        self.background = []
        self.is_partitioned = False
        self.ports = iter(range(1000, 60_000))

    def read_cached_segments(self, address):
        """Return the segments in the KV cache of an engine."""
        engines = self.engines if self.load.lists_segments else ()
        return read_cached(engines, address)

    def spawn(self, coroutine):
        """Run a coroutine beside the others."""
        task = asyncio.create_task(coroutine)
        self.background.append(task)
        return task

    def start_engine(self, version, key=None):
        """Start an engine and write its entry."""
        port = next(self.ports)
        engine = SimulatedEngine(
            key=key or f"servers/i-{port}", port=port, version=version, born=port
        )
        self.engines.append(engine)
        self.store.write(engine.key, engine.entry("ready"))
        return engine

    def start_gateway(self, number):
        """Start a gateway, which is connected to the others a little later."""
        gateway = SimulatedGateway(number=number, play=self)
        others = [str(one.mesh.own_address) for one in self.gateways]
        gateway.mesh.untried.update(others)
        self.gateways.append(gateway)
        self.spawn(self._connect(gateway))

    async def _connect(self, gateway):
        for other in tuple(self.gateways):
            if other is gateway:
                continue
            await asyncio.sleep(
                self.random.uniform(*CONNECT_SECONDS) / len(self.gateways)
            )
            if gateway.is_up and other.is_up and not self.is_partitioned:
                self.connections.open(gateway, other)
                self.connections.open(other, gateway)

    async def run(self):
        """Play the load and return the report."""
        for version in self.load.versions:
            self.start_engine(version)
        for number in range(self.load.gateways):
            self.start_gateway(number)
        await asyncio.sleep(1.0)
        began_at = self.loop.seconds
        for at, fault in self.load.faults:
            self.spawn(self._after(at, fault))
        callers = []
        while self.loop.seconds - began_at < self.load.seconds:
            callers.append(asyncio.create_task(self._call(len(callers))))
            await asyncio.sleep(self.random.expovariate(self.load.rate))
        await asyncio.gather(*callers)
        await self.connections.cut(lambda _near, _far: True)
        for gateway in self.gateways:
            gateway.kill()
        for task in self.background:
            task.cancel()
        ended = await asyncio.gather(*self.background, return_exceptions=True)
        for error in ended:
            if isinstance(error, Exception):
                raise error
        return self.report

    async def _after(self, at, fault):
        await asyncio.sleep(at)
        await fault(self)

    async def _call(self, number):
        """Act as a caller until its stream is complete or it gives up."""
        stream = CallerStream(
            name=f"s{number}", length=self.random.randint(*STREAM_EVENTS)
        )
        give_up_at = self.loop.seconds + ROUTE_TIMEOUT_SECONDS
        self.report.asked += 1
        for attempt in range(MAX_TRIES):
            gateway = await self._pick_gateway(give_up_at)
            if gateway is None:
                break
            request_id = f"{stream.name}.{attempt}"
            try:
                await self._send(gateway, stream, request_id)
                break
            except RefusedError:
                await asyncio.sleep(REFUSED_SECONDS)
            except BrokenError:
                await asyncio.sleep(self.random.uniform(*RETRY_SECONDS))
            stream.before = request_id
        self.report.begun += stream.events > 0
        self.report.joined += len(stream.versions) > 1

    async def _pick_gateway(self, give_up_at):
        while self.loop.seconds < give_up_at:
            up = [one for one in self.gateways if one.is_up]
            if up:
                return self.random.choice(up)
            await asyncio.sleep(0.05)
        return None

    async def _send(self, gateway, stream, request_id):
        task = gateway.start(self._serve(gateway, stream, request_id))
        self.serving[task] = None
        task.add_done_callback(self.serving.pop)
        await asyncio.wait([task])
        if task.cancelled():
            raise BrokenError
        task.result()

    def _match(self, stream, request_id):
        is_resumed = stream.events > 0
        resumes = None
        if is_resumed:
            resumes = self.load.names_origin(stream.first, stream.before)
        own = PromptSegment(name=stream.name, tokens=1)
        demand = Demand(
            prompt_tokens=1, output_limit=1, output_estimate=1, parts=(own,)
        )
        metadata = RequestMetadata(
            id=request_id,
            host=ROUTE.host,
            key="",
            time_left=None,
            last_event_id=str(stream.events) if is_resumed else None,
            resumes=resumes,
            demand=demand if self.load.lists_segments else None,
        )
        return MatchedRequest(
            metadata=metadata,
            configuration=CONFIGURATION,
            route=ROUTE,
            workspace=WORKSPACE,
            service=SERVICE,
            deadline=self.loop.clock(),
            fingerprint="",
        )

    async def _serve(self, gateway, stream, request_id):
        """Act as a gateway that has received a request, and as the engine."""
        await gateway.awake.wait()
        matched = self._match(stream, request_id)
        version = None
        if matched.is_resumed:
            version = await self._find_version(gateway, matched, stream)
        engine = self._pick_engine(gateway, version)
        await asyncio.sleep(self.random.uniform(*PREFILL_SECONDS))
        has_begun = False
        while stream.events < stream.length:
            if not engine.is_up:
                if not has_begun:
                    raise BrokenError
                engine = self._pick_engine(gateway, version)
                await asyncio.sleep(self.random.uniform(*PREFILL_SECONDS))
                continue
            engine.cached.add(stream.name)
            if not has_begun:
                has_begun = True
                version = engine.version
                gateway.resumption.record_began(matched, version)
                stream.first = stream.first or request_id
            stream.events += 1
            stream.versions.add(engine.version)
            await asyncio.sleep(EVENT_SECONDS)

    async def _find_version(self, gateway, matched, stream):
        found = await gateway.resumption.find(matched)
        ready = gateway.registry.ready(SERVICE)
        versions = {endpoint.version for endpoint in ready}
        if found.origin is not None and found.origin.version in versions:
            self.report.resumed[found.known_by.value] += 1
            return found.origin.version
        self.report.refused[found.known_by.value] += 1
        self.report.lost += self._could_go_on(gateway, stream, versions)
        raise RefusedError

    def _could_go_on(self, gateway, stream, ready_versions):
        """Return whether a stream's version serves and a gateway in reach knows it."""
        if not stream.versions <= ready_versions:
            return False
        key = origin_key(WORKSPACE.name, stream.first)
        reached = [far for near, far in self.connections.tasks if near is gateway]
        return any(one.resumption.find_known(key) for one in (gateway, *reached))

    def _pick_engine(self, gateway, version):
        ready = [
            endpoint
            for endpoint in gateway.registry.ready(SERVICE)
            if version in (None, endpoint.version)
        ]
        by_port = {engine.port: engine for engine in self.engines if engine.is_up}
        up = [by_port[one.address.port] for one in ready if one.address.port in by_port]
        if not up:
            raise BrokenError
        return self.random.choice(up)


def kill_gateways(count, away=1.0):
    """Return a fault that kills gateways, which start again after some time."""

    async def kill(play):
        up = [one for one in play.gateways if one.is_up]
        killed = play.random.sample(up, min(count, len(up)))
        for gateway in killed:
            gateway.kill()
            play.gateways.remove(gateway)
        await play.connections.cut(lambda near, far: near in killed or far in killed)
        await asyncio.sleep(away)
        for gateway in killed:
            play.start_gateway(gateway.number)

    return kill


def cut_callers(share):
    """Return a fault that breaks a share of the streams in progress."""

    async def cut(play):
        for task in tuple(play.serving):
            if play.random.random() < share:
                task.cancel()

    return cut


def crash_engines(count, version=None, away=2.0):
    """Return a fault that crashes engines; others of their versions start later."""

    async def crash(play):
        up = [one for one in play.engines if one.is_up]
        up = [one for one in up if version in (None, one.version)]
        crashed = play.random.sample(up, min(count, len(up)))
        for engine in crashed:
            engine.is_up = False
        await asyncio.sleep(away)
        for engine in crashed:
            play.start_engine(engine.version)
        await asyncio.sleep(max(0.0, LEASE_SECONDS - away))
        for engine in crashed:
            play.store.write(engine.key, None)

    return crash


def replace_engines(version, count, drain=DRAIN_SECONDS):
    """Return a fault that replaces the oldest engines by some of another version."""

    async def replace(play):
        up = [one for one in play.engines if one.is_up and one.version != version]
        for engine in up[:count]:
            play.start_engine(version)
            play.store.write(engine.key, engine.entry("leaving"))
        await asyncio.sleep(drain)
        for engine in up[:count]:
            engine.is_up = False
            play.store.write(engine.key, None)

    return replace


def change_store(change):
    """Return a fault that changes the store by a function."""

    async def fault(play):
        change(play.store)

    return fault


def take_store_away(seconds):
    """Return a fault that leaves all calls to the store unanswered for some time."""

    async def fault(play):
        play.store.is_away = True
        await asyncio.sleep(seconds)
        play.store.is_away = False
        play.store.changed.set()
        play.store.changed = asyncio.Event()

    return fault


def partition_gateways(seconds):
    """Return a fault that cuts the gateways off from each other for some time."""

    async def partition(play):
        play.is_partitioned = True
        await play.connections.cut(lambda _near, _far: True)
        await asyncio.sleep(seconds)
        play.is_partitioned = False
        for near in tuple(play.gateways):
            for far in tuple(play.gateways):
                if near is not far:
                    play.connections.open(near, far)

    return partition


def isolate_gateway(seconds):
    """Return a fault that cuts one gateway off from the others and the store."""

    async def isolate(play):
        gateway = play.gateways[0]
        source = gateway.follower.source
        gateway.follower.source = play.store.make_source(
            gateway.awake, is_cut=lambda: True
        )
        if gateway.follower.watch is not None:
            gateway.follower.watch.cancel()
        await play.connections.cut(lambda near, far: gateway in (near, far))
        await asyncio.sleep(seconds)
        gateway.follower.source = source
        for other in play.gateways:
            if other is not gateway and gateway.is_up:
                play.connections.open(gateway, other)
                play.connections.open(other, gateway)

    return isolate


def hold_gateway(seconds):
    """Return a fault that makes one gateway stand still for some time.

    Its peers close their connections to it when it goes on, as they do after a while.
    """

    async def hold(play):
        gateway = play.gateways[0]
        gateway.awake.clear()
        await asyncio.sleep(seconds)
        await play.connections.cut(lambda near, far: gateway in (near, far))
        gateway.awake.set()
        await asyncio.sleep(CONNECT_SECONDS[1])
        for other in play.gateways:
            if other is not gateway and gateway.is_up:
                play.connections.open(gateway, other)
                play.connections.open(other, gateway)

    return hold


def write_entries(seconds, interval=0.1):
    """Return a fault in which the engines write their entries for some time."""

    async def write(play):
        end = play.loop.seconds + seconds
        while play.loop.seconds < end:
            await asyncio.sleep(interval)
            engine = play.random.choice([one for one in play.engines if one.is_up])
            if engine.key in play.store.items:
                play.store.write(engine.key, engine.entry("ready"))

    return write


def add_engines(version, count):
    """Return a fault that starts engines of a version beside the others."""

    async def add(play):
        for _ in range(count):
            play.start_engine(version)

    return add


def remove_engines(version):
    """Return a fault that ends all engines of a version, and their entries."""

    async def remove(play):
        for engine in play.engines:
            if engine.is_up and engine.version == version:
                engine.is_up = False
                play.store.write(engine.key, None)

    return remove


def repeat(fault, every, start, end):
    """Return the times of a fault that is repeated."""
    count = int((end - start) / every) + 1
    return tuple((start + number * every, fault) for number in range(count))


def play(load, seed):
    """Play a load with a seed and return the report."""
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run(load, seed, loop))
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()


async def _run(load, seed, loop):
    return await Play(load, seed, loop).run()
