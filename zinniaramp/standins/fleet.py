"""Starts and ends a small fleet with its stand-ins on loopback."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import asdict, dataclass
from pathlib import Path

__all__ = ["FleetError", "FleetProcess", "bring_down", "bring_up", "read_fleet"]

READY_SECONDS = 20
"""Longest wait until every process is ready, in seconds."""

POLL_SECONDS = 0.05
"""Time between two questions whether a process is ready, in seconds."""

END_SECONDS = 10
"""Longest wait for a process to end after SIGTERM, in seconds."""

MODEL = "small-model"
"""Model that the engine stand-ins serve."""

FLEET_KEY = "loopback-fleet-key"
"""Key of fleets on loopback."""


class FleetError(Exception):
    """The fleet did not come up."""


@dataclass(slots=True, kw_only=True)
class FleetProcess:
    """One process of the fleet, as written to ``fleet.json``."""

    name: str
    role: str
    pid: int
    url: str
    settings: str
    log: str
    ready_url: str


def free_port() -> int:
    """Return a port of loopback that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def _start(directory: Path, name: str, arguments: list[str]) -> subprocess.Popen:
    log = (directory / f"{name}.log").open("w")
    with log:
        return subprocess.Popen(
            arguments, stdout=log, stderr=log, start_new_session=True
        )


def _start_engine(directory: Path, name: str) -> FleetProcess:
    port = free_port()
    started = _start(
        directory,
        name,
        [sys.executable, "-m", "zinniaramp.standins.engine", str(port)],
    )
    url = f"http://127.0.0.1:{port}"
    return FleetProcess(
        name=name,
        role="engine",
        pid=started.pid,
        url=url,
        settings="",
        log=str(directory / f"{name}.log"),
        ready_url=url,
    )


def _start_daemon(
    directory: Path, name: str, role: str, url: str, text: str, operator_port: int
) -> FleetProcess:
    settings = directory / f"{name}.ini"
    settings.write_text(text)
    started = _start(
        directory,
        name,
        [sys.executable, "-m", "zinniaramp.daemon", str(settings)],
    )
    return FleetProcess(
        name=name,
        role=role,
        pid=started.pid,
        url=url,
        settings=str(settings),
        log=str(directory / f"{name}.log"),
        ready_url=f"http://127.0.0.1:{operator_port}/readyz",
    )


def _start_endpoint(directory: Path, name: str, engine: FleetProcess) -> FleetProcess:
    streams, operator = free_port(), free_port()
    text = (
        f"[process]\nrole = endpoint\nname = {name}\ndata_centre = dc-1\n"
        f"[listen]\noperator = 127.0.0.1:{operator}\nstreams = 127.0.0.1:{streams}\n"
        f"[fleet]\nkey = {FLEET_KEY}\n"
        f"[engine]\nurl = {engine.url}\nserves = {MODEL}\n"
    )
    url = f"127.0.0.1:{streams}"
    return _start_daemon(directory, name, "endpoint", url, text, operator)


def _start_entry(
    directory: Path, name: str, endpoints: list[FleetProcess]
) -> FleetProcess:
    callers, operator = free_port(), free_port()
    addresses = " ".join(endpoint.url for endpoint in endpoints)
    text = (
        f"[process]\nrole = entry\nname = {name}\ndata_centre = dc-1\n"
        f"[listen]\noperator = 127.0.0.1:{operator}\ncallers = 127.0.0.1:{callers}\n"
        f"[fleet]\nkey = {FLEET_KEY}\n"
        f"[platform]\nendpoints = {addresses}\n"
    )
    url = f"http://127.0.0.1:{callers}"
    return _start_daemon(directory, name, "entry", url, text, operator)


def _answers(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1):
            return True
    except urllib.error.HTTPError as error:
        return error.code == 404
    except OSError:
        return False


def _wait_ready(processes: list[FleetProcess]) -> None:
    deadline = time.monotonic() + READY_SECONDS
    waiting = list(processes)
    while waiting:
        waiting = [one for one in waiting if not _answers(one.ready_url)]
        if waiting and time.monotonic() > deadline:
            names = ", ".join(one.name for one in waiting)
            raise FleetError(
                f"not ready after {READY_SECONDS} s: {names}; see the logs"
            )
        if waiting:
            time.sleep(POLL_SECONDS)


def bring_up(
    directory: Path, *, entries: int = 1, endpoints: int = 1
) -> list[FleetProcess]:
    """Start a fleet and return when all of it is ready.

    Parameters
    ----------
    directory : Path
        Where settings, logs and ``fleet.json`` are written.
    entries, endpoints : int
        Number of processes of each role.

    Raises
    ------
    FleetError
        A process was not ready in time; all of them have been ended.
    """
    directory.mkdir(parents=True, exist_ok=True)
    engines = [_start_engine(directory, f"engine-{i}") for i in range(endpoints)]
    doors = [
        _start_endpoint(directory, f"endpoint-{i}", engine)
        for i, engine in enumerate(engines)
    ]
    fronts = [_start_entry(directory, f"entry-{i}", doors) for i in range(entries)]
    processes = [*engines, *doors, *fronts]
    text = json.dumps([asdict(one) for one in processes], indent=2)
    (directory / "fleet.json").write_text(text)
    try:
        _wait_ready(processes)
    except FleetError:
        bring_down(directory)
        raise
    return processes


def read_fleet(directory: Path) -> list[FleetProcess]:
    """Return the processes that ``fleet.json`` lists."""
    listed = json.loads((directory / "fleet.json").read_text())
    return [FleetProcess(**one) for one in listed]


def _is_alive(pid: int) -> bool:
    with contextlib.suppress(ChildProcessError):
        os.waitpid(pid, os.WNOHANG)
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def bring_down(directory: Path) -> None:
    """End the processes of a fleet: SIGTERM, then SIGKILL for those that stay."""
    pids = [one.pid for one in reversed(read_fleet(directory))]
    for pid in filter(_is_alive, pids):
        os.kill(pid, signal.SIGTERM)
    deadline = time.monotonic() + END_SECONDS
    while any(_is_alive(pid) for pid in pids) and time.monotonic() < deadline:
        time.sleep(POLL_SECONDS)
    for pid in filter(_is_alive, pids):
        os.kill(pid, signal.SIGKILL)
