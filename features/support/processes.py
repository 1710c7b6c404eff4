"""A small fleet of real processes, with methods that inject faults into it."""

import http.client
import json
import os
import shutil
import signal
import subprocess
import sys
import threading
import time
import urllib.request
from urllib.parse import urlsplit

from zinniaramp.standins.fleet import MODEL, FleetOptions, bring_up
from zinniaramp.standins.forwarder import Forwarder

WAIT_LIMIT_SECONDS = 10
"""Timeout of every wait for a condition or a response."""
POLL_INTERVAL_SECONDS = 0.01
FAST_HEARTBEAT = {"fleet": {"silence": "0.4", "heartbeat": "0.1"}}
"""Settings of the daemons with short times for the streams, in seconds."""
DECLARATIONS = f"""
[defaults]
class_name = question
[class question]
tier = 1
deadline = 8
[class quick]
tier = 1
deadline = 0.6
[class patient]
tier = 1
deadline = 2
[class record]
tier = 1
repeatable = false
deadline = 30
queue_limit = 60
[class brief]
tier = 1
repeatable = false
deadline = 0.6
[class note]
tier = 1
repeatable = false
ticket = optional
[model {MODEL}]
[service ledger]
class_name = record
timeout = 1
"""


def wait_until(condition, description, seconds=WAIT_LIMIT_SECONDS):
    """Wait until a condition holds and return its value; fail after a timeout."""
    deadline = time.monotonic() + seconds
    while not (value := condition()):
        assert time.monotonic() < deadline, f"not within {seconds} s: {description}"
        time.sleep(POLL_INTERVAL_SECONDS)
    return value


def fetch_json(url, body=None):
    """Return the parsed JSON body of a response; POST if a body is passed."""
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data, timeout=WAIT_LIMIT_SECONDS) as response:
        return json.loads(response.read())


class Sender(threading.Thread):
    """Sends one request in a thread and records the response.

    Attributes
    ----------
    reply_headers : Mapping
        Headers of the response; empty if none were received.
    error : dict
        Error object of a response with status 400 or above, otherwise empty.
    status : int
        HTTP status; 0 if the connection failed before a status was received.
    outcome : str
        Outcome that the response reports; ``unknown`` if it reports none.
    text : str
        Text of the answer that has been received so far.
    """

    def __init__(self, *, url, path, headers, body):
        super().__init__(daemon=True)
        self.address, self.path = urlsplit(url).netloc, path
        self.headers, self.body = headers, body
        self.status, self.outcome, self.text = 0, "unknown", ""
        self.reply_headers, self.error = {}, {}
        self.start()

    def run(self):
        """Send the request and read the response to its end."""
        connection = http.client.HTTPConnection(
            self.address, timeout=WAIT_LIMIT_SECONDS
        )
        try:
            connection.request("POST", self.path, self.body, self.headers)
            self.read(connection.getresponse())
        except (OSError, http.client.HTTPException):
            self.outcome = "unknown"
        finally:
            connection.close()

    def read(self, response):
        """Read a response, streamed or not."""
        self.status, self.reply_headers = response.status, response.headers
        outcome = response.headers.get("Zinniaramp-Outcome", "unknown")
        if "event-stream" in response.headers.get("Content-Type", ""):
            for line in response:
                if line.startswith(b"data: {"):
                    self.read_event(json.loads(line.removeprefix(b"data: ")))
            return
        text = response.read().decode()
        if self.status >= 400:
            self.error = json.loads(text)["error"]
        else:
            self.text = text
        self.outcome = outcome

    def read_event(self, event):
        """Add one event of a streamed answer."""
        for choice in event.get("choices", []):
            self.text += choice["delta"].get("content", "")
        if "zinniaramp" in event:
            self.outcome = event["zinniaramp"]["outcome"] or "unknown"

    def finish(self):
        """Wait for the end of the response and return this sender."""
        self.join(2 * WAIT_LIMIT_SECONDS)
        assert not self.is_alive(), "a caller has received no complete response"
        return self


class LiveFleet:
    """Entries, one engine and one plain service, each with an endpoint process.

    A forwarder is in front of each endpoint process, for faults of the network.

    Attributes
    ----------
    forwarders : dict
        Forwarders, by the address of the endpoint process.
    restarted : dict
        Processes that `kill` has started, by name.
    processes : dict
        Processes as they were started first, by name.
    pids : dict
        Current process ids, by name.
    entries : list of str
        Names of the entry processes.
    """

    def __init__(self, directory, *, entries=3):
        self.directory = directory
        self.forwarders = {}
        self.restarted = {}
        deployment = directory / "deployment"
        deployment.mkdir(parents=True)
        (deployment / "declarations.ini").write_text(DECLARATIONS)
        options = FleetOptions(
            width=1, advertise=self.add_forwarder, settings=FAST_HEARTBEAT
        )
        started = bring_up(
            directory / "live",
            entries=entries,
            endpoints=1,
            services=1,
            example=str(deployment),
            options=options,
        )
        self.processes = {one.name: one for one in started}
        self.pids = {one.name: one.pid for one in started}
        self.entries = [one.name for one in started if one.role == "entry"]
        for name in self.entries:
            self.wait_connected(name)

    def add_forwarder(self, address):
        """Start a forwarder to an address and return the forwarder's own."""
        self.forwarders[address] = Forwarder(address=address)
        return self.forwarders[address].address

    def forwarder_to(self, name):
        """Return the forwarder in front of an endpoint process."""
        return self.forwarders[self.processes[name].address]

    def close(self):
        """Kill every process, close the forwarders and remove the directory."""
        for pid in self.pids.values():
            os.kill(pid, signal.SIGKILL)
        for child in self.restarted.values():
            child.wait()
        for forwarder in self.forwarders.values():
            forwarder.close()
        shutil.rmtree(self.directory)

    def freeze(self, name):
        """Suspend a process with SIGSTOP until `resume`."""
        os.kill(self.pids[name], signal.SIGSTOP)

    def resume(self, name):
        """Continue a suspended process with SIGCONT."""
        os.kill(self.pids[name], signal.SIGCONT)

    def kill(self, name):
        """Kill a process and restart it from its settings."""
        process = self.processes[name]
        os.kill(self.pids[name], signal.SIGKILL)
        if name in self.restarted:
            self.restarted[name].wait()
        with open(process.log, "a") as log:
            child = subprocess.Popen(
                [sys.executable, "-m", "zinniaramp.daemon", process.settings],
                stdout=log,
                stderr=log,
            )
        self.restarted[name], self.pids[name] = child, child.pid

    def wait_connected(self, name):
        """Wait until an entry has an open stream to every endpoint process."""
        url = f"{self.processes[name].operator}/status"

        def is_connected():
            try:
                peers = fetch_json(url)["peers"]
            except OSError:
                return False
            return len(peers) == 2 and all(one["state"] == "open" for one in peers)

        wait_until(is_connected, f"streams of {name}")

    def log_text(self, name):
        """Return the text of a daemon's log."""
        with open(self.processes[name].log) as log:
            return log.read()

    def wait_logged(self, name, value, count):
        """Wait until an event or decision is logged more than `count` times."""
        wait_until(lambda: self.count_logged(name, value) > count, value)

    def count_logged(self, name, value):
        """Return how often an event or decision occurs in a daemon's log."""
        return self.log_text(name).count(f'"{value}"')

    def set_faults(self, name, **faults):
        """Set some faults of a stand-in; the others stay as they are."""
        fetch_json(f"{self.processes[name].url}/standin/faults", faults)

    def executions(self, mark):
        """Return the executions of a mark in the logs of the engine and the service."""
        logs = [
            fetch_json(f"{one.url}/standin/log")
            for one in self.processes.values()
            if one.role in ("engine", "service")
        ]
        return [one for log in logs for one in log if one["mark"] == mark]

    def wait_idle(self):
        """Wait until no endpoint process has a running, queued or held attempt."""

        def is_idle():
            for one in self.processes.values():
                if one.role == "endpoint":
                    status = fetch_json(f"{one.operator}/status")
                    waiting = sum(status["waiting"].values())
                    if status["running"] or status["held"] or waiting:
                        return False
            return True

        wait_until(is_idle, "no request in flight")

    def send_chat(self, entry, *, mark, tokens, class_name, ticket=""):
        """Send a streamed chat request through an entry."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": mark}],
            "stream": True,
            "metadata": {"mark": mark, "output_tokens": tokens},
        }
        headers = {"Zinniaramp-Class": class_name}
        if ticket:
            headers["Idempotency-Key"] = ticket
        return Sender(
            url=self.processes[entry].url,
            path="/v1/chat/completions",
            headers=headers,
            body=json.dumps(body).encode(),
        )

    def send_call(self, entry, *, mark, class_name="record", ticket=""):
        """Send a call of the plain service through an entry."""
        headers = {"Zinniaramp-Class": class_name, "X-Mark": mark}
        if ticket:
            headers["Idempotency-Key"] = ticket
        return Sender(
            url=self.processes[entry].url,
            path="/services/ledger/entries",
            headers=headers,
            body=mark.encode(),
        )

    def ticket(self, target, class_name):
        """Request a ticket for a target and a class from the last entry."""
        url = f"{self.processes[self.entries[-1]].url}/v1/tickets"
        return fetch_json(url, {"target": target, "class": class_name})["ticket"]
