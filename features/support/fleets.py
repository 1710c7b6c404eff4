"""Fleets of real processes for the proofs of promises, and their callers."""

import http.client
import json
import os
import signal
import threading
import time
import urllib.request
from dataclasses import asdict, dataclass, field

from zinniaramp.standins import expected_text
from zinniaramp.standins.fleet import MODEL, bring_up, is_alive, read_fleet
from zinniaramp.standins.forwarder import Forwarder
from zinniaramp.standins.options import FleetOptions
from zinniaramp.standins.processes import Fleet
from zinniaramp.standins.service import expected_reply

BOUND_SECONDS = 20
POLL_SECONDS = 0.01
REFUSED = "refused"
FAST_STREAMS = {"fleet": {"heartbeat": "0.2", "silence": "0.6", "drain_limit": "15"}}


def wait_until(condition, what, seconds=BOUND_SECONDS):
    """Wait for a condition, for a bounded time."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, f"not within {seconds} s: {what}"
        time.sleep(POLL_SECONDS)


def ask(url, body=None):
    """Ask a URL and return its JSON; POST if there is a body."""
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data=data, timeout=BOUND_SECONDS) as response:
        return json.loads(response.read())


def is_ready(process):
    """Tell whether a daemon process says that it can take requests."""
    try:
        with urllib.request.urlopen(process.ready_url, timeout=BOUND_SECONDS):
            return True
    except OSError:
        return False


@dataclass(slots=True, kw_only=True)
class Answer:
    """What one caller asked and has received so far."""

    kind: str
    url: str
    mark: str
    body: dict
    status: int = 0
    request_id: str = ""
    text: str = ""
    raw: bytes = b""
    next_event: int = 0
    is_ended: bool = False
    error: str = ""
    asked: float = 0
    reads_slowly: threading.Event | None = None
    connection: http.client.HTTPConnection | None = None

    def is_whole(self):
        """Tell whether the answer is the one that the request asks for."""
        if self.kind == "plain":
            data = json.dumps(self.body).encode()
            expected = asdict(expected_reply("POST", f"/{self.mark}", data))
            return self.status == 200 and json.loads(self.raw) == expected
        return self.is_ended and self.text == expected_text(self.body)

    def is_refused(self):
        """Tell whether the caller was told that its request did not run."""
        if not self.raw:
            return self.error == REFUSED
        return self.status in (429, 503) and b'"outcome": "not-run"' in self.raw

    def looks_whole(self):
        """Tell whether a caller would take the answer for a whole one."""
        return self.is_ended or (self.kind != "streamed" and self.status == 200)

    def fetch(self):
        """Send the request and read its answer; note what went wrong."""
        self.asked = time.time()
        path = f"/services/ledger/{self.mark}"
        if self.kind != "plain":
            path = "/v1/chat/completions"
        self.exchange("POST", path, json.dumps(self.body).encode())

    def continue_at(self, url):
        """Ask another entry process for the rest of the answer."""
        self.url = url
        self.error = ""
        path = f"/v1/requests/{self.request_id}?from={self.next_event}"
        self.exchange("GET", path, None)

    def exchange(self, method, path, data):
        """Send one request and read its answer."""
        address = self.url.removeprefix("http://")
        self.connection = http.client.HTTPConnection(address, timeout=BOUND_SECONDS)
        try:
            self.connection.connect()
        except ConnectionRefusedError:
            self.error = REFUSED
            return
        try:
            headers = {"Content-Type": "application/json", "X-Mark": self.mark}
            self.connection.request(method, path, data, headers)
            self.read(self.connection.getresponse())
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.error = repr(error)
        finally:
            self.connection.close()

    def read(self, response):
        """Read a response."""
        self.status = response.status
        self.request_id = response.headers.get("Zinniaramp-Request-Id", "")
        if self.kind == "streamed" and response.status == 200:
            self.read_events(response)
            return
        self.raw = response.read()
        if response.status != 200:
            self.error = f"{response.status} {self.raw!r:.300}"
        elif self.kind == "whole":
            self.text = json.loads(self.raw)["choices"][0]["message"]["content"]
            self.is_ended = True

    def read_events(self, response):
        """Read server-sent events."""
        number = None
        for line in response:
            if self.reads_slowly is not None:
                self.reads_slowly.wait(BOUND_SECONDS)
            if line.startswith(b"id: "):
                number = int(line.removeprefix(b"id: "))
            if line.startswith(b"data: "):
                self.take_event(line.removeprefix(b"data: ").strip())
                if number is not None:
                    self.next_event = number + 1
        if not self.is_ended and not self.error:
            self.error = "ended early"

    def take_event(self, data):
        """Take one event."""
        if data == b"[DONE]":
            self.is_ended = True
            return
        event = json.loads(data)
        if "error" in event:
            self.error = json.dumps(event["error"])
        for choice in event.get("choices", []):
            self.text += choice["delta"].get("content") or ""


@dataclass(slots=True, kw_only=True)
class Bench:
    """A fleet on loopback with a forwarder before each endpoint process."""

    directory: object
    processes: list = field(default_factory=list)
    forwarders: dict = field(default_factory=dict)
    answers: list = field(default_factory=list)
    threads: list = field(default_factory=list)
    draining: set = field(default_factory=set)

    def start(self, *, entries, endpoints, services=0, forwarder=Forwarder, slow=1.0):
        """Start the processes."""

        def advertise(address):
            made = self.forwarders[address] = forwarder(address=address)
            return made.address

        options = FleetOptions(
            width=32, slow=(slow,), advertise=advertise, settings=FAST_STREAMS
        )
        self.processes = bring_up(
            self.directory,
            entries=entries,
            endpoints=endpoints,
            services=services,
            options=options,
        )
        for entry in self.of("entry"):
            wait_until(lambda e=entry: self.opened(e), "streams to every endpoint")

    def opened(self, entry):
        """Tell whether an entry process has a stream to every endpoint process."""
        peers = ask(f"{entry.operator}/status")["peers"]
        count = len(self.of("endpoint"))
        return sum(peer["state"] == "open" for peer in peers) == count

    def close(self):
        """End the forwarders; the processes end with the scenario."""
        for one in self.forwarders.values():
            one.close()

    def of(self, role):
        """Return the processes of one role."""
        return [one for one in self.processes if one.role == role]

    def named(self, name):
        """Return one process."""
        return next(one for one in self.processes if one.name == name)

    def forwarder(self, endpoint):
        """Return the forwarder before an endpoint process."""
        return self.forwarders[endpoint.address]

    def ask_for(self, kind, entry, *, tokens=60, reads_slowly=None):
        """Let one more caller ask an entry process, in a thread of its own."""
        mark = f"{kind}-{len(self.answers)}"
        body = {"mark": mark}
        if kind != "plain":
            body = {
                "model": MODEL,
                "messages": [{"role": "user", "content": f"Trip {mark}?"}],
                "stream": kind == "streamed",
                "max_tokens": tokens,
                "metadata": {"output_tokens": tokens, "mark": mark},
            }
        answer = Answer(
            kind=kind, url=entry.url, mark=mark, body=body, reads_slowly=reads_slowly
        )
        self.answers.append(answer)
        self.spawn(answer.fetch)
        return answer

    def spawn(self, function):
        """Run a function in a thread that `join` waits for."""
        thread = threading.Thread(target=function, daemon=True)
        self.threads.append(thread)
        thread.start()

    def join(self):
        """Wait until every caller has its final answer."""
        for thread in self.threads:
            thread.join(BOUND_SECONDS)
            assert not thread.is_alive(), "a caller has no final answer"
        self.threads.clear()

    def kill(self, process):
        """End a process at once."""
        os.kill(process.pid, signal.SIGKILL)
        wait_until(lambda: not is_alive(process), f"end of {process.name}")

    def terminate(self, process):
        """Send SIGTERM and return a function that waits for the exit code."""
        os.kill(process.pid, signal.SIGTERM)

        def wait():
            wait_until(lambda: not is_alive(process), f"end of {process.name}")
            _, status = os.waitpid(process.pid, 0)
            return os.waitstatus_to_exitcode(status)

        return wait

    def start_again(self, ended):
        """Start processes that have ended, from their settings, and wait for them."""
        names = {one.name for one in ended}
        fleet = Fleet(directory=self.directory, processes=read_fleet(self.directory))
        fleet.processes = [one for one in fleet.processes if one.name not in names]
        for process in ended:
            fleet.start_process(
                name=process.name,
                role=process.role,
                url=process.url,
                ready_url=process.ready_url,
                arguments=["zinniaramp.daemon", process.settings],
                settings=process.settings,
                operator=process.operator,
                address=process.address,
            )
        fleet.wait_ready()
        self.processes = fleet.processes

    def kill_all(self):
        """End every process that is left, at once."""
        for process in read_fleet(self.directory):
            if is_alive(process):
                os.kill(process.pid, signal.SIGKILL)
