"""Time from the publication of a revision until every process uses it."""

import asyncio
import json
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from ..clock import Clock, monotonic_clock
from ..standins.fleet import (
    DAEMON_ROLES,
    FleetProcess,
    bring_down,
    bring_up,
)
from .tables import Table, write_table

__all__ = ["measure_in_force"]

PUBLICATIONS = 5
"""Number of revisions that are published in sequence."""

LIMIT_SECONDS = 30
"""Longest wait until a process uses a revision, in seconds."""

POLL_SECONDS = 0.05
"""Interval at which the revision of each process is polled, in seconds."""

TARGET_SECONDS = 9
"""Time within which every process must use a change, in seconds."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Publication:
    """Result of one publication.

    Parameters
    ----------
    processes : int
        Number of entry and endpoint processes.
    median_s, slowest_s : float
        Median and longest time until a process uses the revision, in seconds.
    reads : int
        Number of requests that the configuration service received meanwhile.
    """

    processes: int
    median_s: float
    slowest_s: float
    reads: int


async def _read_revision_index(client: AsyncHTTPClient, process: FleetProcess) -> int:
    response = await client.fetch(f"{process.operator}/status")
    return json.loads(response.body)["revision"]["index"]


async def _count_reads(client: AsyncHTTPClient, service: FleetProcess) -> int:
    response = await client.fetch(f"{service.url}/standin/log")
    return len(json.loads(response.body))


async def _publish(client: AsyncHTTPClient, service: FleetProcess, text: str) -> int:
    request = HTTPRequest(f"{service.url}/standin/publish", method="POST", body=text)
    response = await client.fetch(request)
    return json.loads(response.body)["index"]


async def _measure_wait(
    client: AsyncHTTPClient, process: FleetProcess, index: int, clock: Clock
) -> float:
    started = clock()
    while await _read_revision_index(client, process) < index:
        if (clock() - started).total_seconds() > LIMIT_SECONDS:
            return float("inf")
        await asyncio.sleep(POLL_SECONDS)
    return (clock() - started).total_seconds()


async def _measure_publication(
    fleet: list[FleetProcess], text: str, number: int, clock: Clock
) -> Publication:
    client = AsyncHTTPClient(force_instance=True, max_clients=len(fleet))
    service = next(process for process in fleet if process.role == "configuration")
    daemons = [process for process in fleet if process.role in DAEMON_ROLES]
    reads_before = await _count_reads(client, service)
    changed = f"{text}\n[workspace added-{number}]\nweight = 1\n"
    index = await _publish(client, service, changed)
    waits = await asyncio.gather(
        *(_measure_wait(client, process, index, clock) for process in daemons)
    )
    reads = await _count_reads(client, service) - reads_before
    client.close()
    sorted_waits = sorted(waits)
    return Publication(
        processes=len(daemons),
        median_s=sorted_waits[len(sorted_waits) // 2],
        slowest_s=sorted_waits[-1],
        reads=reads,
    )


def measure_in_force(entries: int = 6, endpoints: int = 12) -> None:
    """Measure the time until every process uses a published revision.

    Parameters
    ----------
    entries, endpoints : int
        Number of processes of each role.
    """
    clock = monotonic_clock()
    with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
        directory = Path(name)
        fleet = bring_up(directory, entries=entries, endpoints=endpoints)
        text = (directory / "declarations.ini").read_text()
        try:
            publications = [
                asyncio.run(_measure_publication(fleet, text, number, clock))
                for number in range(PUBLICATIONS)
            ]
        finally:
            bring_down(directory)
    slowest = max(publication.slowest_s for publication in publications)
    table = Table(
        name="in_force",
        command=f"scripts/measure.sh in_force --entries {entries} "
        f"--endpoints {endpoints}",
        headings=["processes", "median s", "slowest s", "service reads"],
        rows=[
            [
                publication.processes,
                publication.median_s,
                publication.slowest_s,
                publication.reads,
            ]
            for publication in publications
        ],
        notes=[
            f"Slowest of {PUBLICATIONS} publications: {slowest:.2f} s; the target is "
            f"{TARGET_SECONDS} s.",
        ],
    )
    write_table(table)
