"""The mesh of entries: each tells every other one what it sends and knows."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

from result import Err
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from ..observability import emit
from ..reads import Backoff
from ..registry import Registry, Snapshot
from ..sockets import Address, open_stream, parse_address, watch_silence
from .events import ITEMS_FROM_PEER, PEER_FOUND, PEER_GONE, PEER_SPOKE_WRONG
from .messages import (
    Hello,
    LoadEvent,
    Message,
    MessageError,
    NeedItems,
    Reader,
    State,
    encode,
)

__all__ = ["PeerMesh"]

CONNECT_TIMEOUT = timedelta(milliseconds=500)
"""Longest wait for a connection; data centres are a millisecond apart."""

BACKOFF_FIRST = timedelta(milliseconds=300)
"""Bound of the first wait before another try to reach a peer."""

BACKOFF_LIMIT = timedelta(seconds=2)
"""Bound of every such wait."""

HEARTBEAT = timedelta(seconds=1)
"""Time between heartbeats, where nothing else is said; three make the time in which
the platform holds a host to be in touch."""

SILENCE = timedelta(seconds=3)
"""Silence after which a peer's sends are forgotten: three heartbeats."""

FLUSH = timedelta(milliseconds=5)
"""Time over which events are gathered into one write; a prompt takes longer."""

CATCH_UP = timedelta(milliseconds=300)
"""Time that the process's own watch has to bring what a peer knows already; a slow
store answers within 400 ms, and a version has 2 s."""

MAX_FAILURES = 30
"""Tries in a row after which a peer that is no seed is given up; it will say hello
itself if it lives."""

MAX_PEERS = 40
"""Peers that a process tells; the largest deployment today has 31 entries."""

MAX_QUEUED_BYTES = 64 * 1024
"""Bytes that wait for a peer that does not read; then its connection is renewed."""

READ_BYTES = 64 * 1024
"""Most bytes of one read."""

LoadListener = Callable[[str, LoadEvent | None], None]
"""Takes a peer's event; None says that the peer is gone."""


class PeerMesh:
    """Connections to and from other entries.

    Parameters
    ----------
    own : Address
        Where other entries reach this one.
    seeds : tuple of Address
        Entries to begin with.
    registry : Registry
        What the store has said, which is shared.
    on_load : callable
        Takes peers' load events.
    random : Random
        Source of jitter.

    Attributes
    ----------
    dialled : dict
        Task that keeps the connection to each known peer.
    queues : dict of bytearray
        Bytes to be written to each connected peer.
    speakers : dict of str
        Address of the peer that speaks on each accepted connection.
    """

    __slots__ = (
        "own",
        "registry",
        "on_load",
        "random",
        "dialled",
        "queues",
        "wakes",
        "speakers",
        "server",
        "seeds",
    )

    def __init__(
        self,
        *,
        own: Address,
        seeds: tuple[Address, ...],
        registry: Registry,
        on_load: LoadListener,
        random: Random,
    ):
        self.own = own
        self.seeds = seeds
        self.registry = registry
        self.on_load = on_load
        self.random = random
        self.dialled: dict[str, asyncio.Task] = {}
        self.queues: dict[str, bytearray] = {}
        self.wakes: dict[str, asyncio.Event] = {}
        self.speakers: dict[str, str] = {}
        self.server = _MeshServer(self)

    def start(self) -> None:
        """Listen, and begin to reach the seeds."""
        self.server.listen(self.own.port, self.own.ip)
        for seed in self.seeds:
            self.meet(str(seed))

    def stop(self) -> None:
        """End all connections."""
        self.server.stop()
        for task in self.dialled.values():
            task.cancel()

    @property
    def known(self) -> int:
        """Entries that this one has heard of, itself included; some may be gone."""
        return 1 + len(self.dialled)

    def meet(self, address: str) -> None:
        """Begin to reach a peer, if it is new."""
        if address == str(self.own) or address in self.dialled:
            return
        if len(self.dialled) >= MAX_PEERS:
            return
        task = asyncio.create_task(self._keep_dialled(parse_address(address)))
        self.dialled[address] = task

    def tell(self, event: LoadEvent) -> None:
        """Tell all peers what this process does."""
        data = encode(event)
        for name, queue in self.queues.items():
            queue += data
            self.wakes[name].set()

    async def _keep_dialled(self, address: Address) -> None:
        backoff = Backoff(first=BACKOFF_FIRST, limit=BACKOFF_LIMIT, random=self.random)
        while backoff.failures < MAX_FAILURES or address in self.seeds:
            opened = await open_stream(address, timeout=CONNECT_TIMEOUT)
            if not isinstance(opened, Err):
                backoff.reset()
                await self._speak(str(address), opened.ok_value)
            await asyncio.sleep(backoff.next_wait().total_seconds())
        del self.dialled[str(address)]

    async def _speak(self, name: str, stream: IOStream) -> None:
        """Speak to a peer until the connection ends."""
        emit(PEER_FOUND, peer=name)
        hello = Hello(address=str(self.own), known=tuple(self.dialled)[:MAX_PEERS])
        self.queues[name] = bytearray(encode(hello))
        self.wakes[name] = asyncio.Event()
        listening = asyncio.create_task(self._take_items(name, stream))
        problem = ""
        try:
            await self._write_all(name, stream)
        except (StreamClosedError, TimeoutError) as error:
            problem = repr(error)
        finally:
            listening.cancel()
            stream.close()
            del self.queues[name], self.wakes[name]
            emit(PEER_GONE, peer=name, problem=problem)

    async def _write_all(self, name: str, stream: IOStream) -> None:
        queue, wake = self.queues[name], self.wakes[name]
        while True:
            if self.registry.configuration is None:
                queue += encode(NeedItems(after=self.registry.cache.revision))
            queue += encode(State(revision=self.registry.cache.revision))
            if len(queue) > MAX_QUEUED_BYTES:
                raise TimeoutError("the peer does not read")
            data = bytes(queue)
            queue.clear()
            wake.clear()
            async with asyncio.timeout(SILENCE.total_seconds()):
                await stream.write(data)
            await self._wait_for_news(wake)

    async def _wait_for_news(self, wake: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(HEARTBEAT.total_seconds()):
                await wake.wait()
        except TimeoutError:
            return
        await asyncio.sleep(FLUSH.total_seconds())

    async def _take_items(self, name: str, stream: IOStream) -> None:
        """Read what a peer answers on the connection to it."""
        reader = Reader()
        while True:
            try:
                data = await stream.read_bytes(READ_BYTES, partial=True)
                messages = reader.feed(data)
            except StreamClosedError:
                return
            except MessageError as error:
                emit(PEER_SPOKE_WRONG, peer=name, problem=str(error))
                stream.close()
                return
            for message in messages:
                if isinstance(message, Snapshot):
                    self._apply(name, message)

    def _apply(self, name: str, snapshot: Snapshot) -> None:
        before = self.registry.cache.revision
        if snapshot.revision <= before:
            return
        self.registry.apply(snapshot)
        emit(
            ITEMS_FROM_PEER,
            peer=name,
            before=before,
            revision=snapshot.revision,
            items=len(snapshot.items),
        )

    def note_state(self, name: str, revision: int) -> None:
        """Ask a peer that knows more, if the own watch does not bring it soon."""
        if revision <= self.registry.cache.revision or name not in self.queues:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(CATCH_UP.total_seconds(), self._ask, name, revision)

    def _ask(self, name: str, revision: int) -> None:
        known = self.registry.cache.revision
        queue = self.queues.get(name)
        if queue is None or known >= revision:
            return
        queue += encode(NeedItems(after=known))
        self.wakes[name].set()

    def announce(self) -> None:
        """Tell all peers at once that the process knows more."""
        for wake in self.wakes.values():
            wake.set()


class _MeshServer(TCPServer):
    """Takes connections of peers, which speak on them."""

    def __init__(self, mesh: PeerMesh):
        super().__init__()
        self.mesh = mesh

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        watch_silence(stream.socket)
        speaker = "{}:{}".format(*address)
        problem = ""
        try:
            await self._listen_to(speaker, stream)
        except (StreamClosedError, TimeoutError) as error:
            problem = repr(error)
        except MessageError as error:
            problem = str(error)
            emit(PEER_SPOKE_WRONG, peer=speaker, problem=problem)
        finally:
            stream.close()
            self._forget(speaker, problem)

    async def _listen_to(self, speaker: str, stream: IOStream) -> None:
        reader = Reader()
        while True:
            async with asyncio.timeout(SILENCE.total_seconds()):
                data = await stream.read_bytes(READ_BYTES, partial=True)
            for message in reader.feed(data):
                await self._take(speaker, message, stream)

    async def _take(self, speaker: str, message: Message, stream: IOStream) -> None:
        mesh = self.mesh
        match message:
            case Hello(address=address, known=known):
                mesh.speakers[speaker] = address
                self._meet((address, *known))
            case State(revision=revision):
                mesh.note_state(mesh.speakers.get(speaker, ""), revision)
            case NeedItems(after=after):
                await stream.write(encode(mesh.registry.cache.changes_since(after)))
            case Snapshot():
                raise MessageError("items that were not asked for")
            case _:
                mesh.on_load(speaker, message)

    def _meet(self, addresses: tuple[str, ...]) -> None:
        try:
            for one in addresses:
                self.mesh.meet(one)
        except ValueError as error:
            raise MessageError(str(error)) from error

    def _forget(self, speaker: str, problem: str) -> None:
        address = self.mesh.speakers.pop(speaker, None)
        if address is not None:
            self.mesh.on_load(speaker, None)
            emit(PEER_GONE, peer=address, problem=problem)
