"""What keeping streams costs a process that has no requests."""

import asyncio
import json
import tempfile
from dataclasses import asdict, dataclass
from datetime import timedelta
from pathlib import Path
from statistics import linear_regression

from prometheus_client.parser import text_string_to_metric_families
from tornado.httpclient import AsyncHTTPClient
from tornado.httputil import split_host_and_port

from ..clock import monotonic_clock
from ..standins.daemons import FLEET_KEY, plan_daemon, start_daemon
from ..standins.fleet import MODEL, FleetOptions, FleetProcess, bring_up
from ..standins.hosts import HostEntry
from ..standins.processes import Fleet, start_standin, terminate_processes
from .idle_peers import IdleEndpoint, idle_identity, keep_idle_stream
from .probes import read_process
from .tables import Table, write_table

__all__ = ["measure_control"]

STREAM_COUNTS = (8, 32, 64, 128, 256)
"""Numbers of streams that are measured."""

SETTLE_SECONDS = 4
"""Time from starting until the streams are all open and counted, in seconds."""

SILENCE_HEARTBEATS = 3
"""Heartbeats that are missed before a stream counts as silent."""

DECLARATIONS = f"""\
[defaults]
class_name = standard
subset = 256

[class standard]
tier = 2

[model {MODEL}]
"""


@dataclass(slots=True, kw_only=True, frozen=True)
class ControlRow:
    """What one number of streams cost, a second."""

    role: str
    streams: int
    cores: float
    control_bytes: float
    memory_mb: float

    def cells(self) -> list:
        """Return the row of the table."""
        return [
            self.role,
            self.streams,
            self.cores * 100,
            self.control_bytes / 1000,
            self.memory_mb,
        ]


async def _metric(process: FleetProcess, name: str, **labels: str) -> float:
    response = await AsyncHTTPClient().fetch(f"{process.operator}/metrics")
    total = 0.0
    for family in text_string_to_metric_families(response.body.decode()):
        for sample in family.samples:
            if sample.name == name and labels.items() <= sample.labels.items():
                total += sample.value
    return total


async def _measure(process: FleetProcess, role: str, seconds: float) -> ControlRow:
    await asyncio.sleep(SETTLE_SECONDS)
    name = "zinniaramp_stream_bytes_total"
    streams = await _metric(process, "zinniaramp_streams")
    bytes_before = await _metric(process, name, kind="control")
    before = read_process(process.pid)
    await asyncio.sleep(seconds)
    after = read_process(process.pid)
    bytes_after = await _metric(process, name, kind="control")
    return ControlRow(
        role=role,
        streams=int(streams),
        cores=(after.cpu_s - before.cpu_s) / seconds,
        control_bytes=(bytes_after - bytes_before) / seconds,
        memory_mb=after.memory_mb,
    )


def _fleet_keys(heartbeat_s: float) -> dict[str, str]:
    """Return the keys of ``[fleet]`` for a time between heartbeats."""
    return {
        "heartbeat": str(heartbeat_s),
        "silence": str(SILENCE_HEARTBEATS * heartbeat_s),
    }


async def _entry_row(
    directory: Path, count: int, seconds: float, heartbeat_s: float
) -> ControlRow:
    clock = monotonic_clock()
    endpoints = [
        IdleEndpoint(name=f"idle-{i}", key=FLEET_KEY, model=MODEL, clock=clock)
        for i in range(count)
    ]
    hosts = [
        HostEntry(
            name=one.name,
            data_centre="dc-1",
            role="endpoint",
            address=one.address,
            serves=[MODEL],
        )
        for one in endpoints
    ]
    fleet = Fleet(directory=directory)
    hosts_file, declarations = directory / "hosts.json", directory / "d.ini"
    hosts_file.write_text(json.dumps([asdict(one) for one in hosts]))
    declarations.write_text(DECLARATIONS)
    try:
        host_list = start_standin(fleet, "hosts", "hosts", file=hosts_file)
        plan = plan_daemon(name="entry-0", role="entry", number=0)
        platform = {"hosts": host_list.url, "declarations": str(declarations)}
        changed = {"fleet": _fleet_keys(heartbeat_s)}
        entry = start_daemon(fleet, plan, platform, changed)
        return await _measure(entry, "entry", seconds)
    finally:
        terminate_processes(fleet.processes)
        for one in endpoints:
            one.listener.stop()


async def _endpoint_row(
    directory: Path, count: int, seconds: float, heartbeat_s: float
) -> ControlRow:
    clock = monotonic_clock()
    options = FleetOptions(settings={"fleet": _fleet_keys(heartbeat_s)})
    fleet = await asyncio.to_thread(
        bring_up, directory, entries=0, endpoints=1, options=options
    )
    endpoint = next(one for one in fleet if one.role == "endpoint")
    host, port = split_host_and_port(endpoint.address)
    streams = [
        asyncio.create_task(
            keep_idle_stream(
                host,
                port,
                identity=idle_identity(f"idle-{i}", "entry", FLEET_KEY),
                heartbeat=timedelta(seconds=heartbeat_s),
                clock=clock,
            )
        )
        for i in range(count)
    ]
    try:
        return await _measure(endpoint, "endpoint", seconds)
    finally:
        for stream in streams:
            stream.cancel()
        terminate_processes(fleet)


def _slopes(role: str, rows: list[ControlRow]) -> str:
    own = [row for row in rows if row.role == role]
    streams = [row.streams for row in own]
    cores = linear_regression(streams, [row.cores * 100 for row in own])
    sent = linear_regression(streams, [row.control_bytes for row in own])
    memory = linear_regression(streams, [row.memory_mb * 1000 for row in own])
    return (
        f"{role}: {cores.slope:.4f}% of a core a stream and {cores.intercept:.2f}% "
        f"besides; {sent.slope:.0f} bytes/s a stream, both directions, and "
        f"{sent.intercept:.0f} besides; {memory.slope:.0f} KB a stream and "
        f"{memory.intercept / 1000:.0f} MB besides."
    )


def measure_control(seconds: float = 8, heartbeat: float = 2) -> None:
    """Measure processor time, bytes and memory of idle streams.

    Parameters
    ----------
    seconds : float
        Length of each measurement.
    heartbeat : float
        Seconds between two heartbeats of a stream.
    """
    rows = []
    for count in STREAM_COUNTS:
        for measure in (_entry_row, _endpoint_row):
            with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
                rows.append(asyncio.run(measure(Path(name), count, seconds, heartbeat)))
    table = Table(
        name="control",
        command=f"scripts/measure.sh control --seconds {seconds} "
        f"--heartbeat {heartbeat}",
        headings=["role", "streams", "% of a core", "control KB/s", "memory MB"],
        rows=[row.cells() for row in rows],
        notes=[_slopes("entry", rows), _slopes("endpoint", rows)],
    )
    write_table(table)
