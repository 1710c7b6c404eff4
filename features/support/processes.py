"""A small fleet of real processes that scenarios cut, freeze, kill and start again."""

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

BOUND_SECONDS = 10
POLL_SECONDS = 0.01
QUICK_LINKS = {"fleet": {"silence": "0.4", "heartbeat": "0.1"}}
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


def wait_until(condition, what, seconds=BOUND_SECONDS):
    """Wait for a condition, for a bounded time, and return its value."""
    limit = time.monotonic() + seconds
    while not (found := condition()):
        assert time.monotonic() < limit, f"not within {seconds} s: {what}"
        time.sleep(POLL_SECONDS)
    return found


def fetch(url, body=None):
    """Return the parsed JSON answer of a call."""
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data, timeout=BOUND_SECONDS) as response:
        return json.loads(response.read())


class Sender(threading.Thread):
    """Sends one request and keeps what its caller was told.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection broke before there was one.
    outcome : str
        What the caller knows: unknown until it is told otherwise.
    text : str
        The answer so far.
    """

    def __init__(self, *, url, path, headers, body):
        super().__init__(daemon=True)
        self.address, self.path = urlsplit(url).netloc, path
        self.headers, self.body = headers, body
        self.status, self.outcome, self.text = 0, "unknown", ""
        self.reply_headers, self.error = {}, {}
        self.start()

    def run(self):
        """Send the request and read the answer to its end."""
        connection = http.client.HTTPConnection(self.address, timeout=BOUND_SECONDS)
        try:
            connection.request("POST", self.path, self.body, self.headers)
            self.read(connection.getresponse())
        except (OSError, http.client.HTTPException):
            self.outcome = "unknown"
        finally:
            connection.close()

    def read(self, response):
        """Read an answer, streamed or whole."""
        self.status, self.reply_headers = response.status, response.headers
        told = response.headers.get("Zinniaramp-Outcome", "unknown")
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
        self.outcome = told

    def read_event(self, event):
        """Take one event of a streamed answer."""
        for choice in event.get("choices", []):
            self.text += choice["delta"].get("content", "")
        if "zinniaramp" in event:
            self.outcome = event["zinniaramp"]["outcome"] or "unknown"

    def finish(self):
        """Wait for the answer and return this sender."""
        self.join(2 * BOUND_SECONDS)
        assert not self.is_alive(), "a caller has no answer"
        return self


class LiveFleet:
    """Entries, one engine and one plain service, with forwarders between."""

    def __init__(self, directory, *, entries=3):
        self.directory = directory
        self.forwarders = {}
        self.restarted = {}
        deployment = directory / "deployment"
        deployment.mkdir(parents=True)
        (deployment / "declarations.ini").write_text(DECLARATIONS)
        options = FleetOptions(width=1, advertise=self.forward, settings=QUICK_LINKS)
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
            self.wait_open(name)

    def forward(self, address):
        """Return the address of a forwarder to an address."""
        self.forwarders[address] = Forwarder(address=address)
        return self.forwarders[address].address

    def forwarder_to(self, name):
        """Return the forwarder before an endpoint process."""
        return self.forwarders[self.processes[name].address]

    def close(self):
        """End every process and forwarder of this fleet."""
        for pid in self.pids.values():
            os.kill(pid, signal.SIGKILL)
        for child in self.restarted.values():
            child.wait()
        for forwarder in self.forwarders.values():
            forwarder.close()
        shutil.rmtree(self.directory)

    def freeze(self, name):
        """Stop a process until `wake`."""
        os.kill(self.pids[name], signal.SIGSTOP)

    def wake(self, name):
        """Let a stopped process go on."""
        os.kill(self.pids[name], signal.SIGCONT)

    def kill(self, name):
        """Kill a process and start it again from its settings."""
        one = self.processes[name]
        os.kill(self.pids[name], signal.SIGKILL)
        if name in self.restarted:
            self.restarted[name].wait()
        with open(one.log, "a") as log:
            child = subprocess.Popen(
                [sys.executable, "-m", "zinniaramp.daemon", one.settings],
                stdout=log,
                stderr=log,
            )
        self.restarted[name], self.pids[name] = child, child.pid

    def wait_open(self, name):
        """Wait until an entry has an open stream to every endpoint process."""
        url = f"{self.processes[name].operator}/status"

        def is_open():
            try:
                peers = fetch(url)["peers"]
            except OSError:
                return False
            return len(peers) == 2 and all(one["state"] == "open" for one in peers)

        wait_until(is_open, f"{name} has its streams")

    def log_text(self, name):
        """Return a daemon's log."""
        with open(self.processes[name].log) as log:
            return log.read()

    def wait_logged(self, name, word, count):
        """Wait until a daemon's log has a word more often than so many times."""
        wait_until(lambda: self.count_logged(name, word) > count, word)

    def count_logged(self, name, word):
        """Return how often a daemon's log has an event or decision."""
        return self.log_text(name).count(f'"{word}"')

    def set_faults(self, name, **faults):
        """Change a stand-in's faults."""
        fetch(f"{self.processes[name].url}/standin/faults", faults)

    def executions(self, mark):
        """Return every run of a mark in any engine or service."""
        logs = [
            fetch(f"{one.url}/standin/log")
            for one in self.processes.values()
            if one.role in ("engine", "service")
        ]
        return [one for log in logs for one in log if one["mark"] == mark]

    def settle(self):
        """Wait until nothing runs or waits at any endpoint process or stand-in."""

        def is_quiet():
            for one in self.processes.values():
                if one.role == "endpoint":
                    status = fetch(f"{one.operator}/status")
                    waiting = sum(status["waiting"].values())
                    if status["running"] or status["held"] or waiting:
                        return False
            return True

        wait_until(is_quiet, "nothing is in flight")

    def chat(self, entry, *, mark, tokens, class_name, ticket=""):
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

    def call(self, entry, *, mark, class_name="record", ticket=""):
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
        """Fetch a ticket."""
        url = f"{self.processes[self.entries[-1]].url}/v1/tickets"
        return fetch(url, {"target": target, "class": class_name})["ticket"]
