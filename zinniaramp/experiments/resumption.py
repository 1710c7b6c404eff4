"""Streams that break off and are resumed while two software versions serve."""

import asyncio
import signal
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from loguru import logger

from ..standins.platform import (
    GatewayProcess,
    ServerStandin,
    StoreStandin,
)
from .tables import Table, write_table

__all__ = ["measure_resumption"]

GATEWAYS = 3
SECONDS = 16.0
"""Time in which streams begin."""

RATE = 25.0
"""New streams per second."""

EVENTS = 15
EVENT_SECONDS = 0.1
DEADLINE_MS = 8000
MAX_ATTEMPTS = 5
RETRY_SECONDS = 0.2
"""Wait of a caller that could not connect or was refused."""

DRAIN_SECONDS = 0.7
"""Time for which a leaving server serves on; shorter than a stream."""

SETTLE_SECONDS = 1.0
"""Time after the start in which the gateways connect to each other."""

HOST = "films.example"
TWO_VERSIONS = ("v1", "v1", "v1", "v1.1", "v1.1", "v1.1")
ONE_VERSION = ("v1",) * len(TWO_VERSIONS)

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "talk",
            "hostname": HOST,
            "prefix": "/talk/",
            "route_type": "streaming",
            "resumable": True,
            "timeout_ms": 6000,
            "target_latency_ms": 1000,
            "target_gap_ms": 1000,
            "priority": 1,
            "service": "model",
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "model", "health_path": "/healthz"}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1_000_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


@dataclass(slots=True, kw_only=True)
class Outcome:
    """What the callers of one run have seen.

    Parameters
    ----------
    begun, joined : int
        Streams that began, and those with events of two software versions.
    resumed, went_on : int
        Requests that resume a stream and reached a gateway, and those that were
        answered 200.
    """

    begun: int = 0
    joined: int = 0
    resumed: int = 0
    went_on: int = 0


@dataclass(slots=True, kw_only=True)
class Run:
    """Processes, stand-ins and callers of one run.

    Parameters
    ----------
    store : StoreStandin
        Store with the entries of the servers.
    servers : dict of ServerStandin
        Servers by their id.
    versions : dict of str
        Software version of each server.
    gateways : list of GatewayProcess
        The gateways.
    random : Random
        Source of the callers' choices.
    writers : set of asyncio.StreamWriter
        Connections of the callers.
    outcome : Outcome
        What the callers have seen.
    """

    store: StoreStandin
    servers: dict[str, ServerStandin]
    versions: dict[str, str]
    gateways: list[GatewayProcess]
    random: Random
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    outcome: Outcome = field(default_factory=Outcome)

    def publish(self, name: str, state: str) -> None:
        """Write the entry of a server."""
        entry = {
            "service": "model",
            "address": f"127.0.0.1:{self.servers[name].port}",
            "zone": "a",
            "version": self.versions[name],
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1000,
        }
        self.store.put(f"servers/{name}", entry)

    async def call(self, number: int) -> None:
        """Act as a caller until its stream is complete or it gives up."""
        first, events, versions = "", 0, set()
        for attempt in range(MAX_ATTEMPTS):
            name = f"s{number}-{attempt}"
            lines = []
            if events:
                lines = [f"Last-Event-Id: {events}", f"Resumes: {first}"]
            received, server, status = await self.send(name, lines)
            if events and status:
                self.outcome.resumed += 1
                self.outcome.went_on += status == 200
            if received:
                first = first or name
                versions.add(self.versions[server])
            events += received
            if events >= EVENTS:
                break
            if not received:
                await asyncio.sleep(RETRY_SECONDS)
        self.outcome.begun += events > 0
        self.outcome.joined += len(versions | self.resumed_at(number)) > 1

    def resumed_at(self, number: int) -> set[str]:
        """Return the versions of the servers that went on with a stream."""
        return {
            self.versions[name]
            for name, server in self.servers.items()
            for arrival in server.arrivals
            if "Last-Event-Id" in arrival.headers
            and arrival.headers["Zinniaramp-Request-Id"].startswith(f"s{number}-")
        }

    async def send(self, name: str, lines: list[str]) -> tuple[int, str, int]:
        """Send a request; return its events, the server that began it, the status."""
        gateway = self.random.choice(self.gateways)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.callers)
        except OSError:
            return 0, "", 0
        self.writers.add(writer)
        head = [
            "GET /talk/x HTTP/1.1",
            f"Host: {HOST}",
            f"Zinniaramp-Request-Id: {name}",
            f"Zinniaramp-Deadline-Ms: {DEADLINE_MS}",
            "Accept: text/event-stream",
            *lines,
        ]
        received, headers = b"", {}
        try:
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
            start = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = dict(line.split(": ", 1) for line in start[1:] if line)
            headers["status"] = start[0].split()[1]
            is_chunked = "Transfer-Encoding" in headers
            while is_chunked and (size := int(await reader.readuntil(b"\r\n"), 16)):
                received += (await reader.readexactly(size + 2))[:-2]
        except (asyncio.IncompleteReadError, ValueError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
        stamp = headers.get("Zinniaramp-Server-Stamp", "")
        status = int(headers.get("status", 0))
        return received.count(b"\n\n"), stamp.removeprefix("stamp."), status

    async def kill(self, gateways: list[GatewayProcess]) -> None:
        """Kill gateways at the same time and start them again."""
        for gateway in gateways:
            await gateway.end(signal.SIGKILL)
        for gateway in gateways:
            await gateway.start()


async def _cut_callers(run: Run) -> None:
    """Break half of the callers' connections every two seconds."""
    while True:
        await asyncio.sleep(2)
        for writer in sorted(run.writers, key=id):
            if run.random.random() < 0.5:
                writer.transport.abort()


async def _kill_one(run: Run) -> None:
    """Kill one gateway every two seconds."""
    while True:
        await asyncio.sleep(2)
        await run.kill([run.random.choice(run.gateways)])


async def _kill_all(run: Run) -> None:
    """Kill all gateways every five seconds."""
    while True:
        await asyncio.sleep(5)
        await run.kill(run.gateways)


async def _kill_all_after_rollout(run: Run) -> None:
    """Let the servers of v1 leave, and kill all gateways just after that."""
    await asyncio.sleep(3)
    old = [name for name, version in run.versions.items() if version == "v1"]
    for name in old:
        run.publish(name, "draining")
    await asyncio.sleep(DRAIN_SECONDS)
    for name in old:
        run.store.remove(f"servers/{name}")
        run.servers[name].crash()
    await run.kill(run.gateways)


async def _crash_server(run: Run) -> None:
    """Crash a server of v1 in the middle of its streams."""
    await asyncio.sleep(5)
    run.servers["s-0"].crash()
    run.store.remove("servers/s-0")


FAULTS_BY_TITLE: dict[str, tuple[tuple[str, ...], Callable[[Run], Awaitable[None]]]] = {
    "callers' connections cut": (TWO_VERSIONS, _cut_callers),
    "one gateway killed at a time": (TWO_VERSIONS, _kill_one),
    "all gateways killed at once": (TWO_VERSIONS, _kill_all),
    "all killed just after v1 has left": (TWO_VERSIONS, _kill_all_after_rollout),
    "a server crashes": (TWO_VERSIONS, _crash_server),
    "one version only, connections cut": (ONE_VERSION, _cut_callers),
    "one version only, all killed": (ONE_VERSION, _kill_all),
}
"""Versions of the servers in each run, and the fault that is played."""


async def _play(
    versions: tuple[str, ...], play_fault: Callable, seed: int, directory: Path
) -> Outcome:
    store = StoreStandin()
    store.listen()
    store.put("op/config", CONFIGURATION)
    servers = {
        f"s-{number}": ServerStandin(
            id=f"s-{number}", events=EVENTS, event_seconds=EVENT_SECONDS
        )
        for number in range(len(versions))
    }
    gateways = [
        GatewayProcess(directory=directory, name=f"g-{number}", store=store.port)
        for number in range(GATEWAYS)
    ]
    run = Run(
        store=store,
        servers=servers,
        versions=dict(zip(servers, versions, strict=True)),
        gateways=gateways,
        random=Random(seed),
    )
    for name, server in servers.items():
        server.listen()
        run.publish(name, "ready")
    for gateway in gateways:
        gateway.seeds = tuple(one.peers for one in gateways)
        await gateway.start()
    await asyncio.sleep(SETTLE_SECONDS)
    fault = asyncio.create_task(play_fault(run))
    callers = []
    loop = asyncio.get_running_loop()
    end = loop.time() + SECONDS
    while loop.time() < end:
        callers.append(asyncio.create_task(run.call(len(callers))))
        await asyncio.sleep(run.random.expovariate(RATE))
    await asyncio.gather(*callers)
    fault.cancel()
    for gateway in gateways:
        await gateway.end(signal.SIGKILL)
    return run.outcome


def measure_resumption(seed: int = 1, label: str = "") -> None:
    """Measure how many resumed streams go on, and how many are joined of two versions.

    Parameters
    ----------
    seed : int
        Seed of the callers' choices.
    label : str
        Note about the gateways' code, if it is not that of this package.
    """
    logger.remove()
    rows = []
    for title, (versions, play_fault) in FAULTS_BY_TITLE.items():
        with tempfile.TemporaryDirectory() as directory:
            outcome = asyncio.run(_play(versions, play_fault, seed, Path(directory)))
        share = outcome.went_on / outcome.resumed if outcome.resumed else 1.0
        rows.append([title, outcome.begun, outcome.joined, outcome.resumed, share])
    table = Table(
        name="resumption",
        command=f"scripts/measure.sh resumption --seed {seed}",
        headings=[
            "what happened",
            "streams",
            "joined",
            "resumed",
            "share that went on",
        ],
        rows=rows,
        notes=[
            f"{GATEWAYS} gateways as processes, six plain servers; {RATE:g} new "
            f"streams a second of {EVENTS * EVENT_SECONDS:g} s each for {SECONDS:g} s; "
            f"callers resume at any gateway, {MAX_ATTEMPTS} attempts in all. {label}",
            "Joined: events of two software versions in one stream; 2 are allowed.",
        ],
    )
    write_table(table)
