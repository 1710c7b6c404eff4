"""The gateway process: the gateway, the registry and the platform's adapter."""

import asyncio
import gc
import math
import signal
import sys
from collections.abc import Callable
from random import Random, SystemRandom

from result import Err, Ok, Result

from ..clock import monotonic_clock
from ..gateway import Gateway, GatewaySettings
from ..gateway.events import LISTENER_LATE, SETTINGS_REFUSED, SETTINGS_RELOADED
from ..gateway.metrics import STORE_AGE, STORE_LOST
from ..observability import LogWriter, configure_logging, emit
from ..platform.cached_segments import make_cached_segment_reader
from ..platform.decoder import DocumentDecoder
from ..platform.headers import make_header_codec
from ..platform.listening import EarlyListener
from ..platform.settings import HostSettings, SettingsError, read_host_settings
from ..platform.store import make_json_reader, make_store_source
from ..registry import ReadBarrier, Registry, RevisionChecker, StoreFollower
from ..sockets import Address
from ..warmup import ColdBounds
from .tasks import log_library_messages, log_uncaught_exceptions, supervise

__all__ = ["Daemon", "run_daemon"]

EXIT_USAGE = 2
"""Exit code for invalid settings."""

SETTINGS_POLL_SECONDS = 1.0
"""Polling interval of the settings file, in seconds.

The file may change without a SIGHUP.
"""

HEARTBEATS_PER_ENTRY = 3
"""Heartbeat intervals after which the store removes an entry that is not written."""

ReadSettings = Callable[[], Result[HostSettings, SettingsError]]
"""Reads and checks the settings file."""


def _make_gateway_settings(settings: HostSettings) -> GatewaySettings:
    return GatewaySettings(
        host=settings.name,
        data_center=settings.data_center,
        callers=settings.callers,
        readiness=settings.readiness,
        peers=settings.peers,
        metrics=Address(ip=settings.ip, port=settings.metrics_port),
        seeds=settings.seeds,
        grace=settings.bounds.grace,
        retry_share=settings.bounds.retry_share,
        retry_slack=settings.bounds.retry_slack,
        retry_window=settings.bounds.retry_window,
        cold_bounds=ColdBounds(
            overshoot=settings.bounds.cold_overshoot, slack=settings.bounds.cold_slack
        ),
        regions=settings.regions,
        memory_mb=settings.limits.memory_mb,
        max_fds=settings.limits.max_fds,
        link_mbps=settings.limits.link_mbps,
        transfer_price=settings.transfer_price,
        holds_prompts=settings.holds_prompts,
    )


class Daemon:
    """Connects the gateway to the platform, and runs it until a signal stops it.

    Parameters
    ----------
    settings : HostSettings
        Settings of the host.
    read_settings : callable
        Reads the settings file again.
    listener : EarlyListener, optional
        Listener for callers, opened before the imports; without it the gateway
        opens one.
    """

    __slots__ = (
        "settings",
        "read_settings",
        "clock",
        "registry",
        "follower",
        "gateway",
        "checker",
        "stopped",
        "listener",
    )

    def __init__(
        self,
        *,
        settings: HostSettings,
        read_settings: ReadSettings,
        listener: EarlyListener | None = None,
    ):
        self.settings = settings
        self.read_settings = read_settings
        self.listener = listener
        self.clock = monotonic_clock()
        random = Random(SystemRandom().getrandbits(64))
        decoder = DocumentDecoder()
        self.registry = Registry(
            decode=decoder.decode,
            prepare_items=decoder.prepare,
            lapse_grace=settings.bounds.endpoint_relist_window,
            entry_lifetime=HEARTBEATS_PER_ENTRY * settings.heartbeat,
            clock=self.clock,
        )
        self.follower = StoreFollower(
            source=make_store_source(settings.store, clock=self.clock),
            registry=self.registry,
            clock=self.clock,
            random=random,
            history_length=settings.store_history,
            has_wider_peer=lambda: self.gateway.mesh.has_wider_peer(),
        )
        barrier = ReadBarrier(
            cache=self.registry.cache,
            read_revision=self.follower.read_revision,
            large_answers=self.follower.large_answers,
        )
        STORE_LOST.set_function(
            lambda: float(self.follower.unreachable_since is not None)
        )
        STORE_AGE.set_function(self._store_age_seconds)
        self.gateway = Gateway(
            settings=_make_gateway_settings(settings),
            registry=self.registry,
            codec=make_header_codec(),
            clock=self.clock,
            random=random,
            read_cached_segments=make_cached_segment_reader(make_json_reader()),
            read_history=self.follower.read_history,
            wait_until_current=barrier.wait,
        )
        self.checker = RevisionChecker(
            follower=self.follower,
            freshness=self.registry.freshness,
            on_confirmed=self.gateway.mesh.announce_revision,
            clock=self.clock,
            random=random,
        )
        self.stopped = asyncio.Event()

    def _store_age_seconds(self) -> float:
        age = self.registry.freshness.age()
        return math.inf if age is None else age.total_seconds()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain the gateway and stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopped.set)
        loop.add_signal_handler(signal.SIGINT, self.stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.gateway.start(self.listener.socket if self.listener else None)
        tasks = [
            asyncio.create_task(supervise("store", self.follower.run)),
            asyncio.create_task(supervise("store revision", self.checker.run)),
            asyncio.create_task(supervise("settings", self._poll_settings)),
        ]
        await self.stopped.wait()
        await self.gateway.stop()
        for task in tasks:
            task.cancel()

    def reload(self) -> None:
        """Read the settings file again; keep the old settings if it is invalid."""
        match self.read_settings():
            case Err(problem):
                emit(SETTINGS_REFUSED, problem=str(problem))
                self.gateway.settings_problem = str(problem)
            case Ok(settings):
                self.gateway.settings_problem = ""
                changed = settings != self.settings
                self.settings = settings
                self.gateway.settings = _make_gateway_settings(settings)
                self.gateway.apply_host_limits()
                self.registry.lapse_grace = settings.bounds.endpoint_relist_window
                self.registry.entry_lifetime = HEARTBEATS_PER_ENTRY * settings.heartbeat
                emit(SETTINGS_RELOADED, changed=changed)

    async def _poll_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            read = self.read_settings()
            is_reported = isinstance(read, Err) and self.gateway.settings_problem
            if not is_reported and read != Ok(self.settings):
                self.reload()


async def _run(settings: HostSettings, listener: EarlyListener) -> None:
    log_uncaught_exceptions(asyncio.get_running_loop())
    if listener.problem:
        emit(LISTENER_LATE, problem=listener.problem)
    daemon = Daemon(
        settings=settings, read_settings=read_host_settings, listener=listener
    )
    gc.collect()
    gc.freeze()
    await daemon.run()


def run_daemon(listener: EarlyListener) -> None:
    """Run the gateway with the host settings that the platform provides.

    Parameters
    ----------
    listener : EarlyListener
        Listener for callers, or the reason why it could not be opened early.
    """
    configure_logging(sink=LogWriter(descriptor=sys.stdout.fileno()))
    log_library_messages()
    match read_host_settings():
        case Err(problem):
            emit(SETTINGS_REFUSED, problem=str(problem))
            sys.exit(EXIT_USAGE)
        case Ok(settings):
            asyncio.run(_run(settings, listener))
