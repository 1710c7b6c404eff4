"""Faults that a soak injects into the processes of a fleet."""

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
"""Longest wait for a stand-in to take a fault, in seconds."""

POLL_SECONDS = 0.05
"""Time between two looks at a process, in seconds."""

READY_SECONDS = 15
"""Longest wait until a process that was started again is ready, in seconds."""

DRAIN_SECONDS = 30
"""Longest wait for a process to end after SIGTERM, in seconds."""

EVERY_PROCESS = "*"
"""Process of an outage that concerns the configuration of all."""


@dataclass(slots=True, kw_only=True)
class FaultyFleet:
    """A fleet, the forwarders to its endpoints, and the outages so far.

    Parameters
    ----------
    processes : list of FleetProcess
        Every process.
    forwarders : dict of str to Forwarder
        Forwarder to the stream address of each endpoint process.
    declarations : str
        Text that is published again and again.
    clock : Clock
        Clock of the run.
    """

    processes: list[FleetProcess]
    forwarders: dict[str, Forwarder]
    declarations: str
    clock: Clock
    outages: list[Outage] = field(default_factory=list)
    published: int = 0

    def of_role(self, *roles: str) -> list[FleetProcess]:
        """Return the processes of some roles."""
        return [one for one in self.processes if one.role in roles]

    def now(self) -> float:
        """Return the time in Unix seconds."""
        return self.clock().timestamp()

    def note_outage(
        self, process: FleetProcess | None, start: float, *, is_graceful: bool = False
    ) -> None:
        """Note an outage that ends now."""
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

    def endpoint_of(self, runner: FleetProcess) -> FleetProcess:
        """Return the endpoint process beside an engine or a plain service."""
        name = runner.name.replace("engine-", "endpoint-")
        name = name.replace("service-", "service-endpoint-")
        return next(one for one in self.processes if one.name == name)


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


async def _start_again(process: FleetProcess) -> None:
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


async def kill(fleet: FaultyFleet, process: FleetProcess, hold_s: float) -> None:
    """Kill a process and start it again."""
    start = fleet.now()
    os.kill(process.pid, signal.SIGKILL)
    await _wait_until(lambda: not is_alive(process), DRAIN_SECONDS)
    await asyncio.sleep(hold_s)
    await _start_again(process)
    fleet.note_outage(process, start)


async def shut_down(fleet: FaultyFleet, process: FleetProcess, hold_s: float) -> None:
    """Have a process shut down gracefully and start it again."""
    start = fleet.now()
    os.kill(process.pid, signal.SIGTERM)
    await _wait_until(lambda: not is_alive(process), DRAIN_SECONDS)
    await asyncio.sleep(hold_s)
    await _start_again(process)
    fleet.note_outage(process, start, is_graceful=True)


async def stop(fleet: FaultyFleet, process: FleetProcess, hold_s: float) -> None:
    """Stop a process and let it wake late."""
    start = fleet.now()
    os.kill(process.pid, signal.SIGSTOP)
    await asyncio.sleep(hold_s)
    os.kill(process.pid, signal.SIGCONT)
    fleet.note_outage(process, start)


async def cut(fleet: FaultyFleet, process: FleetProcess, hold_s: float) -> None:
    """Close the streams of an endpoint process; new ones work."""
    await asyncio.to_thread(fleet.forwarders[process.name].close_connections)


async def silence(fleet: FaultyFleet, process: FleetProcess, hold_s: float) -> None:
    """Have the streams of an endpoint process lose all bytes; new ones work."""
    await asyncio.to_thread(fleet.forwarders[process.name].silence)
    await asyncio.sleep(hold_s)


async def part(fleet: FaultyFleet, process: FleetProcess, hold_s: float) -> None:
    """Part an endpoint process from all entries."""
    start = fleet.now()
    forwarder = fleet.forwarders[process.name]
    await asyncio.to_thread(forwarder.start_partition)
    await asyncio.sleep(hold_s)
    await asyncio.to_thread(forwarder.end_partition)
    fleet.note_outage(process, start)


def _standin_fault(*, is_outage: bool, **faults):
    healed = {name: 1 if name == "slow" else False for name in faults}

    async def inject(fleet: FaultyFleet, process: FleetProcess, hold_s: float) -> None:
        start = fleet.now()
        await _set_faults(process, **faults)
        await asyncio.sleep(hold_s)
        await _set_faults(process, **healed)
        if is_outage and process.role in ("engine", "service"):
            fleet.note_outage(fleet.endpoint_of(process), start)
        elif is_outage and process.role == "configuration":
            fleet.note_outage(None, start)

    return inject


async def publish(fleet: FaultyFleet, process: FleetProcess, hold_s: float) -> None:
    """Publish a revision."""
    fleet.published += 1
    text = f"{fleet.declarations}\n[workspace soak-{fleet.published}]\n"
    await _post(f"{process.url}/standin/publish", text.encode())


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """One kind of fault.

    Parameters
    ----------
    name : str
        Its name in the soak's record.
    roles : tuple of str
        Roles of the processes that it is injected into.
    inject : callable
        Injects it, holds it for some seconds and heals it.
    """

    name: str
    roles: tuple[str, ...]
    inject: Callable

    def targets(self, fleet: FaultyFleet, busy: set[str]) -> list[FleetProcess]:
        """Return the processes that it may be injected into now."""
        return [one for one in fleet.of_role(*self.roles) if one.name not in busy]


DAEMONS = ("entry", "endpoint")

FAULTS = (
    Fault(name="killed", roles=DAEMONS, inject=kill),
    Fault(name="shut down", roles=DAEMONS, inject=shut_down),
    Fault(name="stopped", roles=DAEMONS, inject=stop),
    Fault(name="streams cut", roles=("endpoint",), inject=cut),
    Fault(name="streams silent", roles=("endpoint",), inject=silence),
    Fault(name="parted", roles=("endpoint",), inject=part),
    Fault(
        name="slow",
        roles=("engine", "service"),
        inject=_standin_fault(is_outage=False, slow=5),
    ),
    Fault(
        name="silent",
        roles=("engine", "service"),
        inject=_standin_fault(is_outage=True, silent=True),
    ),
    Fault(
        name="refuses",
        roles=("engine", "service"),
        inject=_standin_fault(is_outage=True, refuse=True),
    ),
    Fault(
        name="down",
        roles=("configuration", "hosts"),
        inject=_standin_fault(is_outage=True, refuse=True),
    ),
    Fault(
        name="stale",
        roles=("configuration",),
        inject=_standin_fault(is_outage=True, stale=True),
    ),
    Fault(name="published", roles=("configuration",), inject=publish),
)
"""Every kind of fault."""


def choose(
    fleet: FaultyFleet, busy: set[str], random_source: Random
) -> tuple[Fault, FleetProcess]:
    """Choose a fault and a process that has none."""
    fault = random_source.choice([one for one in FAULTS if one.targets(fleet, busy)])
    return fault, random_source.choice(fault.targets(fleet, busy))
