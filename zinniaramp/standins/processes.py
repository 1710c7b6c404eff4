"""Processes of a fleet: starting them, waiting until they are ready, ending them."""

import json
import os
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

import psutil

__all__ = ["Fleet", "FleetError", "FleetProcess", "end_processes", "is_alive"]

READY_SECONDS = 20
"""Longest wait until every process is ready, in seconds."""

POLL_SECONDS = 0.05
"""Time between two questions whether a process is ready, in seconds."""

END_SECONDS = 10
"""Longest wait for a process to end after SIGTERM, in seconds."""

FIRST_PORT = 10_000
"""Lowest port of fleets; all lie below the ports that Linux gives to clients."""

LAST_PORT = 32_000
"""Bound of the ports of fleets."""

PORTS_PER_PROCESS = 100
"""Distance between the first ports of fleets that successive processes start."""

FLEET_FILE = "fleet.json"
"""Name of the file that lists a fleet's processes."""


class FleetError(Exception):
    """The fleet did not come up, or there is none."""


@dataclass(slots=True, kw_only=True)
class FleetProcess:
    """One process of the fleet, as written to ``fleet.json``.

    Parameters
    ----------
    name, role : str
        Name and role of the process.
    pid : int
        Its process id.
    created : float
        When it started, in Unix seconds, which tells a process id used again.
    url : str
        Where it serves: a URL, or the stream address of an endpoint.
    settings, log : str
        Its settings file, empty for stand-ins, and its log file.
    ready_url : str
        URL that answers when the process is ready.
    operator : str
        Base URL for operators; empty for stand-ins.
    """

    name: str
    role: str
    pid: int
    created: float
    url: str
    settings: str
    log: str
    ready_url: str
    operator: str = ""


def _candidate_ports() -> Iterator[int]:
    span = LAST_PORT - FIRST_PORT
    start = os.getpid() * PORTS_PER_PROCESS % span
    while True:
        for offset in range(span):
            yield FIRST_PORT + (start + offset) % span


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@dataclass(slots=True, kw_only=True)
class Fleet:
    """A fleet that is being started.

    Parameters
    ----------
    directory : Path
        Where settings, logs and ``fleet.json`` are written.
    """

    directory: Path
    processes: list[FleetProcess] = field(default_factory=list)
    ports: Iterator[int] = field(default_factory=_candidate_ports)

    def free_port(self) -> int:
        """Return a port of loopback that is free now."""
        return next(port for port in self.ports if _can_bind(port))

    def add(
        self,
        *,
        name: str,
        role: str,
        url: str,
        ready_url: str,
        arguments: list[str],
        settings: str = "",
        operator: str = "",
    ) -> FleetProcess:
        """Start one Python module as a process and list it in ``fleet.json``."""
        log = self.directory / f"{name}.log"
        with log.open("w") as output:
            started = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        process = FleetProcess(
            name=name,
            role=role,
            pid=started.pid,
            created=psutil.Process(started.pid).create_time(),
            url=url,
            settings=settings,
            log=str(log),
            ready_url=ready_url,
            operator=operator,
        )
        self.processes.append(process)
        self.write()
        return process

    def write(self) -> None:
        """Write ``fleet.json``."""
        text = json.dumps([asdict(one) for one in self.processes], indent=2)
        (self.directory / FLEET_FILE).write_text(text)

    def wait_ready(self) -> None:
        """Wait until every process is ready.

        Raises
        ------
        FleetError
            A process ended or was not ready in time.
        """
        deadline = time.monotonic() + READY_SECONDS
        waiting = list(self.processes)
        while waiting := [one for one in waiting if not _answers(one.ready_url)]:
            ended = [one for one in waiting if not is_alive(one)]
            if ended:
                raise FleetError(f"ended at start: {_describe(ended)}")
            if time.monotonic() > deadline:
                raise FleetError(
                    f"not ready after {READY_SECONDS} s: {_describe(waiting)}"
                )
            time.sleep(POLL_SECONDS)


def _describe(processes: list[FleetProcess]) -> str:
    return ", ".join(f"{one.name} (see {one.log})" for one in processes)


def _answers(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1):
            return True
    except urllib.error.HTTPError as error:
        return error.code == 404
    except OSError:
        return False


def _find(process: FleetProcess) -> psutil.Process | None:
    try:
        found = psutil.Process(process.pid)
        is_same = abs(found.create_time() - process.created) < 1
        is_running = found.status() != psutil.STATUS_ZOMBIE
    except psutil.NoSuchProcess:
        return None
    return found if is_same and is_running else None


def is_alive(process: FleetProcess) -> bool:
    """Tell whether a process of a fleet runs; another with its id does not count."""
    return _find(process) is not None


def end_processes(processes: list[FleetProcess]) -> None:
    """End processes: SIGTERM, then SIGKILL for those that stay."""
    found = [one for one in map(_find, processes) if one is not None]
    for process in found:
        process.terminate()
    _, staying = psutil.wait_procs(found, timeout=END_SECONDS)
    for process in staying:
        process.kill()
    psutil.wait_procs(staying, timeout=END_SECONDS)
