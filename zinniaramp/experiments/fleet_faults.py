"""Faults that a soak test injects into the processes of a fleet."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import psutil

from ..clock import Clock
from ..history import Outage
from ..standins.fleet import FleetProcess, is_alive
from ..standins.forwarder import Forwarder

__all__ = ["FAULTS", "Fault", "FaultyFleet"]

HTTP_TIMEOUT_SECONDS = 5
"""Timeout of a control request to a stand-in, in seconds."""

POLL_SECONDS = 0.05
"""Interval at which the state of a process is polled, in seconds."""

READY_SECONDS = 15
"""Longest wait until a restarted process is ready, in seconds."""

EXIT_SECONDS = 30
"""Longest wait for a process to exit after a signal, in seconds."""

EVERY_PROCESS = "*"
"""Process name in an outage of the configuration, which affects every process."""


@dataclass(slots=True, kw_only=True)
class FaultyFleet:
    """A fleet under fault injection, with a record of its outages.

    Parameters
    ----------
    processes : list of FleetProcess
        All processes of the fleet.
    forwarders : dict of str to Forwarder
        Forwarder to the stream address of each endpoint process, by process name.
    declarations : str
        Text of the declarations; each published revision appends a workspace.
    clock : Clock
        Clock of the run.
    outages : list of Outage
        Outages that have ended.
    published : int
        Number of revisions published.
    """

    processes: list[FleetProcess]
    forwarders: dict[str, Forwarder]
    declarations: str
    clock: Clock
    outages: list[Outage] = field(default_factory=list)
    published: int = 0

    def in_roles(self, *roles: str) -> list[FleetProcess]:
        """Return the processes that have one of the given roles."""
        return [process for process in self.processes if process.role in roles]

    def now(self) -> float:
        """Return the current time in Unix seconds."""
        return self.clock().timestamp()

    def record_outage(
        self, process: FleetProcess | None, start: float, *, is_graceful: bool = False
    ) -> None:
        """Record an outage that ends now.

        Parameters
        ----------
        process : FleetProcess or None
            Process that was out of service; None if the configuration was.
        start : float
            Start of the outage in Unix seconds.
        is_graceful : bool
            Whether the process shut down gracefully.
        """
        url = process.url if process and process.role == "entry" else ""
        self.outages.append(
            Outage(
                process=process.name if process else EVERY_PROCESS,
                url=url,
                start=start,
                end=self.now(),
                is_graceful=is_graceful,
            )
        )

    def endpoint_for(self, server: FleetProcess) -> FleetProcess:
        """Return the endpoint process in front of an engine or a plain service."""
        name = server.name.replace("engine-", "endpoint-")
        name = name.replace("service-", "service-endpoint-")
        return next(process for process in self.processes if process.name == name)


async def _post(url: str, body: bytes) -> None:
    def send():
        urllib.request.urlopen(url, body, timeout=HTTP_TIMEOUT_SECONDS).close()

    await asyncio.to_thread(send)


async def _set_faults(process: FleetProcess, **faults) -> None:
    await _post(f"{process.url}/standin/faults", json.dumps(faults).encode())


def _is_ready(process: FleetProcess) -> bool:
    try:
        urllib.request.urlopen(process.ready_url, timeout=1).close()
    except OSError:
        return False
    return True


async def _wait_until(condition: Callable[[], bool], seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while not await asyncio.to_thread(condition):
            await asyncio.sleep(POLL_SECONDS)


async def _restart(process: FleetProcess) -> None:
    with Path(process.log).open("a") as output:
        started = subprocess.Popen(
            [sys.executable, "-m", "zinniaramp.daemon", process.settings],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            start_new_session=True,
        )
    process.pid = started.pid
    process.created = psutil.Process(started.pid).create_time()
    await _wait_until(lambda: _is_ready(process), READY_SECONDS)


async def kill(fleet: FaultyFleet, process: FleetProcess, duration_s: float) -> None:
    """Kill a process with SIGKILL and restart it after ``duration_s`` seconds."""
    start = fleet.now()
    os.kill(process.pid, signal.SIGKILL)
    await _wait_until(lambda: not is_alive(process), EXIT_SECONDS)
    await asyncio.sleep(duration_s)
    await _restart(process)
    fleet.record_outage(process, start)


async def shut_down(
    fleet: FaultyFleet, process: FleetProcess, duration_s: float
) -> None:
    """Shut a process down with SIGTERM and restart it after ``duration_s`` seconds."""
    start = fleet.now()
    os.kill(process.pid, signal.SIGTERM)
    await _wait_until(lambda: not is_alive(process), EXIT_SECONDS)
    await asyncio.sleep(duration_s)
    await _restart(process)
    fleet.record_outage(process, start, is_graceful=True)


async def stop(fleet: FaultyFleet, process: FleetProcess, duration_s: float) -> None:
    """Suspend a process with SIGSTOP for ``duration_s`` seconds."""
    start = fleet.now()
    os.kill(process.pid, signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    os.kill(process.pid, signal.SIGCONT)
    fleet.record_outage(process, start)


async def close_streams(
    fleet: FaultyFleet, process: FleetProcess, duration_s: float
) -> None:
    """Close the streams of an endpoint process; new streams are not affected."""
    await asyncio.to_thread(fleet.forwarders[process.name].close_connections)


async def silence(fleet: FaultyFleet, process: FleetProcess, duration_s: float) -> None:
    """Drop all bytes on the open streams of an endpoint process; new ones work."""
    await asyncio.to_thread(fleet.forwarders[process.name].silence)
    await asyncio.sleep(duration_s)


async def partition(
    fleet: FaultyFleet, process: FleetProcess, duration_s: float
) -> None:
    """Partition an endpoint process from all entry processes."""
    start = fleet.now()
    forwarder = fleet.forwarders[process.name]
    await asyncio.to_thread(forwarder.start_partition)
    await asyncio.sleep(duration_s)
    await asyncio.to_thread(forwarder.end_partition)
    fleet.record_outage(process, start)


def _make_standin_fault(*, is_outage: bool, **faults):
    cleared = {name: 1 if name == "slow" else False for name in faults}

    async def inject(
        fleet: FaultyFleet, process: FleetProcess, duration_s: float
    ) -> None:
        start = fleet.now()
        await _set_faults(process, **faults)
        await asyncio.sleep(duration_s)
        await _set_faults(process, **cleared)
        if is_outage and process.role in ("engine", "service"):
            fleet.record_outage(fleet.endpoint_for(process), start)
        elif is_outage and process.role == "configuration":
            fleet.record_outage(None, start)

    return inject


async def publish(fleet: FaultyFleet, process: FleetProcess, duration_s: float) -> None:
    """Publish a revision of the declarations that adds one workspace."""
    fleet.published += 1
    text = f"{fleet.declarations}\n[workspace soak-{fleet.published}]\n"
    await _post(f"{process.url}/standin/publish", text.encode())


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """One kind of fault.

    Parameters
    ----------
    name : str
        Name in the output of the soak test.
    roles : tuple of str
        Roles of the processes that the fault applies to.
    inject : callable
        Coroutine function of the fleet, the process and the duration in seconds.  It
        injects the fault and clears it after that time.
    """

    name: str
    roles: tuple[str, ...]
    inject: Callable

    def targets(self, fleet: FaultyFleet, busy: set[str]) -> list[FleetProcess]:
        """Return the processes that can have this fault; those in ``busy`` have one."""
        return [
            process
            for process in fleet.in_roles(*self.roles)
            if process.name not in busy
        ]


DAEMONS = ("entry", "endpoint")

FAULTS = (
    Fault(name="killed", roles=DAEMONS, inject=kill),
    Fault(name="shut down", roles=DAEMONS, inject=shut_down),
    Fault(name="suspended", roles=DAEMONS, inject=stop),
    Fault(name="streams closed", roles=("endpoint",), inject=close_streams),
    Fault(name="streams silent", roles=("endpoint",), inject=silence),
    Fault(name="partitioned", roles=("endpoint",), inject=partition),
    Fault(
        name="slow",
        roles=("engine", "service"),
        inject=_make_standin_fault(is_outage=False, slow=5),
    ),
    Fault(
        name="silent",
        roles=("engine", "service"),
        inject=_make_standin_fault(is_outage=True, silent=True),
    ),
    Fault(
        name="refuses",
        roles=("engine", "service"),
        inject=_make_standin_fault(is_outage=True, refuse=True),
    ),
    Fault(
        name="down",
        roles=("configuration", "hosts"),
        inject=_make_standin_fault(is_outage=True, refuse=True),
    ),
    Fault(
        name="stale",
        roles=("configuration",),
        inject=_make_standin_fault(is_outage=True, stale=True),
    ),
    Fault(name="published", roles=("configuration",), inject=publish),
)
"""All kinds of fault that a soak test chooses from."""


def choose_fault(
    fleet: FaultyFleet, busy: set[str], random_source: Random
) -> tuple[Fault, FleetProcess]:
    """Choose a random fault and a process that has no fault at present."""
    fault = random_source.choice(
        [candidate for candidate in FAULTS if candidate.targets(fleet, busy)]
    )
    return fault, random_source.choice(fault.targets(fleet, busy))
