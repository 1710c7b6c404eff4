"""Measurements of a process: memory, bytes that it has not read, and descriptors."""

import asyncio
import os
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

MEBIBYTE = 1024 * 1024
SAMPLE_INTERVAL_SECONDS = 0.01
"""Interval between two measurements of the process."""
SETTLE_SECONDS = 0.2
"""Interval over which the processor time of the process is measured."""
SETTLED_TICKS = 4
"""Processor time in this interval below which the process has read what it was sent,
in clock ticks of 10 ms."""
MAX_SETTLE_SECONDS = 12
"""Longest wait for this."""
LISTENING = "0A"
"""State of a listening socket in ``/proc/net/tcp``."""


def tcp_sockets():
    """Yield state, local port, unread bytes and inode of each IPv4 TCP socket."""
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        port = int(fields[1].rpartition(":")[2], 16)
        unread = int(fields[4].rpartition(":")[2], 16)
        yield fields[3], port, unread, fields[9]


def open_files(pid):
    """Return the targets of a process's descriptors."""
    directory = Path(f"/proc/{pid}/fd")
    targets = []
    for name in os.listdir(directory):
        try:
            targets.append(os.readlink(directory / name))
        except FileNotFoundError:
            # It was closed after the directory had been read.
            targets.append("")
    return targets


def socket_inodes(files):
    """Return the inodes of the sockets among the targets of descriptors."""
    prefix = "socket:["
    return {one[len(prefix) : -1] for one in files if one.startswith(prefix)}


def listening_ports(pid):
    """Return the TCP ports on which a process listens."""
    inodes = socket_inodes(open_files(pid))
    return {
        port
        for state, port, _, inode in tcp_sockets()
        if state == LISTENING and inode in inodes
    }


def count_unread(inodes, ports):
    """Return the bytes that the sockets of a process have received and not read.

    Connections that wait to be accepted have the listener's port and inode 0.
    """
    return sum(
        unread
        for state, port, unread, inode in tcp_sockets()
        if state != LISTENING and (inode in inodes or (inode == "0" and port in ports))
    )


def status_kilobytes(pid):
    """Return the fields of a process's status that are in KiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    pairs = (line.split() for line in lines if line.endswith(" kB"))
    return {name.rstrip(":"): int(value) for name, value, _ in pairs}


def processor_ticks(pid):
    """Return the processor time of a process in clock ticks; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return int(fields[11]) + int(fields[12])


@dataclass(slots=True, kw_only=True)
class Subject:
    """A process under test, and the largest measurements of it.

    Parameters
    ----------
    name : str
        Name of the process.
    pid : int
        Its process id.
    is_alive : callable
        Returns whether it is running.
    memory_limit_mb : float
        Bound of its memory, in MiB.
    descriptor_limit : int
        Bound of its open descriptors.

    Attributes
    ----------
    idle_mb : float
        Resident memory at the first measurement, in MiB.
    memory_mb : float
        Peak of the resident memory and the unread bytes together, in MiB.
    unread_mb : float
        Largest number of unread bytes that was seen, in MiB.
    descriptors : int
        Largest number of open descriptors that was seen.
    """

    name: str
    pid: int
    is_alive: Callable[[], bool]
    memory_limit_mb: float
    descriptor_limit: int
    idle_mb: float = 0.0
    memory_mb: float = 0.0
    unread_mb: float = 0.0
    descriptors: int = 0
    ports: set[int] = field(default_factory=set)
    ended: threading.Event = field(default_factory=threading.Event)
    thread: threading.Thread | None = None

    def start(self):
        """Measure the idle process, and then repeatedly until `stop`."""
        self.ports = listening_ports(self.pid)
        self.measure()
        self.idle_mb = self.memory_mb
        self.thread = threading.Thread(target=self._watch, daemon=True)
        self.thread.start()

    def stop(self):
        """Stop measuring."""
        self.ended.set()
        if self.thread is not None:
            self.thread.join()

    def measure(self):
        """Measure the process; nothing is measured once it has ended."""
        try:
            files = open_files(self.pid)
            unread = count_unread(socket_inodes(files), self.ports) / MEBIBYTE
            status = status_kilobytes(self.pid)
        except OSError:
            return
        if "VmRSS" not in status:
            return
        self.unread_mb = max(self.unread_mb, unread)
        resident, peak = status["VmRSS"] / 1024, status["VmHWM"] / 1024
        self.memory_mb = max(self.memory_mb, peak, resident + unread)
        self.descriptors = max(self.descriptors, len(files))

    def _watch(self):
        while not self.ended.wait(SAMPLE_INTERVAL_SECONDS):
            self.measure()

    async def settle(self):
        """Wait until the process has dealt with what it was sent, or has ended."""
        deadline = time.monotonic() + MAX_SETTLE_SECONDS
        while self.is_alive() and time.monotonic() < deadline:
            before = processor_ticks(self.pid)
            await asyncio.sleep(SETTLE_SECONDS)
            if processor_ticks(self.pid) - before < SETTLED_TICKS:
                return

    def check_limits(self):
        """Assert that the process has stayed within its limits."""
        assert self.memory_mb <= self.memory_limit_mb, self.describe()
        assert self.descriptors <= self.descriptor_limit, self.describe()

    def describe(self):
        """Return the measurements as text."""
        return (
            f"{self.name}: {self.idle_mb:.0f} MiB idle, peak {self.memory_mb:.0f} MiB "
            f"with {self.unread_mb:.0f} MiB unread at most, {self.descriptors} "
            f"descriptors; limits {self.memory_limit_mb:g} MiB, {self.descriptor_limit}"
        )
