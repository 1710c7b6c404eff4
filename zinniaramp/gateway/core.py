"""The gateway process: listeners, readiness and graceful shutdown."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..intake import Kind
from ..listeners import Intake, serve_application
from ..locality import DEFAULT_PRICE
from ..observability import emit
from ..peers import PeerMesh
from ..registry import Registry
from ..sockets import Address, bind_listeners
from ..warmup import ColdBounds
from .cached_segments import CachedSegmentLoader
from .events import (
    CONFIGURATION_AWAITED,
    GATEWAY_STARTED,
    GATEWAY_STOPPED,
    GATEWAY_STOPPING,
)
from .messages import HeaderCodec
from .metrics import (
    COLD,
    CONFIGURATION,
    EVACUATED,
    HELD,
    IN_FLIGHT,
    INTAKE,
    LIMITED,
    QUARANTINED,
    make_metrics,
)
from .peer_events import PeerEvents
from .pool import EndpointPool, RetryLimits
from .readiness import make_readiness
from .resumption import StreamResumption
from .segment_search import ReadCachedSegments, SegmentSearch
from .server import CallerServer

__all__ = ["Gateway", "GatewaySettings"]

IDLE_CLOSE_DELAY = timedelta(seconds=2.5)
"""Time from the stop signal until idle connections are closed.  The load balancer stops
opening connections after two failed health checks, which are a second apart."""

REFUSAL_DELAY = timedelta(milliseconds=400)
"""Time from closing idle connections until new requests are refused.  A request that
arrives more than 3 s after the stop signal could not be completed."""

CONFIGURATION_TIMEOUT = timedelta(milliseconds=500)
"""Longest time that a starting process waits for a configuration before it accepts
requests.  The store answers in about 4 ms, and callers consider a request lost if it
is not read within a second."""

ANSWER_FLUSH_TIME = timedelta(milliseconds=50)
"""Time allowed for the last answers to leave the host's socket buffers."""

FINAL_ANSWER_TIME = timedelta(milliseconds=100)
"""Time allowed for writing the answers to requests that can't be completed."""

EXIT_MARGIN = timedelta(milliseconds=400)
"""Time before the end of the grace period at which requests in flight are ended."""

MIN_GATEWAY_COUNT = 8
"""Smallest number of gateway processes among which the retry slack is divided.
Deployments have five, and spare hosts for three more; a network partition may hide some
of them."""


@dataclass(slots=True, kw_only=True, frozen=True)
class GatewaySettings:
    """Settings of a gateway process.

    Parameters
    ----------
    host, data_center : str
        Names of the host and its data centre.
    callers, readiness, peers, metrics : Address
        Addresses to listen on for callers' requests, health checks, other gateway
        processes, and metrics.
    seeds : tuple of Address
        Peer addresses of other gateway processes to contact first.
    grace : timedelta
        Time from the stop signal until the process is killed.
    retry_share, retry_slack : float
        Retry budget of all gateway processes together: in each window they may make
        `retry_share` retries per request plus `retry_slack` retries.
    retry_window : timedelta
        Length of the retry budget's window.
    cold_bounds : ColdBounds
        Bounds on the requests to a cold endpoint, from all gateway processes together.
    regions : mapping of str
        Region of each data centre.
    memory_mb, max_fds : float or None
        Memory in MiB and descriptors of the host; None if they are not limited.
    link_mbps : float or None
        Rate of the host's link in Mbit/s; None if it is not known.
    transfer_price : float
        Price of 1,000 bytes between data centres, in milliseconds of waiting.
    holds_prompts : bool
        Whether prompts wait in the gateway while engines lack room for them.
    """

    host: str
    data_center: str
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    seeds: tuple[Address, ...]
    grace: timedelta
    retry_share: float
    retry_slack: float
    retry_window: timedelta
    cold_bounds: ColdBounds = ColdBounds()
    regions: Mapping[str, str] = field(default_factory=dict)
    memory_mb: float | None = None
    max_fds: float | None = None
    link_mbps: float | None = None
    transfer_price: float = DEFAULT_PRICE
    holds_prompts: bool = False


class Gateway:
    """A gateway process: its listeners, state and lifecycle.

    Parameters
    ----------
    settings : GatewaySettings
        Settings in force; replaced on reload.
    registry : Registry
        Known endpoints and configuration.
    codec : HeaderCodec
        Functions that read and write the platform's headers.
    clock : Clock
        The process's clock.
    random : Random
        Source of jitter and tie-breaking.
    read_cached_segments : callable
        Reads the prompt segments in an engine's KV cache.
    read_history : callable
        Lets the registry learn which versions served before this process started.
    wait_until_current : callable
        Returns whether the registry has everything that the store had at the call.

    Attributes
    ----------
    settings_problem : str
        Error in the settings file while the previous settings stay in force; else
        empty.
    configured : asyncio.Event
        Set once a configuration is known.
    serving : asyncio.Task or None
        Waits for a configuration and then starts accepting callers' requests.
    pool : EndpointPool
        Endpoints, load and retry budgets that all requests share.
    callers : CallerServer
        Listener for callers' requests.
    mesh : PeerMesh
        Connections to the other gateway processes.
    intake : Intake
        Account of the memory and descriptors that connections hold.
    segment_loader : CachedSegmentLoader
        Reads the contents of the engines' KV caches after the start.
    is_stopping : bool
        Whether the stop signal was received.
    """

    __slots__ = (
        "settings",
        "registry",
        "clock",
        "pool",
        "callers",
        "mesh",
        "intake",
        "segment_loader",
        "is_stopping",
        "settings_problem",
        "configured",
        "serving",
    )

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        registry: Registry,
        codec: HeaderCodec,
        clock: Clock,
        random: Random,
        read_cached_segments: ReadCachedSegments,
        read_history: Callable[[], Awaitable[None]],
        wait_until_current: Callable[[], Awaitable[bool]],
    ):
        self.settings = settings
        self.registry = registry
        self.clock = clock
        self.is_stopping = False
        self.settings_problem = ""
        self.configured = asyncio.Event()
        self.serving: asyncio.Task | None = None
        self.pool = EndpointPool(
            registry=registry,
            codec=codec,
            limits=self._retry_limits,
            visible_share=lambda: self.mesh.visible_share,
            data_center=settings.data_center,
            own_address=str(settings.peers),
            members=lambda: self.mesh.members(),
            cold_bounds=lambda: self.settings.cold_bounds,
            regions=lambda: self.settings.regions,
            transfer_price=lambda: self.settings.transfer_price,
            holds_prompts=lambda: self.settings.holds_prompts,
            clock=clock,
            random=random,
        )
        self.intake = Intake(
            clock=clock,
            metrics=INTAKE,
            memory_mb=settings.memory_mb,
            max_fds=settings.max_fds,
        )
        self.callers = CallerServer(
            pool=self.pool, account=self.intake.account, clock=clock
        )
        peer_events = PeerEvents(pool=self.pool)
        self.mesh = PeerMesh(
            own_address=settings.peers,
            data_center=settings.data_center,
            seeds=settings.seeds,
            registry=registry,
            on_load_event=peer_events.apply,
            current_events=peer_events.current,
            find_origin=lambda key: self.pool.resumption.find_known(key),
            random=random,
            link_mbps=settings.link_mbps,
        )
        self.mesh.server.account = self.intake.account
        self.pool.resumption = StreamResumption(
            registry=registry,
            clock=clock,
            broadcast=self.mesh.broadcast,
            ask_peers=self.mesh.origin_requests.find,
            search=SegmentSearch(
                registry=registry,
                restrictions=self.pool.restrictions,
                read_cached_segments=read_cached_segments,
                clock=clock,
            ),
            read_history=read_history,
            wait_until_current=wait_until_current,
        )
        self.pool.broadcast = self.mesh.broadcast
        self.segment_loader = CachedSegmentLoader(
            pool=self.pool, read_cached_segments=read_cached_segments
        )
        registry.on_change.append(self._apply_registry_change)

    def start(self, listener: socket.socket | None = None) -> None:
        """Open the listeners; accept requests once a configuration is known.

        Parameters
        ----------
        listener : socket.socket, optional
            Socket that already listens for callers; a new one is bound by default.
        """
        callers, readiness = self.settings.callers, self.settings.readiness
        opened = [listener] if listener else bind_listeners(callers.port, callers.ip)
        self.serving = asyncio.create_task(self._serve(opened))
        readiness_app = make_readiness(self.unready_reason, self.list_problems)
        account = self.intake.account
        serve_application(
            readiness_app,
            account=account,
            kind=Kind.READINESS,
            port=readiness.port,
            ip=readiness.ip,
        )
        metrics = self.settings.metrics
        serve_application(
            make_metrics(),
            account=account,
            kind=Kind.METRICS,
            port=metrics.port,
            ip=metrics.ip,
        )
        self.intake.start()
        IN_FLIGHT.set_function(lambda: len(self.callers.tasks))
        HELD.set_function(lambda: len(self.pool.holder.waiting))
        quarantine = self.pool.crash_watch.quarantine
        QUARANTINED.set_function(lambda: len(quarantine.active()))
        shared_limits = self.pool.restrictions.shared_limits
        LIMITED.set_function(lambda: len(shared_limits.limits))
        COLD.set_function(lambda: len(self.pool.restrictions.cold_names()))
        EVACUATED.set_function(lambda: len(self.registry.evacuations.data_centers))
        self.mesh.start()
        emit(
            GATEWAY_STARTED,
            host=self.settings.host,
            data_center=self.settings.data_center,
            callers=str(callers),
        )

    def apply_host_limits(self) -> None:
        """Apply the limits of the host after the settings have changed."""
        settings = self.settings
        self.intake.apply(memory_mb=settings.memory_mb, max_fds=settings.max_fds)

    async def _serve(self, listeners: list[socket.socket]) -> None:
        """Accept requests once a configuration is known or the wait times out."""
        try:
            async with asyncio.timeout(CONFIGURATION_TIMEOUT.total_seconds()):
                await self.configured.wait()
        except TimeoutError:
            emit(CONFIGURATION_AWAITED)
        self.callers.serve(listeners)

    def unready_reason(self) -> str:
        """Return why the process is not ready; empty if it is ready."""
        if self.is_stopping:
            return "stopping"
        if self.registry.configuration is None:
            return "no configuration yet"
        return ""

    def list_problems(self) -> list[str]:
        """Return the errors in the settings file and in published items."""
        settings = [self.settings_problem] if self.settings_problem else []
        return settings + list(self.registry.refused.values())

    async def stop(self) -> None:
        """Shut down gracefully within the grace period.

        Idle connections are closed once the load balancer has stopped opening new
        ones; then new requests are refused, and requests in flight are completed.
        Those that are not completed in time get an answer that says so.
        """
        stop_began_at = self.clock()
        self.is_stopping = True
        emit(GATEWAY_STOPPING, in_flight=len(self.callers.tasks))
        self.callers.disable_keep_alive()
        await asyncio.sleep(IDLE_CLOSE_DELAY.total_seconds())
        self.callers.close_idle()
        await asyncio.sleep(REFUSAL_DELAY.total_seconds())
        self.callers.refuse_new_requests()
        self.pool.holder.refuse_all()
        self.callers.close_idle()
        left = self.settings.grace - EXIT_MARGIN - (self.clock() - stop_began_at)
        remaining = await self.callers.finish(left)
        await self.callers.end_unfinished(FINAL_ANSWER_TIME)
        self.callers.close_idle()
        await asyncio.sleep(ANSWER_FLUSH_TIME.total_seconds())
        after = (self.clock() - stop_began_at).total_seconds()
        emit(GATEWAY_STOPPED, left=remaining, after_s=after)
        self.mesh.stop()
        self.intake.stop()
        await self.callers.close()

    def _apply_registry_change(self) -> None:
        self.pool.placement.keep(self.registry.incarnations)
        self.pool.locality.keep(self.registry.incarnations)
        self.pool.holder.apply_endpoints(self.registry.incarnations)
        self.pool.restrictions.keep(tuple(self.registry.incarnations))
        self.pool.gone_watch.apply_endpoints()
        self.pool.resumption.update_mixed_services()
        self.mesh.announce_revision()
        if self.registry.configuration is not None:
            self.configured.set()
            self.callers.apply_limits(self.registry.configuration.limits)
            CONFIGURATION.set(self.registry.configuration.version)
        self.segment_loader.query_new_engines()

    def _retry_limits(self) -> RetryLimits:
        entries = max(MIN_GATEWAY_COUNT, self.mesh.entry_count)
        return RetryLimits(
            share=self.settings.retry_share,
            slack=self.settings.retry_slack / entries,
            window=self.settings.retry_window,
        )
