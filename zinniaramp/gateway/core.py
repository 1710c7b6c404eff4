"""The gateway process: listeners, readiness and shutdown."""

import asyncio
import socket
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from tornado.netutil import bind_sockets

from ..clock import Clock
from ..observability import emit
from ..peers import PeerMesh
from ..registry import Registry
from ..sockets import Address
from .events import (
    CONFIGURATION_AWAITED,
    GATEWAY_STARTED,
    GATEWAY_STOPPED,
    GATEWAY_STOPPING,
)
from .holdings import HoldingsLearner, ReadHeld
from .messages import Wire
from .metrics import CONFIGURATION, IN_FLIGHT, make_metrics
from .pool import EndpointPool, RetryLimits
from .readiness import make_readiness
from .server import CallerServer

__all__ = ["Gateway", "GatewaySettings"]

LISTEN_ON = timedelta(seconds=2.5)
"""Time after the signal to stop until idle connections are closed: the balancer takes
two misses, a second apart, until it sends no new ones."""

SERVE_ON = timedelta(milliseconds=400)
"""Time after idle connections were closed in which requests are still served; one
that comes later than 3 s after the signal could not be finished."""

FIRST_CONFIGURATION = timedelta(milliseconds=500)
"""Longest time that callers wait for a starting process to learn a configuration; the
store answers in some 4 ms, and callers take a request that is not read within a second
for lost."""

LAST_ANSWERS = timedelta(milliseconds=50)
"""Time for the last answers to leave the host."""

EXIT_MARGIN = timedelta(milliseconds=400)
"""Time before the end of the grace period at which the process exits."""

ENTRIES_ASSUMED = 8
"""Entries that share the slack for repeats at least; deployments have five, and spare
hosts for three more, which a cut may hide."""


@dataclass(slots=True, kw_only=True, frozen=True)
class GatewaySettings:
    """Settings of the gateway.

    Parameters
    ----------
    host, data_center : str
        Names of the host and its data centre.
    callers, readiness, peers, metrics : Address
        Listeners.
    seeds : tuple of Address
        Other entries to begin with.
    grace : timedelta
        Time from the signal to stop until the process is killed.
    retry_share, retry_slack : float
        Repeats that all entries together may make in a window: a share of the
        requests, and a number beside it.
    retry_window : timedelta
        Length of that window.
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


class Gateway:
    """One entry process.

    Parameters
    ----------
    settings : GatewaySettings
        Settings; replaced when they are read again.
    registry : Registry
        Endpoints and configuration.
    wire : Wire
        The platform's headers.
    clock : Clock
        The process's clock.
    random : Random
        Source of jitter.
    read_held : callable
        Asks an engine what it holds.

    Attributes
    ----------
    settings_problem : str
        What is wrong with the settings file, while older settings are in force.
    configured : asyncio.Event
        Set once a configuration is known.
    serving : asyncio.Task or None
        Waits for a configuration and then takes callers' requests.
    """

    __slots__ = (
        "settings",
        "registry",
        "clock",
        "pool",
        "callers",
        "mesh",
        "holdings",
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
        wire: Wire,
        clock: Clock,
        random: Random,
        read_held: ReadHeld,
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
            wire=wire,
            limits=self._retry_limits,
            data_center=settings.data_center,
            clock=clock,
            random=random,
        )
        self.callers = CallerServer(pool=self.pool, clock=clock)
        self.mesh = PeerMesh(
            own_address=settings.peers,
            seeds=settings.seeds,
            registry=registry,
            on_load_event=self.pool.note_peer,
            random=random,
        )
        self.pool.tell = self.mesh.broadcast
        self.holdings = HoldingsLearner(pool=self.pool, read_held=read_held)
        registry.on_change.append(self._note_registry)

    def start(self, listener: socket.socket | None = None) -> None:
        """Open the listeners; callers are served once a configuration is known.

        Parameters
        ----------
        listener : socket.socket, optional
            Callers' listener, if it has been opened.
        """
        callers, readiness = self.settings.callers, self.settings.readiness
        opened = [listener] if listener else bind_sockets(callers.port, callers.ip)
        self.serving = asyncio.create_task(self._serve(opened))
        checks = make_readiness(self.why_not_ready, self.list_problems)
        checks.listen(readiness.port, readiness.ip)
        metrics = self.settings.metrics
        make_metrics().listen(metrics.port, metrics.ip)
        IN_FLIGHT.set_function(lambda: len(self.callers.tasks))
        self.mesh.start()
        emit(
            GATEWAY_STARTED,
            host=self.settings.host,
            data_center=self.settings.data_center,
            callers=str(callers),
        )

    async def _serve(self, listeners: list[socket.socket]) -> None:
        """Begin to take callers' requests; without a configuration, after a while."""
        try:
            async with asyncio.timeout(FIRST_CONFIGURATION.total_seconds()):
                await self.configured.wait()
        except TimeoutError:
            emit(CONFIGURATION_AWAITED)
        self.callers.serve(listeners)

    def why_not_ready(self) -> str:
        """Return what keeps the process from being ready; empty if nothing does."""
        if self.is_stopping:
            return "stopping"
        if self.registry.configuration is None:
            return "no configuration yet"
        return ""

    def list_problems(self) -> list[str]:
        """Return what was refused: the settings file, or published items."""
        settings = [self.settings_problem] if self.settings_problem else []
        return settings + list(self.registry.refused.values())

    async def stop(self) -> None:
        """Finish what is in flight, at most for the grace period."""
        began = self.clock()
        self.is_stopping = True
        emit(GATEWAY_STOPPING, in_flight=len(self.callers.tasks))
        self.callers.close_after_answers()
        await asyncio.sleep(LISTEN_ON.total_seconds())
        self.callers.close_idle()
        await asyncio.sleep(SERVE_ON.total_seconds())
        self.callers.refuse_from_now_on()
        self.callers.close_idle()
        left = self.settings.grace - EXIT_MARGIN - (self.clock() - began)
        remaining = await self.callers.finish(left)
        self.callers.close_idle()
        await asyncio.sleep(LAST_ANSWERS.total_seconds())
        after = (self.clock() - began).total_seconds()
        emit(GATEWAY_STOPPED, left=remaining, after_s=after)
        self.mesh.stop()
        await self.callers.close()

    def _note_registry(self) -> None:
        self.pool.placement.keep(self.registry.incarnations)
        self.mesh.announce_revision()
        if self.registry.configuration is not None:
            self.configured.set()
            CONFIGURATION.set(self.registry.configuration.version)
        self.holdings.look()

    def _retry_limits(self) -> RetryLimits:
        entries = max(ENTRIES_ASSUMED, self.mesh.entry_count)
        return RetryLimits(
            share=self.settings.retry_share,
            slack=self.settings.retry_slack / entries,
            window=self.settings.retry_window,
        )
