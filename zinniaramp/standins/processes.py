"""Starts the processes of a fleet, waits until they are ready, and ends them."""

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
    "free_port",
    "is_alive",
    "start_standin",
    "terminate_processes",
]

READY_SECONDS = 20
"""Longest wait until every process is ready, in seconds."""

POLL_SECONDS = 0.05
"""Interval between two checks of a process's state, in seconds."""

END_SECONDS = 10
"""Longest wait for processes to end after each signal, in seconds."""

FIRST_PORT = 10_000
"""Lowest port of a fleet; the range lies below Linux's ephemeral ports."""

LAST_PORT = 32_000
"""Upper bound of the ports of a fleet, exclusive."""

BLOCK_PORTS = 100
"""Number of ports in a block.  The first one is not given out: the process that uses
the block keeps it bound, so that no other process uses the same block."""

FLEET_FILE = "fleet.json"
"""Name of the file that lists a fleet's processes."""


class FleetError(Exception):
    """A fleet failed to start, or the directory has no fleet."""


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
        Its start time, in Unix seconds, by which a reused process id is recognized.
    url : str
        Base URL of its HTTP listener: for callers at an entry, for operators at an
        endpoint.
    settings, log : str
        Paths of its settings file, empty for stand-ins, and of its log file.
    ready_url : str
        URL that is answered with success, or with 404, once the process is ready.
    operator, address : str
        Base URL for operators, and IP address and port of a daemon's main listener,
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


def _bind(port: int) -> socket.socket | None:
    """Return a socket that is bound to a loopback port, or None if it is in use."""
    bound = socket.socket()
    try:
        bound.bind(("127.0.0.1", port))
    except OSError:
        bound.close()
        return None
    return bound


def _block_starts() -> Iterator[int]:
    """Yield the first ports of all blocks, in an order that depends on the process."""
    count = (LAST_PORT - FIRST_PORT) // BLOCK_PORTS
    for number in range(count):
        yield FIRST_PORT + (os.getpid() + number) % count * BLOCK_PORTS


def _ports_of_own_blocks() -> Iterator[int]:
    """Yield the ports of one free block after another, then those ports again."""
    for start in _block_starts():
        # The socket is closed when the process ends, which frees the block.
        if (guard := _bind(start)) is not None:
            _BLOCK_GUARDS[start] = guard
            yield from range(start + 1, start + BLOCK_PORTS)
    while _BLOCK_GUARDS:
        for start in _BLOCK_GUARDS:
            yield from range(start + 1, start + BLOCK_PORTS)


def _can_bind(port: int) -> bool:
    bound = _bind(port)
    if bound is None:
        return False
    bound.close()
    return True


_BLOCK_GUARDS: dict[int, socket.socket] = {}
_PORTS = _ports_of_own_blocks()


def free_port() -> int:
    """Return a free loopback port, a different one at each call.

    No other process gets the same port from this function while this process runs.
    Ports are returned again only after all free ones have been used.

    Raises
    ------
    FleetError
        All blocks of ports are in use.
    """
    port = next(filter(_can_bind, _PORTS), None)
    if port is None:
        raise FleetError(
            f"no free block of {BLOCK_PORTS} ports from {FIRST_PORT} to {LAST_PORT}; "
            "end processes of earlier fleets"
        )
    return port


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Starts the processes of a fleet and records them in ``fleet.json``.

    Parameters
    ----------
    directory : Path
        Directory for settings, logs and ``fleet.json``.
    processes : list of FleetProcess
        Processes started so far.
    """

    directory: Path
    processes: list[FleetProcess] = field(default_factory=list)

    def start_process(
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
        """Start a Python module as a process and record it in ``fleet.json``.

        `arguments` are the module's name and its command line; the other parameters
        are fields of `FleetProcess`.
        """
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
        """Write the list of processes to ``fleet.json``."""
        text = json.dumps([asdict(process) for process in self.processes], indent=2)
        (self.directory / FLEET_FILE).write_text(text)

    def wait_ready(self) -> None:
        """Wait until every process is ready.

        Raises
        ------
        FleetError
            A process ended, or was not ready within `READY_SECONDS`.
        """
        deadline = time.monotonic() + READY_SECONDS
        waiting = list(self.processes)
        while waiting := [
            process for process in waiting if not _is_ready(process.ready_url)
        ]:
            ended = [process for process in waiting if not is_alive(process)]
            if ended:
                raise FleetError(f"ended during startup: {_describe(ended)}")
            if time.monotonic() > deadline:
                raise FleetError(
                    f"not ready after {READY_SECONDS} s: {_describe(waiting)}"
                )
            time.sleep(POLL_SECONDS)


def start_standin(fleet: Fleet, role: str, name: str, **options) -> FleetProcess:
    """Start a stand-in on a free port.

    Parameters
    ----------
    fleet : Fleet
        The fleet that the process joins.
    role, name : str
        Role, which is also the name of the stand-in's module, and name of the
        process.
    **options
        Flags of its command line, except ``port``.
    """
    port = free_port()
    url = f"http://127.0.0.1:{port}"
    flags = [f"--{key}={value}" for key, value in options.items()]
    return fleet.start_process(
        name=name,
        role=role,
        url=url,
        ready_url=f"{url}/standin/log",
        arguments=[f"zinniaramp.standins.{role}", f"--port={port}", *flags],
    )


def _describe(processes: list[FleetProcess]) -> str:
    return ", ".join(f"{process.name} (see {process.log})" for process in processes)


def _is_ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1):
            return True
    except urllib.error.HTTPError as error:
        return error.code == 404
    except OSError:
        return False


def _find_running(process: FleetProcess) -> psutil.Process | None:
    try:
        candidate = psutil.Process(process.pid)
        is_same = abs(candidate.create_time() - process.created) < 1
        is_running = candidate.status() != psutil.STATUS_ZOMBIE
    except psutil.NoSuchProcess:
        return None
    return candidate if is_same and is_running else None


def is_alive(process: FleetProcess) -> bool:
    """Return whether a process of a fleet is running.

    A different process that has reused its id does not count, nor does a zombie.
    """
    return _find_running(process) is not None


def _signal_all(processes: list[FleetProcess], number: signal.Signals) -> None:
    for process in processes:
        running = _find_running(process)
        with contextlib.suppress(psutil.NoSuchProcess):
            if running is not None:
                running.send_signal(number)


def _wait_until_ended(processes: list[FleetProcess]) -> None:
    deadline = time.monotonic() + END_SECONDS
    while any(map(is_alive, processes)) and time.monotonic() < deadline:
        time.sleep(POLL_SECONDS)


def terminate_processes(processes: list[FleetProcess]) -> None:
    """Send SIGTERM, then SIGKILL to processes still running after `END_SECONDS`."""
    _signal_all(processes, signal.SIGTERM)
    _wait_until_ended(processes)
    _signal_all(processes, signal.SIGKILL)
    _wait_until_ended(processes)
