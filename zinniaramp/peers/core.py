"""Connections between gateway processes that exchange load events and store items."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from random import Random

from result import Err
from tornado.iostream import IOStream, StreamClosedError

from ..buffers import LARGE_BUFFER_BYTES
from ..observability import emit
from ..reads import Backoff
from ..registry import Registry, StoreRevision
from ..resumption import StreamOrigin
from ..sockets import Address, bind_listeners, open_stream, parse_address
from ..warmup import Membership
from .catch_up import CatchUp
from .choice import choose_peers, has_wider_link
from .codec import encode
from .events import PEER_CONNECTED, PEER_DISCONNECTED
from .messages import Heartbeat, Hello, LoadEvent, Message, SendEnded
from .origin_requests import OriginRequests
from .replies import read_replies
from .server import PEER_TIMEOUT, MeshServer

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

FLUSH_DELAY = timedelta(milliseconds=5)
"""Time over which events are batched into one write.

It is shorter than the prefill time of a prompt.
"""

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
    link_mbps : float or None
        Rate of the link of this host in Mbit/s; None if it is not known.

    Attributes
    ----------
    known : set of str
        Addresses of all other gateway processes that this one has heard of.
    membership : Membership
        The same, with those that could lately not be reached.
    connect_tasks : dict of asyncio.Task
        Task that maintains the connection to a peer, by the peer's address.
    untried : set of str
        Addresses of peers to which the first connection attempt has not ended.
    write_queues : dict of bytearray
        Bytes that wait to be written to a connected peer, by its address.
    write_events : dict of asyncio.Event
        Set when a connected peer has data to be written, by its address.
    inbound_peers : dict of Hello
        First message of a peer, by the name of the accepted connection.
    peer_revisions : dict of StoreRevision
        Latest revision that a peer has announced, by the peer's address.
    catch_up : CatchUp
        Requests to the peers for missing items.
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
        "link_mbps",
        "known",
        "membership",
        "connect_tasks",
        "untried",
        "write_queues",
        "write_events",
        "inbound_peers",
        "peer_revisions",
        "catch_up",
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
        link_mbps: float | None = None,
    ):
        self.link_mbps = link_mbps
        self.own_address = own_address
        self.data_center = data_center
        self.seeds = seeds
        self.registry = registry
        self.on_load_event = on_load_event
        self.current_events = current_events
        self.find_origin = find_origin
        self.origin_requests = OriginRequests(
            send=self._send, peers=self._expected_peers
        )
        self.random = random
        self.known: set[str] = set()
        self.membership = Membership(
            own_address=str(own_address), seeds=tuple(map(str, seeds))
        )
        self.connect_tasks: dict[str, asyncio.Task] = {}
        self.untried: set[str] = set()
        self.write_queues: dict[str, bytearray] = {}
        self.write_events: dict[str, asyncio.Event] = {}
        self.inbound_peers: dict[str, Hello] = {}
        self.peer_revisions: dict[str, StoreRevision] = {}
        self.catch_up = CatchUp(
            registry=registry, random=random, send=self._send, newer=self._newer_peers
        )
        self.server = MeshServer(self)

    def start(self) -> None:
        """Listen for peers and start connecting to the seeds."""
        own = self.own_address
        self.server.add_sockets(bind_listeners(own.port, own.ip))
        for seed in self.seeds:
            self.add_peer(str(seed))

    def stop(self) -> None:
        """Stop listening and cancel all connections to peers."""
        self.server.stop()
        for task in self.connect_tasks.values():
            task.cancel()
        self.catch_up.stop()

    @property
    def entry_count(self) -> int:
        """Known gateway processes, including this one; some may have stopped."""
        return 1 + len(self.known)

    @property
    def visible_share(self) -> float:
        """Share of the known gateway processes whose load events arrive here."""
        heard = 1 + len(self.inbound_peers)
        return heard / max(heard, self.entry_count)

    def members(self) -> frozenset[str] | None:
        """Return the addresses of all gateway processes, this one included.

        It is None as long as this process may know too few of them.  Processes that
        could lately not be reached are included.
        """
        return self.membership.members(asyncio.get_running_loop().time())

    def record_contacts(self) -> None:
        """Record the peers in contact, which shows whether this process is a member."""
        heard = [hello.address for hello in self.inbound_peers.values()]
        now = asyncio.get_running_loop().time()
        self.membership.record_contacts(heard, tuple(self.write_queues), now)

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
        self.membership.add(address)
        if len(self.connect_tasks) >= MAX_PEERS:
            return
        self.untried.add(address)
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

    def _expected_peers(self) -> list[str]:
        """Return the peers that are connected, or may be at any moment."""
        return [*self.write_queues, *sorted(self.untried)]

    def _send(self, name: str, message: Message) -> None:
        """Queue a message for one peer, if it is connected."""
        if name in self.write_queues:
            self.write_queues[name] += encode(message)
            self.write_events[name].set()

    async def _maintain_connection(self, address: Address) -> None:
        backoff = Backoff(first=INITIAL_BACKOFF, limit=MAX_BACKOFF, random=self.random)
        while backoff.failures < MAX_CONNECT_FAILURES or address in self.seeds:
            opened = await open_stream(
                address, timeout=CONNECT_TIMEOUT, receive_buffer=LARGE_BUFFER_BYTES
            )
            self.untried.discard(str(address))
            if not isinstance(opened, Err):
                backoff.reset()
                await self._run_connection(str(address), opened.ok_value)
            await asyncio.sleep(backoff.next_wait().total_seconds())
        del self.connect_tasks[str(address)]
        self.known.discard(str(address))
        self.membership.mark_lost(str(address), asyncio.get_running_loop().time())

    async def _run_connection(self, name: str, stream: IOStream) -> None:
        """Exchange messages with a peer until the connection ends."""
        emit(PEER_CONNECTED, peer=name)
        first = (self._hello(self.known), *self.current_events())
        self.write_queues[name] = bytearray(b"".join(map(encode, first)))
        self.write_events[name] = asyncio.Event()
        self.origin_requests.ask_connected(name)
        reading = read_replies(
            name,
            stream,
            registry=self.registry,
            origin_requests=self.origin_requests,
        )
        read_task = asyncio.create_task(reading)
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

    def _hello(self, known: Iterable[str]) -> Hello:
        """Return the message that tells a peer of other processes."""
        return Hello(
            address=str(self.own_address),
            data_center=self.data_center,
            known_peers=tuple(known),
            link_mbps=self.link_mbps,
        )

    async def _write_messages(self, name: str, stream: IOStream) -> None:
        queue, data_ready = self.write_queues[name], self.write_events[name]
        announced = set(self.known)
        while True:
            if not announced.issuperset(self.known):
                queue += encode(self._hello(self.known - announced))
                announced |= self.known
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

    def record_heartbeat(self, name: str, heartbeat: Heartbeat) -> None:
        """Record a peer's revision; catch up if the local watch does not deliver it.

        Parameters
        ----------
        name : str
            Address of the peer.
        heartbeat : Heartbeat
            Revision that the peer has, and when the store confirmed it.
        """
        self.record_contacts()
        revision = heartbeat.revision
        self.peer_revisions[name] = revision
        if heartbeat.age is not None:
            self.registry.freshness.confirm(revision, age=heartbeat.age)
        self.catch_up.start_if_behind(revision)

    def _newer_peers(self) -> list[str]:
        """Return the connected peers with a later revision, the best ones if any."""
        current = self.registry.cache.revision
        newer = [
            name
            for name, revision in self.peer_revisions.items()
            if revision > current and name in self.write_queues
        ]
        return choose_peers(newer, self.inbound_peers.values(), own=self._hello(()))

    def has_wider_peer(self) -> bool:
        """Return whether a connected peer has a much wider link than this host."""
        own = self._hello(())
        return any(
            has_wider_link(one, own) and one.address in self.write_queues
            for one in self.inbound_peers.values()
        )

    def announce_revision(self) -> None:
        """Send the current revision to all peers without waiting for the heartbeat."""
        for write_event in self.write_events.values():
            write_event.set()
