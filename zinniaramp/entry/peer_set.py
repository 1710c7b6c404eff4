"""The endpoint processes that an entry process keeps streams to."""

import asyncio
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..configuration import RevisionStore
from ..hosts import Host, HostState, HostView
from ..links import Identity
from ..observability import emit
from ..routing import SubsetMember, choose_subset
from ..settings import Settings
from .events import PROCESS_WAS_PAUSED, SUBSET_CHANGED
from .peers import Peer

__all__ = ["PeerSet"]

TICK = timedelta(seconds=0.25)
"""Time between two looks at the clock."""

REACH_TIMEOUT = timedelta(seconds=2)
"""Longest wait for a stream to an endpoint outside the subset."""

ENDPOINT_ROLE = "endpoint"
"""Role of endpoint processes in the host list."""


class PeerSet:
    """Opens, retires and finds streams to endpoint processes.

    Parameters
    ----------
    settings : Settings
        Settings of this process.
    identity : Identity
        What this entry says of itself.
    revisions : RevisionStore
        Gives the size of the subset.
    hosts : HostView
        The platform's list of hosts.
    clock : Clock
        The process's clock.
    random_source : random.Random
        Source of jitter.

    Attributes
    ----------
    peers : dict of Peer
        By address.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        identity: Identity,
        revisions: RevisionStore,
        hosts: HostView,
        clock: Clock,
        random_source: Random,
    ):
        self.settings = settings
        self.identity = identity
        self.revisions = revisions
        self.hosts = hosts
        self.clock = clock
        self.random_source = random_source
        self.peers: dict[str, Peer] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.last_tick = clock()
        self.pause_bound = max(settings.fleet.silence, TICK * 4)
        self.ticker: asyncio.Task | None = None

    def start(self) -> None:
        """Open streams and follow the host list and the declarations."""
        self.last_tick = self.clock()
        self.hosts.subscribe(lambda _: self.reconcile())
        self.revisions.subscribe(lambda _: self.reconcile())
        self.ticker = asyncio.create_task(self.tick())

    def stop(self) -> None:
        """Close every stream."""
        if self.ticker is not None:
            self.ticker.cancel()
        for task in self.tasks.values():
            task.cancel()

    async def tick(self) -> None:
        """Notice pauses, and close retired streams that nobody waits on."""
        while True:
            await asyncio.sleep(TICK.total_seconds())
            self.check_pause()
            for address, peer in list(self.peers.items()):
                if peer.is_retired and not peer.inboxes and not peer.holds:
                    self.close(address)

    def check_pause(self) -> bool:
        """Drop every stream if this process has not run for a while.

        Returns
        -------
        bool
            Whether it was paused; nothing may be offered until streams are
            open again.
        """
        gap = self.clock() - self.last_tick
        self.last_tick = self.clock()
        if gap <= self.pause_bound:
            return False
        emit(PROCESS_WAS_PAUSED, gap_s=gap.total_seconds())
        for peer in self.peers.values():
            peer.drop_stream("this process was paused")
        return True

    def reconcile(self) -> None:
        """Open the streams that are wanted and retire the others."""
        wanted = self.wanted_addresses()
        opened = wanted - self.peers.keys()
        retired = [a for a, p in self.peers.items() if a not in wanted]
        newly_retired = [a for a in retired if not self.peers[a].is_retired]
        for address in opened:
            self.open(address)
        for address, peer in self.peers.items():
            peer.is_retired = address not in wanted
        self.note_leaving()
        if opened or newly_retired:
            emit(
                SUBSET_CHANGED,
                opened=sorted(opened),
                retired=sorted(newly_retired),
                size=len(wanted),
            )

    def wanted_addresses(self) -> set[str]:
        """Return the addresses of this process's subset."""
        endpoints = self.listed_endpoints()
        if not endpoints:
            return set(self.settings.platform.endpoints.split())
        size = self.revisions.current().defaults.subset
        targets = {target for host in endpoints.values() for target in host.serves}
        wanted: set[str] = set()
        for target in targets:
            members = [
                SubsetMember(name=host.name, data_centre=host.data_centre)
                for host in endpoints.values()
                if target in host.serves and host.state is HostState.LIVE
            ]
            chosen = choose_subset(self.settings.process.name, members, size)
            wanted |= {endpoints[one.name].address for one in chosen}
        return wanted

    def listed_endpoints(self) -> dict[str, Host]:
        """Return the endpoint hosts of the platform's list."""
        return {
            name: host
            for name, host in self.hosts.hosts.items()
            if host.role == ENDPOINT_ROLE and host.address
        }

    def note_leaving(self) -> None:
        """Mark the peers that the list says are leaving."""
        leaving = {
            host.address
            for host in self.listed_endpoints().values()
            if host.state is HostState.LEAVING
        }
        for address in leaving & self.peers.keys():
            self.peers[address].leave("list")

    def open(self, address: str) -> Peer:
        """Start a task that keeps a stream to an address open."""
        peer = Peer(
            address=address,
            identity=self.identity,
            fleet=self.settings.fleet,
            revisions=self.revisions,
            clock=self.clock,
            random_source=self.random_source,
        )
        self.peers[address] = peer
        self.tasks[address] = asyncio.create_task(peer.run())
        return peer

    def close(self, address: str) -> None:
        """End the stream to an address."""
        self.peers.pop(address)
        self.tasks.pop(address).cancel()

    def usable(self, target: str) -> list[Peer]:
        """Return the peers that may be offered attempts for a target."""
        if self.check_pause():
            return []
        return [
            peer
            for peer in self.peers.values()
            if peer.is_usable and target in peer.serves
        ]

    def targets(self) -> set[str]:
        """Return every model and service that is known to be served."""
        listed = (host.serves for host in self.listed_endpoints().values())
        told = (peer.serves for peer in self.peers.values())
        return set().union(*listed, *told)

    async def reach(self, host: str) -> Peer | None:
        """Return the peer of a host with an open stream, also outside the subset.

        Parameters
        ----------
        host : str
            Name of an endpoint host.

        Returns
        -------
        Peer or None
            None if no stream could be opened in `REACH_TIMEOUT`.
        """
        peer = self.find(host)
        if peer is None:
            return None
        if not peer.is_open:
            peer.holds += 1
            try:
                async with asyncio.timeout(REACH_TIMEOUT.total_seconds()):
                    await peer.settled.wait()
            except TimeoutError:
                return None
            finally:
                peer.holds -= 1
        is_there = peer.is_open and peer.host == host
        return peer if is_there else None

    def find(self, host: str) -> Peer | None:
        """Return the peer of a host, with a new one if the list has the host."""
        for peer in self.peers.values():
            if peer.host == host:
                return peer
        listed = self.listed_endpoints().get(host)
        if listed is None:
            return None
        if listed.address in self.peers:
            return self.peers[listed.address]
        peer = self.open(listed.address)
        peer.is_retired = True
        return peer
