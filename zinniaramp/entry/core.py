"""The entry process: its tasks, its readiness and its shutdown."""

import asyncio
from datetime import timedelta
from random import Random

from tornado.httputil import split_host_and_port

from ..clock import Clock
from ..configuration import RevisionStore
from ..declarations import Declarations
from ..hosts import HostView
from ..links import Identity
from ..observability import emit
from ..settings import Settings
from .callers import make_application
from .events import DRAIN_ENDED, DRAIN_STARTED
from .peer_set import PeerSet
from .router import Router
from .server import CallerServer
from .status import EntryStatus, peer_status

__all__ = ["EntryProcess"]

MAX_BODY_BYTES = 2 * 1024 * 1024
"""Largest request body that is read at all, in bytes."""

MAX_HEADER_BYTES = 32 * 1024
"""Largest head of a request, in bytes."""

BODY_TIMEOUT = timedelta(seconds=10)
"""Longest time for a request body to arrive."""

IDLE_TIMEOUT = timedelta(seconds=60)
"""Longest time for a request's head to arrive on an open connection."""

DRAIN_NOTICE = timedelta(seconds=1)
"""Time for which readiness is false before listening ends."""

DRAIN_CHECK = timedelta(seconds=0.05)
"""Time between two looks at what is still in flight."""


class EntryProcess:
    """Takes callers' requests and routes them to endpoints.

    Parameters
    ----------
    settings : Settings
        Settings of this process.
    identity : Identity
        Identity of this start.
    revisions : RevisionStore
        The declarations in force.
    hosts : HostView
        The platform's list of hosts.
    clock : Clock
        The process's clock.
    random_source : random.Random, optional
        Source of all randomness in routing.

    Attributes
    ----------
    peers : PeerSet
        Endpoint processes.
    works : set of asyncio.Task
        One for each request whose answer is not finished.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        identity: Identity,
        revisions: RevisionStore,
        hosts: HostView,
        clock: Clock,
        random_source: Random | None = None,
    ):
        self.settings = settings
        self.revisions = revisions
        self.hosts = hosts
        self.clock = clock
        random_source = random_source or Random()
        self.peers = PeerSet(
            settings=settings,
            identity=identity,
            revisions=revisions,
            hosts=hosts,
            clock=clock,
            random_source=random_source,
        )
        self.router = Router(
            peers=self.peers,
            key=settings.fleet.key,
            clock=clock,
            random_source=random_source,
            policy=settings.routing.policy,
        )
        self.works: set[asyncio.Task] = set()
        self.is_draining = False
        self.server: CallerServer | None = None

    def start(self) -> None:
        """Listen for callers and open streams."""
        self.peers.start()
        host, port = split_host_and_port(self.settings.listen.callers)
        self.server = CallerServer(
            make_application(self),
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT.total_seconds(),
            idle_connection_timeout=IDLE_TIMEOUT.total_seconds(),
        )
        self.server.listen(port, host)

    def is_ready(self) -> bool:
        """Tell whether requests can be routed."""
        if self.is_draining:
            return False
        return any(peer.is_usable for peer in self.peers.peers.values())

    def status(self) -> EntryStatus:
        """Return the state of this process."""
        return EntryStatus(
            is_ready=self.is_ready(),
            is_draining=self.is_draining,
            in_flight=self.in_flight(),
            retry_budget=self.router.budget.balance,
            revision_index=self.revisions.revision().index,
            policy=self.router.policy,
            peers=[peer_status(peer) for peer in self.peers.peers.values()],
        )

    async def drain(self) -> int:
        """Stop taking requests and finish every answer, within the drain limit.

        Returns
        -------
        int
            Requests that were left unfinished.
        """
        if self.is_draining:
            return self.in_flight()
        self.is_draining = True
        emit(DRAIN_STARTED, in_flight=self.in_flight())
        limit = self.settings.fleet.drain_limit
        deadline = asyncio.get_running_loop().time() + limit.total_seconds()
        await asyncio.sleep(min(DRAIN_NOTICE, limit).total_seconds())
        self.server.end_keep_alive()
        self.server.stop()
        while self.in_flight() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(DRAIN_CHECK.total_seconds())
        left_over = self.in_flight()
        emit(DRAIN_ENDED, left=left_over)
        for work in self.works:
            work.cancel()
        await self.server.close_all_connections()
        self.peers.stop()
        return left_over

    def in_flight(self) -> int:
        """Return the requests that are being read, worked on or answered."""
        return max(len(self.works), len(self.server.in_flight))

    def models(self, declarations: Declarations) -> set[str]:
        """Return the models that callers may ask for."""
        if declarations.models:
            return set(declarations.models)
        return self.peers.targets() - declarations.services.keys()

    def knows_model(self, name: str, declarations: Declarations) -> bool:
        """Tell whether a model exists, as far as this process can know."""
        if declarations.models:
            return name in declarations.models
        known = self.models(declarations)
        return name in known or not known

    def serves_undeclared(self, name: str, declarations: Declarations) -> bool:
        """Tell whether a service may be called although none is declared."""
        return not declarations.services and name in self.peers.targets()
