"""Store, engines and gateways of the simulation of resumed streams."""

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from result import Err, Ok
from tornado.iostream import StreamClosedError

from features.freshness.play import MemoryStream
from zinniaramp.gateway.resumption import StreamResumption
from zinniaramp.gateway.segment_search import SegmentSearch
from zinniaramp.peers import PeerMesh, StreamBegan
from zinniaramp.placement import PromptSegment
from zinniaramp.reads import ReadError
from zinniaramp.registry import (
    Endpoint,
    EndpointState,
    Item,
    ReadBarrier,
    Registry,
    RevisionChecker,
    Snapshot,
    Source,
    StoreFollower,
    StoreRevision,
)
from zinniaramp.registry.items import History
from zinniaramp.sockets import Address

SERVICE = "model"
STORE_SECONDS = 0.004
"""Time until the store or an engine answers a call."""

CALL_TIMEOUT_SECONDS = 1.0
PEER_SECONDS = 0.001
"""Time until a peer has a message."""

HISTORY_SECONDS = 20.0
"""Time for which the store keeps its changes."""


class SimulatedStore:
    """The entries of the engines, their history, and calls that may go unanswered."""

    def __init__(self, loop):
        self.loop = loop
        self.items = {}
        self.history = []
        self.number = 100
        self.compacted = 0
        self.era = 1
        self.is_away = False
        self.changed = asyncio.Event()

    @property
    def revision(self):
        """The revision of the latest change."""
        return StoreRevision(era=self.era, number=self.number)

    def write(self, key, document):
        """Write an entry, or remove it if the document is None."""
        self.number += 1
        value = None if document is None else json.dumps(document).encode()
        item = Item(key=key, revision=self.number, value=value)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.history.append((self.loop.seconds, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_history(self):
        """Forget all changes."""
        self.history.clear()
        self.compacted = self.number

    def restore(self):
        """Begin another era, with the present items."""
        self.era += 1
        self.drop_history()
        self.changed.set()
        self.changed = asyncio.Event()

    def _drop_old_history(self):
        oldest = self.loop.seconds - HISTORY_SECONDS
        while self.history and self.history[0][0] < oldest:
            self.compacted = self.history.pop(0)[1].revision

    def make_source(self, awake, is_cut=lambda: False):
        """Return the calls of one gateway, which may be cut off from the store.

        Its answers wait while the gateway stands still.
        """

        def held(call):
            async def call_and_wait(*arguments):
                answer = await call(*arguments)
                await awake.wait()
                return answer

            return call_and_wait

        return Source(
            read_all=held(lambda: self._call(self._read_all, is_cut)),
            watch=held(lambda after, wait: self._watch(after, wait, is_cut)),
            read_revision=held(lambda: self._call(lambda: self.revision, is_cut)),
            read_history=held(lambda: self._call(self._read_history, is_cut)),
        )

    async def _call(self, answer, is_cut):
        await asyncio.sleep(STORE_SECONDS)
        if self.is_away or is_cut():
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            return Err(ReadError("timeout"))
        return Ok(answer())

    async def _watch(self, after, wait, is_cut):
        with suppress(TimeoutError):
            async with asyncio.timeout(wait.total_seconds()):
                while self.is_away or is_cut() or self.revision <= after:
                    await self.changed.wait()
        self._drop_old_history()
        if after.era != self.era or after.number < self.compacted:
            return await self._call(lambda: None, is_cut)
        return await self._call(lambda: self._changes(after), is_cut)

    def _read_all(self):
        items = tuple(self.items.values())
        return Snapshot(revision=self.revision, items=items, is_complete=True)

    def _changes(self, after):
        items = tuple(item for _, item in self.history if item.revision > after.number)
        return Snapshot(revision=self.revision, items=items, is_complete=False)

    def _read_history(self):
        self._drop_old_history()
        return History(
            revision=self.revision,
            items=tuple(item for _, item in self.history),
            is_full=self.compacted == 0,
            is_empty=self.compacted == self.number,
        )


def decode_entry(item):
    """Decode the entry of an engine."""
    document = json.loads(item.value)
    return Ok(
        Endpoint(
            id=item.key,
            started=document["born"],
            service=SERVICE,
            version=document["version"],
            data_center="a",
            address=Address(ip="127.0.0.1", port=document["port"]),
            slots=64,
            state=EndpointState(document["state"]),
        )
    )


@dataclass(slots=True, kw_only=True)
class SimulatedEngine:
    """An engine and the own prompt segments in its KV cache."""

    key: str
    port: int
    version: str
    born: int
    cached: set[str] = field(default_factory=set)
    is_up: bool = True

    def entry(self, state):
        """Return the engine's entry in the store."""
        return {
            "born": self.born,
            "port": self.port,
            "version": self.version,
            "state": state,
        }


class NoRestrictions:
    """Restrictions of engines that take every call."""

    @staticmethod
    def may_probe(_name):
        """Return that an engine takes calls that are not those of callers."""
        return True


class SimulatedGateway:
    """A gateway's registry, mesh and resumption."""

    def __init__(self, *, number, play):
        loop = play.loop
        random = Random(play.random.getrandbits(64))
        self.number = number
        self.is_up = True
        self.awake = asyncio.Event()
        self.awake.set()
        # Dictionaries keep the order of their keys, so that plays are repeatable.
        self.tasks = {}
        self.registry = Registry(
            decode=decode_entry,
            lapse_grace=timedelta(seconds=2),
            entry_lifetime=timedelta(seconds=3.6),
            clock=loop.clock,
        )
        self.follower = StoreFollower(
            source=play.store.make_source(self.awake),
            registry=self.registry,
            clock=loop.clock,
            random=random,
            history_length=timedelta(seconds=HISTORY_SECONDS),
        )
        self.mesh = PeerMesh(
            own_address=Address(ip=f"10.0.0.{number}", port=8000),
            data_center="a",
            seeds=(),
            registry=self.registry,
            on_load_event=self._apply_event,
            current_events=lambda: self.resumption.own_streams(),
            find_origin=lambda key: self.resumption.find_known(key),
            random=random,
        )
        self.resumption = StreamResumption(
            registry=self.registry,
            clock=loop.clock,
            broadcast=self.mesh.broadcast,
            ask_peers=self.mesh.origin_requests.find,
            search=SegmentSearch(
                registry=self.registry,
                restrictions=NoRestrictions(),
                read_cached_segments=play.read_cached_segments,
                clock=loop.clock,
            ),
            read_history=self.follower.read_history,
            wait_until_current=ReadBarrier(
                cache=self.registry.cache,
                read_revision=self.follower.read_revision,
                large_answers=self.follower.large_answers,
            ).wait,
        )
        checker = RevisionChecker(
            follower=self.follower,
            freshness=self.registry.freshness,
            on_confirmed=self.mesh.announce_revision,
            clock=loop.clock,
            random=random,
        )
        self.registry.on_change.append(self.resumption.update_mixed_services)
        self.registry.on_change.append(self.mesh.announce_revision)
        self.start(self.follower.run())
        self.start(checker.run())

    def start(self, coroutine):
        """Run a coroutine until the gateway is killed."""
        task = asyncio.create_task(coroutine)
        self.tasks[task] = None
        task.add_done_callback(self.tasks.pop)
        return task

    def _apply_event(self, _connection, event):
        if isinstance(event, StreamBegan):
            self.resumption.record_told(event)

    def kill(self):
        """End the gateway and all that it does."""
        self.is_up = False
        for task in tuple(self.tasks):
            task.cancel()


class HeldStream:
    """A connection of a gateway on which nothing moves while it stands still."""

    def __init__(self, stream, awake):
        self.stream = stream
        self.awake = awake

    async def write(self, data):
        """Write bytes once the gateway is awake."""
        await self.awake.wait()
        await self.stream.write(data)

    async def read_bytes(self, *arguments, **fields):
        """Return bytes that have arrived, once the gateway is awake."""
        data = await self.stream.read_bytes(*arguments, **fields)
        await self.awake.wait()
        return data

    def close(self):
        """Close the connection."""
        self.stream.close()


class Connections:
    """Connections between the gateways, which can be cut and made again."""

    def __init__(self, loop):
        self.loop = loop
        self.tasks = {}

    def open(self, near, far):
        """Connect one gateway to another, unless it is connected."""
        pair = (near, far)
        if pair in self.tasks:
            return
        ends = (
            MemoryStream(self.loop, PEER_SECONDS),
            MemoryStream(self.loop, PEER_SECONDS),
        )
        ends[0].other, ends[1].other = ends[1], ends[0]
        # A mesh opens no connection to an address for which it has a task.
        near.mesh.connect_tasks[str(far.mesh.own_address)] = None
        near.mesh.untried.discard(str(far.mesh.own_address))
        far.mesh.connect_tasks[str(near.mesh.own_address)] = None
        name = f"{near.mesh.own_address}-{id(ends)}"
        self.tasks[pair] = (
            name,
            asyncio.create_task(
                self._write(near, far, HeldStream(ends[0], near.awake))
            ),
            asyncio.create_task(self._read(far, name, HeldStream(ends[1], far.awake))),
        )

    @staticmethod
    async def _write(near, far, end):
        with suppress(StreamClosedError):
            await near.mesh._run_connection(str(far.mesh.own_address), end)

    @staticmethod
    async def _read(far, name, end):
        with suppress(StreamClosedError, TimeoutError):
            await far.mesh.server._read_messages(name, end)

    async def cut(self, is_cut):
        """Close the connections for whose two gateways a function returns true."""
        pairs = [pair for pair in self.tasks if is_cut(*pair)]
        for pair in pairs:
            name, *tasks = self.tasks.pop(pair)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            pair[1].mesh.server._remove_connection(name, "cut")


async def read_cached(engines, address):
    """Return the segments in the KV cache of the engine at an address."""
    await asyncio.sleep(STORE_SECONDS)
    for engine in engines:
        if engine.port == address.port and engine.is_up:
            return Ok(tuple(PromptSegment(name=one, tokens=1) for one in engine.cached))
    return Err(ReadError("refused"))
