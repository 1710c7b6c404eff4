"""Detection of endpoints' crashes by their closed and refused connections."""

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta

from result import Err

from ..clock import Clock
from ..peers import (
    CauseQuarantined,
    CauseReleased,
    EndpointCrashed,
    LoadEvent,
    RequestSurvived,
)
from ..quarantine import CrashQuarantine, Quarantine
from ..registry import Endpoint, Registry
from ..sockets import open_stream

__all__ = ["CrashWatch"]

CHECK_TIMEOUT = timedelta(milliseconds=300)
"""Timeout of the connection attempt that tells a crash from a closed connection; a
host that answers does so within 2 ms, one in another region within 100 ms."""


class CrashWatch:
    """Detects crashes of endpoints, and the prompt segments and requests behind them.

    When an endpoint has closed a connection, a connection attempt tells a crash from a
    single answer that was broken off, or a connection that was reset on its way.

    Parameters
    ----------
    registry : Registry
        Known endpoints; one that leaves is expected to end.
    clock : Clock
        The process's clock.
    broadcast : callable
        Sends a load event to the other gateway processes.

    Attributes
    ----------
    quarantine : CrashQuarantine
        Prompt segments and requests that are refused because endpoints crash under
        them.
    checks : dict of asyncio.Task
        Connection attempts in progress by the endpoint's incarnation.
    """

    __slots__ = ("registry", "clock", "broadcast", "quarantine", "checks")

    def __init__(
        self,
        *,
        registry: Registry,
        clock: Clock,
        broadcast: Callable[[LoadEvent], None],
    ):
        self.registry = registry
        self.clock = clock
        self.broadcast = broadcast
        self.quarantine = CrashQuarantine(clock=clock)
        self.quarantine.on_quarantine = self._announce_quarantine
        self.quarantine.on_release = self._announce_release
        self.quarantine.on_survival = self._announce_survival
        self.checks: dict[str, asyncio.Task] = {}

    def check(self, endpoint: Endpoint) -> None:
        """Check whether an endpoint that has just closed a connection has crashed."""
        name = endpoint.incarnation
        if name in self.checks or self._may_end(name):
            return
        if not self.registry.may_call(name):
            return
        task = asyncio.create_task(self._connect(endpoint, self.clock()))
        self.checks[name] = task
        task.add_done_callback(lambda _: self.checks.pop(name, None))

    async def _connect(self, endpoint: Endpoint, closed_at: datetime) -> None:
        opened = await open_stream(endpoint.address, timeout=CHECK_TIMEOUT)
        name = endpoint.incarnation
        if not isinstance(opened, Err):
            opened.ok_value.close()
            return
        is_crash = opened.err_value.is_refused and not self._may_end(name)
        if is_crash and self.quarantine.record_crash(name, closed_at):
            self._announce_crash(name)

    async def finish_checks(self) -> None:
        """Wait until the checks in progress have ended and a decision is due."""
        if self.checks:
            await asyncio.wait(tuple(self.checks.values()))
        decide_at = self.quarantine.decide_at
        if decide_at is not None:
            left = decide_at - self.clock()
            await asyncio.sleep(max(0.0, left.total_seconds()))

    def apply_report(self, report: EndpointCrashed) -> None:
        """Record a crash that another gateway reports.

        This gateway reports it too if it had sent requests that may be the cause.
        """
        name = report.endpoint
        is_new = self.quarantine.record_crash(name, self.clock(), report.fingerprints)
        if is_new and self.quarantine.crashes[name].own_fingerprints:
            self._announce_crash(name)

    def _may_end(self, name: str) -> bool:
        """Return whether an endpoint leaves or has left the registry."""
        is_registered = self.registry.by_incarnation(name) is not None
        return not is_registered or name in self.registry.leaving

    def _announce_crash(self, name: str) -> None:
        fingerprints = self.quarantine.crashes[name].own_fingerprints
        self.broadcast(EndpointCrashed(endpoint=name, fingerprints=fingerprints))

    def _announce_survival(self, fingerprint: str) -> None:
        self.broadcast(RequestSurvived(fingerprint=fingerprint))

    def _announce_quarantine(self, quarantine: Quarantine) -> None:
        self.broadcast(
            CauseQuarantined(
                name=quarantine.name,
                left=quarantine.until - quarantine.since,
                relapses=quarantine.relapses,
            )
        )

    def _announce_release(self, name: str) -> None:
        self.broadcast(CauseReleased(name=name))
