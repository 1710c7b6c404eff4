"""The entry process: its tasks, readiness and graceful shutdown."""

import asyncio
from datetime import datetime, timedelta
from random import Random

from tornado.httputil import split_host_and_port

from ..clock import Clock
from ..configuration import RevisionStore
from ..declarations import Declarations
from ..hosts import HostView
from ..intake import Account, Kind, unlimited_account
from ..links import Identity
from ..observability import emit
from ..settings import Settings
from ..sockets import bind_listeners
from .callers import make_application
from .events import DRAIN_ENDED, DRAIN_STARTED
from .handling import CallerHandler
from .limits import CALLER_POLICY
from .peer_set import PeerSet
from .router import Router
from .server import CallerServer
from .status import EntryStatus, peer_status

__all__ = ["EntryProcess"]

MAX_HEADER_BYTES = 32 * 1024
"""Largest request line and headers of a request, in bytes."""

BODY_TIMEOUT = timedelta(seconds=10)
"""Timeout for receiving a request body."""

IDLE_TIMEOUT = timedelta(seconds=60)
"""Timeout for receiving the request head on an open connection."""

READINESS_DELAY = timedelta(seconds=1)
"""Time for which the process reports not ready before it stops listening."""

FINAL_ANSWER_TIME = timedelta(seconds=0.5)
"""Time allowed for writing the answers to requests that can't be completed."""

DRAIN_POLL_INTERVAL = timedelta(seconds=0.05)
"""Interval between checks for requests in flight during a drain."""


class EntryProcess:
    """Accepts callers' requests and routes them to endpoints.

    Parameters
    ----------
    settings : Settings
        Settings of this process.
    identity : Identity
        Identity of this incarnation of the process.
    revisions : RevisionStore
        Source of the current declarations.
    hosts : HostView
        The platform's list of hosts.
    clock : Clock
        The process's clock.
    random_source : random.Random, optional
        Source of all randomness in routing.
    account : Account, optional
        Memory and descriptors that connections may hold; unlimited by default.

    Attributes
    ----------
    peers : PeerSet
        Endpoint processes and the streams to them.
    request_tasks : set of asyncio.Task
        One task for each request that is being processed.
    handlers : set of CallerHandler
        Handlers of the requests for which an answer is awaited.
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
        account: Account | None = None,
    ):
        self.account = account or unlimited_account(clock)
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
        self.request_tasks: set[asyncio.Task] = set()
        self.handlers: set[CallerHandler] = set()
        self.is_draining = False
        self.server: CallerServer | None = None

    def start(self) -> None:
        """Open streams to endpoints and listen for callers."""
        self.peers.start()
        host, port = split_host_and_port(self.settings.listen.callers)
        self.server = CallerServer.make(
            make_application(self),
            account=self.account,
            kind=Kind.CALLER,
            policy=CALLER_POLICY,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT.total_seconds(),
            idle_connection_timeout=IDLE_TIMEOUT.total_seconds(),
        )
        self.server.add_sockets(bind_listeners(port, host))

    def is_ready(self) -> bool:
        """Return whether the process accepts requests and a peer is usable."""
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
        """Stop accepting requests and finish those in flight, within the drain limit.

        Requests that are not finished by then are answered with an error.

        Returns
        -------
        int
            Number of requests that were not finished.
        """
        if self.is_draining:
            return self.in_flight()
        self.is_draining = True
        emit(DRAIN_STARTED, in_flight=self.in_flight())
        limit = self.settings.fleet.drain_limit
        until = self.clock() + limit
        await asyncio.sleep(min(READINESS_DELAY, limit).total_seconds())
        self.server.disable_keep_alive()
        self.server.stop()
        await self._wait_for_requests(until)
        unfinished_count = self.in_flight()
        for handler in tuple(self.handlers):
            handler.stop()
        await self._wait_for_requests(self.clock() + FINAL_ANSWER_TIME)
        emit(DRAIN_ENDED, left=unfinished_count)
        for task in self.request_tasks:
            task.cancel()
        await self.server.close_all_connections()
        self.peers.stop()
        return unfinished_count

    async def _wait_for_requests(self, until: datetime) -> None:
        """Wait until no request is in flight, until a time at the latest."""
        while self.in_flight() and self.clock() < until:
            await asyncio.sleep(DRAIN_POLL_INTERVAL.total_seconds())

    def in_flight(self) -> int:
        """Return the number of requests being received, processed or answered."""
        return max(len(self.request_tasks), len(self.server.in_flight))

    def models(self, declarations: Declarations) -> set[str]:
        """Return the names of the models that callers may request."""
        if declarations.models:
            return set(declarations.models)
        return self.peers.targets() - declarations.services.keys()

    def is_model_known(self, name: str, declarations: Declarations) -> bool:
        """Return whether a model exists.

        While no model is declared or served by a known endpoint, every name is
        accepted.
        """
        if declarations.models:
            return name in declarations.models
        served = self.models(declarations)
        return name in served or not served

    def is_undeclared_service(self, name: str, declarations: Declarations) -> bool:
        """Return whether an endpoint serves a service and no service is declared."""
        return not declarations.services and name in self.peers.targets()
