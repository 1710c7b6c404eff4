"""A running fleet whose daemons are queried and restarted; for tests only."""

import json
import time
import urllib.request
from pathlib import Path

from zinniaramp.standins.fleet import FleetOptions, bring_up
from zinniaramp.standins.forwarder import Forwarder
from zinniaramp.standins.processes import Fleet, terminate_processes

POLL_INTERVAL_SECONDS = 0.05
DAEMON_ROLES = ("entry", "endpoint")


def fetch_json(url, body=None):
    """Return the parsed JSON body of a response; POST if a body is passed."""
    with urllib.request.urlopen(url, data=body, timeout=5) as response:
        return json.loads(response.read())


def wait_until(condition, seconds):
    """Return whether a condition becomes true before a timeout."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(POLL_INTERVAL_SECONDS)
    return False


def read_events(path):
    """Return the events of a log file, parsed from its JSON lines."""
    lines = Path(path).read_text().splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


class RunningFleet:
    """Daemons behind forwarders, stand-ins, and the logs of all their processes.

    Attributes
    ----------
    forwarders : dict
        Forwarders, by the address of the endpoint process.
    old_logs : list of Path
        Logs of processes that have ended.
    seen_indexes : dict of list of int
        Indexes of the revisions that each incarnation of a daemon has reported.
    """

    def __init__(self, directory, **sizes):
        self.forwarders = {}
        self.old_logs = []
        self.seen_indexes = {}
        options = FleetOptions(advertise=self.advertise)
        listed = bring_up(directory, options=options, **sizes)
        self.fleet = Fleet(directory=directory.resolve(), processes=listed)

    def advertise(self, address):
        """Start a forwarder to an address and return the forwarder's own."""
        self.forwarders[address] = Forwarder(address=address)
        return self.forwarders[address].address

    def close(self):
        """Close the forwarders."""
        for forwarder in self.forwarders.values():
            forwarder.close()

    def process(self, name):
        """Return a process by name."""
        return next(one for one in self.fleet.processes if one.name == name)

    def daemons(self):
        """Return the daemon processes."""
        return [one for one in self.fleet.processes if one.role in DAEMON_ROLES]

    def forwarder(self, name):
        """Return the forwarder in front of an endpoint process."""
        return self.forwarders[self.process(name).address]

    def status(self, name):
        """Return a daemon's status and record its revision; None if it is down."""
        try:
            status = fetch_json(f"{self.process(name).operator}/status")
        except OSError:
            return None
        indexes = self.seen_indexes.setdefault(status["incarnation"], [])
        indexes.append(status["revision"]["index"])
        return status

    def end(self, name):
        """End a process, rename its log and remove it from the fleet; return it."""
        process = self.process(name)
        terminate_processes([process])
        self.fleet.processes.remove(process)
        old_log = Path(process.log).with_suffix(f".{len(self.old_logs)}.old")
        Path(process.log).rename(old_log)
        self.old_logs.append(old_log)
        return process

    def start_daemon(self, ended, settings=None):
        """Restart a daemon that has ended, optionally with other settings."""
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
        """Start a stand-in of the configuration service and wait until it is ready."""
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
        """Return the events of all daemons, ended ones included, by log file."""
        paths = [one.log for one in self.daemons()]
        old = [p for p in self.old_logs if not p.name.startswith("configuration")]
        return {str(path): read_events(path) for path in [*paths, *old]}


__all__ = ["RunningFleet", "fetch_json", "read_events", "wait_until"]
