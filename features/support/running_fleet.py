"""A running fleet whose daemons can be asked and restarted; for tests only."""

import json
import time
import urllib.request
from pathlib import Path

from zinniaramp.standins.fleet import FleetOptions, bring_up
from zinniaramp.standins.forwarder import Forwarder
from zinniaramp.standins.processes import Fleet, terminate_processes

POLL_SECONDS = 0.05
DAEMON_ROLES = ("entry", "endpoint")


def call(url, body=None):
    """Return the JSON that a URL answers."""
    with urllib.request.urlopen(url, data=body, timeout=5) as response:
        return json.loads(response.read())


def wait_until(condition, seconds):
    """Tell whether a condition comes true within a bound."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(POLL_SECONDS)
    return False


def read_events(path):
    """Return the JSON lines of a log."""
    lines = Path(path).read_text().splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


class RunningFleet:
    """Daemons behind forwarders, their stand-ins, and all logs, old ones too."""

    def __init__(self, directory, **sizes):
        self.forwarders = {}
        self.old_logs = []
        self.seen = {}
        options = FleetOptions(advertise=self.advertise)
        listed = bring_up(directory, options=options, **sizes)
        self.fleet = Fleet(directory=directory.resolve(), processes=listed)

    def advertise(self, address):
        """Put a forwarder before a stream address."""
        self.forwarders[address] = Forwarder(address=address)
        return self.forwarders[address].address

    def close(self):
        """End the forwarders."""
        for forwarder in self.forwarders.values():
            forwarder.close()

    def process(self, name):
        """Return a process by name."""
        return next(one for one in self.fleet.processes if one.name == name)

    def daemons(self):
        """Return the daemon processes."""
        return [one for one in self.fleet.processes if one.role in DAEMON_ROLES]

    def forwarder(self, name):
        """Return the forwarder before an endpoint process."""
        return self.forwarders[self.process(name).address]

    def status(self, name):
        """Return a daemon's status and note its revision; None if it is down."""
        try:
            status = call(f"{self.process(name).operator}/status")
        except OSError:
            return None
        indexes = self.seen.setdefault(status["incarnation"], [])
        indexes.append(status["revision"]["index"])
        return status

    def end(self, name):
        """End a process, and take it from the list."""
        process = self.process(name)
        terminate_processes([process])
        self.fleet.processes.remove(process)
        kept = Path(process.log).with_suffix(f".{len(self.old_logs)}.old")
        Path(process.log).rename(kept)
        self.old_logs.append(kept)
        return process

    def start_daemon(self, ended, settings=None):
        """Start an ended daemon again, perhaps with other settings."""
        return self.fleet.start_process(
            name=ended.name,
            role=ended.role,
            url=ended.url,
            ready_url=ended.ready_url,
            arguments=["zinniaramp.daemon", str(settings or ended.settings)],
            settings=ended.settings,
            operator=ended.operator,
            address=ended.address,
        )

    def start_configuration(self, name, port, file, index):
        """Start a stand-in for the configuration service and wait for it."""
        url = f"http://127.0.0.1:{port}"
        arguments = [f"--port={port}", f"--file={file}", f"--index={index}"]
        started = self.fleet.start_process(
            name=name,
            role="configuration",
            url=url,
            ready_url=f"{url}/standin/log",
            arguments=["zinniaramp.standins.configuration", *arguments],
        )
        self.fleet.wait_ready()
        return started

    def logs(self):
        """Return the events of every daemon's start, by log file."""
        paths = [one.log for one in self.daemons()]
        old = [p for p in self.old_logs if not p.name.startswith("configuration")]
        return {str(path): read_events(path) for path in [*paths, *old]}


__all__ = ["RunningFleet", "call", "read_events", "wait_until"]
