"""Processes of a fleet: starting them, waiting until they are ready, ending them."""

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
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

import psutil

__all__ = [
    "FLEET_FILE",
    "Fleet",
    "FleetError",
    "FleetProcess",
    "end_processes",
    "free_port",
    "is_alive",
    "start_standin",
]

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
        Where it serves HTTP: callers at an entry, operators at an endpoint.
    settings, log : str
        Its settings file, empty for stand-ins, and its log file.
    ready_url : str
        URL that answers when the process is ready.
    operator, address : str
        Base URL for operators, and IP number and port of a daemon's own listener
        for callers or streams; both empty for stand-ins.
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
    address: str = ""


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


_PORTS = _candidate_ports()


def free_port() -> int:
    """Return a port of loopback that is free now and was not returned before."""
    return next(port for port in _PORTS if _can_bind(port))


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
        address: str = "",
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
            address=address,
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


def start_standin(fleet: Fleet, role: str, name: str, **options) -> FleetProcess:
    """Start a stand-in.

    Parameters
    ----------
    fleet : Fleet
        The fleet that it will belong to.
    role, name : str
        Role, which is also the name of its module, and name of the process.
    **options
        Options of its command line.
    """
    port = free_port()
    url = f"http://127.0.0.1:{port}"
    flags = [f"--{key}={value}" for key, value in options.items()]
    return fleet.add(
        name=name,
        role=role,
        url=url,
        ready_url=f"{url}/standin/log",
        arguments=[f"zinniaramp.standins.{role}", f"--port={port}", *flags],
    )


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


def _signal_all(processes: list[FleetProcess], number: signal.Signals) -> None:
    for process in processes:
        found = _find(process)
        with contextlib.suppress(psutil.NoSuchProcess):
            if found is not None:
                found.send_signal(number)


def _wait_ended(processes: list[FleetProcess]) -> None:
    deadline = time.monotonic() + END_SECONDS
    while any(map(is_alive, processes)) and time.monotonic() < deadline:
        time.sleep(POLL_SECONDS)


def end_processes(processes: list[FleetProcess]) -> None:
    """End processes: SIGTERM, then SIGKILL for those that stay."""
    _signal_all(processes, signal.SIGTERM)
    _wait_ended(processes)
    _signal_all(processes, signal.SIGKILL)
    _wait_ended(processes)
