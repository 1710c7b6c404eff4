"""Cost of open streams for a process that handles no requests."""

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
from .probes import read_process_usage
from .tables import Table, write_table

__all__ = ["measure_control"]

STREAM_COUNTS = (8, 32, 64, 128, 256)
"""Numbers of open streams for which the cost is measured."""

SETTLE_SECONDS = 4
"""Time after the start in which all streams open, in seconds."""

SILENCE_HEARTBEATS = 3
"""Number of missed heartbeats after which a stream counts as silent."""

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
    """Resources that a process uses with a given number of streams.

    Parameters
    ----------
    role : str
        Role of the process.
    streams : int
        Number of open streams.
    cores : float
        Processor time per second, in cores.
    control_bytes : float
        Bytes of control messages per second, sent and received.
    memory_mb : float
        Resident memory in megabytes.
    """

    role: str
    streams: int
    cores: float
    control_bytes: float
    memory_mb: float

    def cells(self) -> list:
        """Return the values of the table row, in the units of its headings."""
        return [
            self.role,
            self.streams,
            self.cores * 100,
            self.control_bytes / 1000,
            self.memory_mb,
        ]


async def _read_metric(process: FleetProcess, name: str, **labels: str) -> float:
    response = await AsyncHTTPClient().fetch(f"{process.operator}/metrics")
    total = 0.0
    for family in text_string_to_metric_families(response.body.decode()):
        for sample in family.samples:
            if sample.name == name and labels.items() <= sample.labels.items():
                total += sample.value
    return total


async def _measure_streams(
    process: FleetProcess, role: str, seconds: float
) -> ControlRow:
    await asyncio.sleep(SETTLE_SECONDS)
    name = "zinniaramp_stream_bytes_total"
    streams = await _read_metric(process, "zinniaramp_streams")
    bytes_before = await _read_metric(process, name, kind="control")
    before = read_process_usage(process.pid)
    await asyncio.sleep(seconds)
    after = read_process_usage(process.pid)
    bytes_after = await _read_metric(process, name, kind="control")
    return ControlRow(
        role=role,
        streams=int(streams),
        cores=(after.cpu_s - before.cpu_s) / seconds,
        control_bytes=(bytes_after - bytes_before) / seconds,
        memory_mb=after.memory_mb,
    )


def _make_fleet_settings(heartbeat_s: float) -> dict[str, str]:
    """Return the ``[fleet]`` settings for a heartbeat interval in seconds."""
    return {
        "heartbeat": str(heartbeat_s),
        "silence": str(SILENCE_HEARTBEATS * heartbeat_s),
    }


async def _measure_entry(
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
        changed = {"fleet": _make_fleet_settings(heartbeat_s)}
        entry = start_daemon(fleet, plan, platform, changed)
        return await _measure_streams(entry, "entry", seconds)
    finally:
        terminate_processes(fleet.processes)
        for one in endpoints:
            one.listener.stop()


async def _measure_endpoint(
    directory: Path, count: int, seconds: float, heartbeat_s: float
) -> ControlRow:
    clock = monotonic_clock()
    options = FleetOptions(settings={"fleet": _make_fleet_settings(heartbeat_s)})
    fleet = await asyncio.to_thread(
        bring_up, directory, entries=0, endpoints=1, options=options
    )
    endpoint = next(process for process in fleet if process.role == "endpoint")
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
        return await _measure_streams(endpoint, "endpoint", seconds)
    finally:
        for stream in streams:
            stream.cancel()
        terminate_processes(fleet)


def _describe_fits(role: str, rows: list[ControlRow]) -> str:
    role_rows = [row for row in rows if row.role == role]
    streams = [row.streams for row in role_rows]
    cores = linear_regression(streams, [row.cores * 100 for row in role_rows])
    sent = linear_regression(streams, [row.control_bytes for row in role_rows])
    memory = linear_regression(streams, [row.memory_mb * 1000 for row in role_rows])
    return (
        f"{role}: {cores.slope:.4f}% of a core per stream plus "
        f"{cores.intercept:.2f}% fixed; {sent.slope:.0f} bytes/s per stream in both "
        f"directions plus {sent.intercept:.0f} fixed; {memory.slope:.0f} KB per "
        f"stream plus {memory.intercept / 1000:.0f} MB fixed."
    )


def measure_control(seconds: float = 8, heartbeat: float = 2) -> None:
    """Measure processor time, control bytes and memory for idle streams.

    Parameters
    ----------
    seconds : float
        Length of each measurement in seconds.
    heartbeat : float
        Interval between the heartbeats of a stream, in seconds.
    """
    rows = []
    for count in STREAM_COUNTS:
        for measure_role in (_measure_entry, _measure_endpoint):
            with tempfile.TemporaryDirectory(prefix="zinniaramp-") as name:
                rows.append(
                    asyncio.run(measure_role(Path(name), count, seconds, heartbeat))
                )
    table = Table(
        name="control",
        command=f"scripts/measure.sh control --seconds {seconds} "
        f"--heartbeat {heartbeat}",
        headings=["role", "streams", "% of a core", "control KB/s", "memory MB"],
        rows=[row.cells() for row in rows],
        notes=[_describe_fits("entry", rows), _describe_fits("endpoint", rows)],
    )
    write_table(table)
