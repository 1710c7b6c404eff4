"""The set of endpoint processes to which an entry process keeps streams."""

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

CHECK_INTERVAL = timedelta(seconds=0.25)
"""Interval between checks for pauses of this process and for unused streams."""

CONNECT_TIMEOUT = timedelta(seconds=2)
"""Timeout for opening a stream to an endpoint outside the subset."""

ENDPOINT_ROLE = "endpoint"
"""Role of endpoint processes in the host list."""


class PeerSet:
    """Opens, retires and looks up streams to endpoint processes.

    Parameters
    ----------
    settings : Settings
        Settings of this process.
    identity : Identity
        Identity of this entry process, sent to peers.
    revisions : RevisionStore
        Source of the subset size.
    hosts : HostView
        The platform's list of hosts.
    clock : Clock
        The process's clock.
    random_source : random.Random
        Source of jitter.

    Attributes
    ----------
    peers : dict of Peer
        Peers by address.
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
        self.last_check = clock()
        self.pause_threshold = max(settings.fleet.silence, CHECK_INTERVAL * 4)
        self.check_task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to follow the host list and the declarations, and to detect pauses."""
        self.last_check = self.clock()
        self.hosts.subscribe(lambda _: self.reconcile())
        self.revisions.subscribe(lambda _: self.reconcile())
        self.check_task = asyncio.create_task(self.check_periodically())

    def stop(self) -> None:
        """Close every stream."""
        if self.check_task is not None:
            self.check_task.cancel()
        for task in self.tasks.values():
            task.cancel()

    async def check_periodically(self) -> None:
        """Detect pauses, and close retired streams without attempts or waiters."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            self.check_pause()
            for address, peer in list(self.peers.items()):
                if peer.is_retired and not peer.inboxes and not peer.open_waiters:
                    self.close(address)

    def check_pause(self) -> bool:
        """Close every stream if this process was paused.

        Returns
        -------
        bool
            Whether it was paused; no attempts may be offered until the streams
            are open again.
        """
        gap = self.clock() - self.last_check
        self.last_check = self.clock()
        if gap <= self.pause_threshold:
            return False
        emit(PROCESS_WAS_PAUSED, gap_s=gap.total_seconds())
        for peer in self.peers.values():
            peer.close_stream("this process was paused")
        return True

    def reconcile(self) -> None:
        """Open streams to the wanted addresses and retire the others."""
        wanted = self.subset_addresses()
        opened = wanted - self.peers.keys()
        retired = [a for a, p in self.peers.items() if a not in wanted]
        newly_retired = [a for a in retired if not self.peers[a].is_retired]
        for address in opened:
            self.open(address)
        for address, peer in self.peers.items():
            peer.is_retired = address not in wanted
        self.mark_leaving_peers()
        if opened or newly_retired:
            emit(
                SUBSET_CHANGED,
                opened=sorted(opened),
                retired=sorted(newly_retired),
                size=len(wanted),
            )

    def subset_addresses(self) -> set[str]:
        """Return the addresses of the endpoints in this process's subset.

        Without a host list, these are all endpoints in the settings.
        """
        endpoints = self.listed_endpoints()
        if not endpoints:
            return set(self.settings.platform.endpoints.split())
        size = self.revisions.current().defaults.subset
        targets = {target for host in endpoints.values() for target in host.serves}
        addresses: set[str] = set()
        for target in targets:
            members = [
                SubsetMember(name=host.name, data_centre=host.data_centre)
                for host in endpoints.values()
                if target in host.serves and host.state is HostState.LIVE
            ]
            chosen = choose_subset(self.settings.process.name, members, size)
            addresses |= {endpoints[member.name].address for member in chosen}
        return addresses

    def listed_endpoints(self) -> dict[str, Host]:
        """Return the endpoint hosts of the platform's list, by name."""
        return {
            name: host
            for name, host in self.hosts.hosts.items()
            if host.role == ENDPOINT_ROLE and host.address
        }

    def mark_leaving_peers(self) -> None:
        """Mark the peers whose hosts are leaving according to the list."""
        leaving = {
            host.address
            for host in self.listed_endpoints().values()
            if host.state is HostState.LEAVING
        }
        for address in leaving & self.peers.keys():
            self.peers[address].mark_leaving("list")

    def open(self, address: str) -> Peer:
        """Add a peer and start the task that keeps a stream to its address open."""
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
        """Remove the peer of an address and cancel its task."""
        self.peers.pop(address)
        self.tasks.pop(address).cancel()

    def usable(self, target: str) -> list[Peer]:
        """Return the peers to which attempts for a target may be offered."""
        if self.check_pause():
            return []
        return [
            peer
            for peer in self.peers.values()
            if peer.is_usable and target in peer.serves
        ]

    def targets(self) -> set[str]:
        """Return the names of all models and services that known endpoints serve."""
        listed = (host.serves for host in self.listed_endpoints().values())
        announced = (peer.serves for peer in self.peers.values())
        return set().union(*listed, *announced)

    async def connect(self, host: str) -> Peer | None:
        """Return the connected peer of a host, opening a stream if necessary.

        The host may be outside the subset.

        Parameters
        ----------
        host : str
            Name of an endpoint host.

        Returns
        -------
        Peer or None
            None if the host is unknown or no stream to it could be opened within
            `CONNECT_TIMEOUT`.
        """
        peer = self.find_or_add(host)
        if peer is None:
            return None
        if not peer.is_open:
            peer.open_waiters += 1
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                    await peer.dial_finished.wait()
            except TimeoutError:
                return None
            finally:
                peer.open_waiters -= 1
        is_connected = peer.is_open and peer.host == host
        return peer if is_connected else None

    def find_or_add(self, host: str) -> Peer | None:
        """Return the peer of a host, adding one if the host is listed."""
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
