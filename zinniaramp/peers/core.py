"""Connections between gateway processes that exchange load events and store items."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from random import Random

from result import Err
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from ..observability import emit
from ..reads import Backoff
from ..registry import Registry, Snapshot, StoreRevision
from ..resumption import StreamOrigin
from ..sockets import Address, enable_keepalive, open_stream, parse_address
from .codec import MessageDecoder, MessageError, encode
from .events import (
    ITEMS_RECEIVED_FROM_PEER,
    PEER_CONNECTED,
    PEER_DISCONNECTED,
    PEER_SENT_INVALID_DATA,
)
from .messages import (
    Heartbeat,
    Hello,
    ItemsRequest,
    LoadEvent,
    Message,
    OriginAnswer,
    OriginRequest,
    SendEnded,
)
from .origin_requests import OriginRequests

__all__ = ["PeerMesh"]

CONNECT_TIMEOUT = timedelta(milliseconds=500)
"""Timeout of a connection attempt; data centres are about one millisecond apart."""

INITIAL_BACKOFF = timedelta(milliseconds=300)
"""Upper bound of the first backoff before reconnecting to a peer."""

MAX_BACKOFF = timedelta(seconds=2)
"""Upper bound of every backoff."""

HEARTBEAT_INTERVAL = timedelta(seconds=1)
"""Interval of heartbeats on an idle connection.

Three intervals equal the time within which the platform considers a host reachable.
"""

PEER_TIMEOUT = timedelta(seconds=3)
"""Time without received data after which a peer's connection is closed and its load
events are discarded: three heartbeat intervals.

It is also the timeout of one write to a peer.
"""

FLUSH_DELAY = timedelta(milliseconds=5)
"""Time over which events are batched into one write.

It is shorter than the prefill time of a prompt.
"""

CATCH_UP_DELAY = timedelta(milliseconds=300)
"""Time for the local watch to deliver a revision that a peer already has.

A slow store answers within 400 ms, and a configuration has to be in force within 2 s.
"""

CATCH_UP_SPREAD = timedelta(milliseconds=200)
"""Time over which processes that miss the same change spread their requests."""

ITEMS_TIMEOUT = timedelta(seconds=1)
"""Time after which missing items are requested from another peer.

A configuration of 1,700 routes has about 0.5 MB, which take 0.4 s at 10 Mbit/s.
"""

ITEMS_POLL_INTERVAL = timedelta(milliseconds=20)
"""Interval at which the arrival of requested items is checked."""

MAX_CONNECT_FAILURES = 30
"""Consecutive failures after which a peer that is not a seed is dropped.

A dropped peer that is still running is added again when it connects to this process.
"""

MAX_PEERS = 40
"""Maximum number of peers to which connections are kept.

Every connection costs the bytes and the processor time of all load events; with 67
peers a day of the largest deployment took too much processor time."""

MAX_KNOWN = 1000
"""Maximum number of gateway processes that are counted; 330 are planned for."""

MAX_QUEUED_BYTES = 64 * 1024
"""Limit on the bytes queued for one peer.

A connection whose peer reads too slowly is closed and opened again.
"""

MAX_READ_BYTES = 64 * 1024
"""Maximum size of one read."""

LoadListener = Callable[[str, LoadEvent | None], None]
"""Receives a connection's name and a load event, or None when the connection closed."""


class PeerMesh:
    """Connections to and from all other gateway processes, the peers.

    Each process connects to every other one. It writes heartbeats and load events to
    the connections that it opened, and reads those of its peers from the connections
    that it accepted. Missing items of the store are requested from one peer at a time,
    because the whole content fills the link of a small host.

    Parameters
    ----------
    own_address : Address
        Address at which peers connect to this process.
    data_center : str
        Data centre of this process; peers in it are asked first.
    seeds : tuple of Address
        Peers to connect to at startup; they are never dropped.
    registry : Registry
        Holds the items of the store, which peers exchange.
    on_load_event : callable
        Receives the load events of peers, and None when a peer's connection closes.
    current_events : callable
        Returns the load events that a newly connected peer has to learn of.
    find_origin : callable
        Returns where a stream began, by its key, or None if it is not known here.
    random : Random
        Source of jitter.

    Attributes
    ----------
    known : set of str
        Addresses of all other gateway processes that this one has heard of.
    connect_tasks : dict of asyncio.Task
        Task that maintains the connection to a peer, by the peer's address.
    write_queues : dict of bytearray
        Bytes that wait to be written to a connected peer, by its address.
    write_events : dict of asyncio.Event
        Set when a connected peer has data to be written, by its address.
    inbound_peers : dict of Hello
        First message of a peer, by the name of the accepted connection.
    peer_revisions : dict of StoreRevision
        Latest revision that a peer has announced, by the peer's address.
    catch_up_task : asyncio.Task or None
        Requests missing items until this process has them.
    origin_requests : OriginRequests
        Requests to the peers for the origins of streams.
    """

    __slots__ = (
        "own_address",
        "data_center",
        "registry",
        "on_load_event",
        "current_events",
        "find_origin",
        "origin_requests",
        "random",
        "known",
        "connect_tasks",
        "write_queues",
        "write_events",
        "inbound_peers",
        "peer_revisions",
        "catch_up_task",
        "server",
        "seeds",
    )

    def __init__(
        self,
        *,
        own_address: Address,
        data_center: str,
        seeds: tuple[Address, ...],
        registry: Registry,
        on_load_event: LoadListener,
        current_events: Callable[[], Iterable[LoadEvent]],
        find_origin: Callable[[bytes], StreamOrigin | None],
        random: Random,
    ):
        self.own_address = own_address
        self.data_center = data_center
        self.seeds = seeds
        self.registry = registry
        self.on_load_event = on_load_event
        self.current_events = current_events
        self.find_origin = find_origin
        self.origin_requests = OriginRequests(
            send=self._send, peers=lambda: list(self.connect_tasks)
        )
        self.random = random
        self.known: set[str] = set()
        self.connect_tasks: dict[str, asyncio.Task] = {}
        self.write_queues: dict[str, bytearray] = {}
        self.write_events: dict[str, asyncio.Event] = {}
        self.inbound_peers: dict[str, Hello] = {}
        self.peer_revisions: dict[str, StoreRevision] = {}
        self.catch_up_task: asyncio.Task | None = None
        self.server = _MeshServer(self)

    def start(self) -> None:
        """Listen for peers and start connecting to the seeds."""
        self.server.listen(self.own_address.port, self.own_address.ip)
        for seed in self.seeds:
            self.add_peer(str(seed))

    def stop(self) -> None:
        """Stop listening and cancel all connections to peers."""
        self.server.stop()
        for task in self.connect_tasks.values():
            task.cancel()
        if self.catch_up_task is not None:
            self.catch_up_task.cancel()

    @property
    def entry_count(self) -> int:
        """Known gateway processes, including this one; some may have stopped."""
        return 1 + len(self.known)

    @property
    def visible_share(self) -> float:
        """Share of the known gateway processes whose load events arrive here."""
        heard = 1 + len(self.inbound_peers)
        return heard / max(heard, self.entry_count)

    def add_peer(self, address: str) -> None:
        """Count a peer, and start connecting to it unless the limit is reached.

        Raises
        ------
        ValueError
            The address is not an IPv4 address and a port.
        """
        if address == str(self.own_address) or address in self.connect_tasks:
            return
        parsed = parse_address(address)
        if len(self.known) < MAX_KNOWN:
            self.known.add(address)
        if len(self.connect_tasks) >= MAX_PEERS:
            return
        task = asyncio.create_task(self._maintain_connection(parsed))
        self.connect_tasks[address] = task

    def broadcast(self, event: LoadEvent) -> None:
        """Queue a load event for all connected peers.

        The end of a send is not urgent: it goes with the next event or heartbeat.
        """
        data = encode(event)
        is_urgent = not isinstance(event, SendEnded)
        for name, queue in self.write_queues.items():
            queue += data
            if is_urgent:
                self.write_events[name].set()

    def _send(self, name: str, message: Message) -> None:
        """Queue a message for one peer, if it is connected."""
        if name in self.write_queues:
            self.write_queues[name] += encode(message)
            self.write_events[name].set()

    async def _maintain_connection(self, address: Address) -> None:
        backoff = Backoff(first=INITIAL_BACKOFF, limit=MAX_BACKOFF, random=self.random)
        while backoff.failures < MAX_CONNECT_FAILURES or address in self.seeds:
            opened = await open_stream(address, timeout=CONNECT_TIMEOUT)
            if not isinstance(opened, Err):
                backoff.reset()
                await self._run_connection(str(address), opened.ok_value)
            await asyncio.sleep(backoff.next_wait().total_seconds())
        del self.connect_tasks[str(address)]
        self.known.discard(str(address))

    async def _run_connection(self, name: str, stream: IOStream) -> None:
        """Exchange messages with a peer until the connection ends."""
        emit(PEER_CONNECTED, peer=name)
        hello = Hello(
            address=str(self.own_address),
            data_center=self.data_center,
            known_peers=tuple(self.known),
        )
        first = (hello, *self.current_events())
        self.write_queues[name] = bytearray(b"".join(map(encode, first)))
        self.write_events[name] = asyncio.Event()
        self.origin_requests.ask_connected(name)
        read_task = asyncio.create_task(self._read_replies(name, stream))
        problem = ""
        try:
            await self._write_messages(name, stream)
        except (StreamClosedError, TimeoutError) as error:
            problem = repr(error)
        finally:
            read_task.cancel()
            stream.close()
            del self.write_queues[name], self.write_events[name]
            emit(PEER_DISCONNECTED, peer=name, problem=problem)

    async def _write_messages(self, name: str, stream: IOStream) -> None:
        queue, data_ready = self.write_queues[name], self.write_events[name]
        while True:
            queue += encode(self._heartbeat())
            if len(queue) > MAX_QUEUED_BYTES:
                raise TimeoutError("the peer does not read; its write queue is full")
            data = bytes(queue)
            queue.clear()
            data_ready.clear()
            async with asyncio.timeout(PEER_TIMEOUT.total_seconds()):
                await stream.write(data)
            await self._wait_for_data(data_ready)

    def _heartbeat(self) -> Heartbeat:
        registry = self.registry
        age = registry.freshness.age()
        return Heartbeat(revision=registry.cache.revision, age=age)

    async def _wait_for_data(self, data_ready: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL.total_seconds()):
                await data_ready.wait()
        except TimeoutError:
            return
        await asyncio.sleep(FLUSH_DELAY.total_seconds())

    async def _read_replies(self, name: str, stream: IOStream) -> None:
        """Apply a peer's replies to requests for items and for origins."""
        decoder = MessageDecoder()
        while True:
            try:
                data = await stream.read_bytes(MAX_READ_BYTES, partial=True)
                messages = decoder.feed(data)
            except StreamClosedError:
                return
            except MessageError as error:
                emit(PEER_SENT_INVALID_DATA, peer=name, problem=str(error))
                stream.close()
                return
            for message in messages:
                match message:
                    case Snapshot():
                        self._apply_snapshot(name, message)
                    case OriginAnswer():
                        self.origin_requests.apply(name, message)

    def _apply_snapshot(self, name: str, snapshot: Snapshot) -> None:
        before = self.registry.cache.revision
        if snapshot.revision <= before:
            return
        self.registry.apply(snapshot)
        emit(
            ITEMS_RECEIVED_FROM_PEER,
            peer=name,
            era=snapshot.revision.era,
            before=before.number,
            revision=snapshot.revision.number,
            items=len(snapshot.items),
        )

    def record_heartbeat(self, name: str, heartbeat: Heartbeat) -> None:
        """Record a peer's revision; catch up if the local watch does not deliver it.

        Parameters
        ----------
        name : str
            Address of the peer.
        heartbeat : Heartbeat
            Revision that the peer has, and when the store confirmed it.
        """
        revision = heartbeat.revision
        self.peer_revisions[name] = revision
        if heartbeat.age is not None:
            self.registry.freshness.confirm(revision, age=heartbeat.age)
        is_idle = self.catch_up_task is None or self.catch_up_task.done()
        if revision > self.registry.cache.revision and is_idle:
            self.catch_up_task = asyncio.create_task(self._catch_up())

    async def _catch_up(self) -> None:
        """Request missing items from one peer after another until all are known."""
        spread = self.random.uniform(0, CATCH_UP_SPREAD.total_seconds())
        await asyncio.sleep(CATCH_UP_DELAY.total_seconds() + spread)
        asked: set[str] = set()
        while peers := self._newer_peers():
            # A peer that has not answered is asked again only after all others.
            asked = asked if set(peers) - asked else set()
            name = self.random.choice([one for one in peers if one not in asked])
            asked.add(name)
            before = self.registry.cache.revision
            self._send(name, ItemsRequest(after=before))
            await self._wait_for_items(before)

    def _newer_peers(self) -> list[str]:
        """Return the connected peers with a later revision, the nearest if any."""
        current = self.registry.cache.revision
        newer = [
            name
            for name, revision in self.peer_revisions.items()
            if revision > current and name in self.write_queues
        ]
        near = {
            hello.address
            for hello in self.inbound_peers.values()
            if hello.data_center == self.data_center
        }
        return [name for name in newer if name in near] or newer

    async def _wait_for_items(self, before: StoreRevision) -> None:
        """Wait until the known revision rises or the time for an answer is over."""
        deadline = asyncio.get_running_loop().time() + ITEMS_TIMEOUT.total_seconds()
        while self.registry.cache.revision <= before:
            if asyncio.get_running_loop().time() >= deadline:
                return
            await asyncio.sleep(ITEMS_POLL_INTERVAL.total_seconds())

    def announce_revision(self) -> None:
        """Send the current revision to all peers without waiting for the heartbeat."""
        for write_event in self.write_events.values():
            write_event.set()


class _MeshServer(TCPServer):
    """Accepts the connections of peers and handles their messages."""

    def __init__(self, mesh: PeerMesh):
        super().__init__()
        self.mesh = mesh

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        enable_keepalive(stream.socket)
        connection = "{}:{}".format(*address)
        problem = ""
        try:
            await self._read_messages(connection, stream)
        except (StreamClosedError, TimeoutError) as error:
            problem = repr(error)
        except MessageError as error:
            problem = str(error)
            emit(PEER_SENT_INVALID_DATA, peer=connection, problem=problem)
        finally:
            stream.close()
            self._remove_connection(connection, problem)

    async def _read_messages(self, connection: str, stream: IOStream) -> None:
        decoder = MessageDecoder()
        while True:
            async with asyncio.timeout(PEER_TIMEOUT.total_seconds()):
                data = await stream.read_bytes(MAX_READ_BYTES, partial=True)
            for message in decoder.feed(data):
                await self._handle_message(connection, message, stream)

    async def _handle_message(
        self, connection: str, message: Message, stream: IOStream
    ) -> None:
        mesh = self.mesh
        match message:
            case Hello():
                mesh.inbound_peers[connection] = message
                self._add_peers((message.address, *message.known_peers))
            case Heartbeat():
                hello = mesh.inbound_peers.get(connection)
                if hello is not None:
                    mesh.record_heartbeat(hello.address, message)
            case ItemsRequest(after=after):
                await stream.write(encode(mesh.registry.cache.changes_since(after)))
            case OriginRequest(key=key):
                answer = OriginAnswer(key=key, origin=mesh.find_origin(key))
                await stream.write(encode(answer))
            case Snapshot() | OriginAnswer():
                raise MessageError("reply that was not requested")
            case _:
                mesh.on_load_event(connection, message)

    def _add_peers(self, addresses: tuple[str, ...]) -> None:
        try:
            for address in addresses:
                self.mesh.add_peer(address)
        except ValueError as error:
            raise MessageError(str(error)) from error

    def _remove_connection(self, connection: str, problem: str) -> None:
        hello = self.mesh.inbound_peers.pop(connection, None)
        if hello is not None:
            self.mesh.peer_revisions.pop(hello.address, None)
            self.mesh.on_load_event(connection, None)
            emit(PEER_DISCONNECTED, peer=hello.address, problem=problem)
