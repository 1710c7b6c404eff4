"""Fleets of real processes whose scenarios check guarantees, and their callers."""

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

WAIT_LIMIT_SECONDS = 20
"""Timeout of every wait for a condition, an answer or a process."""
POLL_INTERVAL_SECONDS = 0.01
REFUSED = "refused"
"""Error of an answer whose connection was refused."""
FAST_HEARTBEAT = {"fleet": {"heartbeat": "0.2", "silence": "0.6", "drain_limit": "15"}}
"""Settings of the daemons with short times for the streams, in seconds."""


def wait_until(condition, description, seconds=WAIT_LIMIT_SECONDS):
    """Wait until a condition holds; fail after a timeout."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, f"not within {seconds} s: {description}"
        time.sleep(POLL_INTERVAL_SECONDS)


def fetch_json(url, body=None):
    """Return the parsed JSON body of a response; POST if a body is passed."""
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data=data, timeout=WAIT_LIMIT_SECONDS) as response:
        return json.loads(response.read())


def is_ready(process):
    """Return whether a daemon process reports that it is ready."""
    try:
        with urllib.request.urlopen(process.ready_url, timeout=WAIT_LIMIT_SECONDS):
            return True
    except OSError:
        return False


@dataclass(slots=True, kw_only=True)
class Answer:
    """One caller's request and the answer that it has received so far.

    Attributes
    ----------
    kind : str
        ``streamed`` or ``whole`` for a chat request, ``plain`` for a call of the
        plain service.
    mark : str
        Name of the request in the logs of the stand-ins.
    body : dict
        Body of the request.
    text : str
        Text of the answer to a chat request.
    response_body : bytes
        Body of a response that is not streamed.
    next_event : int
        Number of the next event of a streamed answer, from which it is resumed.
    is_ended : bool
        Whether the end of the answer was received.
    error : str
        What went wrong; empty if nothing did.
    sent_at : float
        When the request was sent, in Unix seconds.
    unblock_reading : threading.Event or None
        Event for which a slow caller waits before it reads a line; None for a caller
        that reads at once.
    """

    kind: str
    url: str
    mark: str
    body: dict
    status: int = 0
    request_id: str = ""
    text: str = ""
    response_body: bytes = b""
    next_event: int = 0
    is_ended: bool = False
    error: str = ""
    sent_at: float = 0
    unblock_reading: threading.Event | None = None
    connection: http.client.HTTPConnection | None = None

    def is_complete(self):
        """Return whether the answer equals the expected one, to its end."""
        if self.kind == "plain":
            data = json.dumps(self.body).encode()
            expected = asdict(expected_reply("POST", f"/{self.mark}", data))
            return self.status == 200 and json.loads(self.response_body) == expected
        return self.is_ended and self.text == expected_text(self.body)

    def is_refused(self):
        """Return whether the caller was refused or received ``not-run``."""
        if not self.response_body:
            return self.error == REFUSED
        return (
            self.status in (429, 503) and b'"outcome": "not-run"' in self.response_body
        )

    def looks_complete(self):
        """Return whether a caller would accept the answer as complete."""
        return self.is_ended or (self.kind != "streamed" and self.status == 200)

    def fetch(self):
        """Send the request and read its answer; record an error."""
        self.sent_at = time.time()
        path = f"/services/ledger/{self.mark}"
        if self.kind != "plain":
            path = "/v1/chat/completions"
        self.exchange("POST", path, json.dumps(self.body).encode())

    def resume_at(self, url):
        """Request the rest of the answer from another entry process."""
        self.url = url
        self.error = ""
        path = f"/v1/requests/{self.request_id}?from={self.next_event}"
        self.exchange("GET", path, None)

    def exchange(self, method, path, data):
        """Send one HTTP request and read the response; record an error."""
        address = self.url.removeprefix("http://")
        self.connection = http.client.HTTPConnection(
            address, timeout=WAIT_LIMIT_SECONDS
        )
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
        self.response_body = response.read()
        if response.status != 200:
            self.error = f"{response.status} {self.response_body!r:.300}"
        elif self.kind == "whole":
            self.text = json.loads(self.response_body)["choices"][0]["message"][
                "content"
            ]
            self.is_ended = True

    def read_events(self, response):
        """Read server-sent events."""
        number = None
        for line in response:
            if self.unblock_reading is not None:
                self.unblock_reading.wait(WAIT_LIMIT_SECONDS)
            if line.startswith(b"id: "):
                number = int(line.removeprefix(b"id: "))
            if line.startswith(b"data: "):
                self.add_event(line.removeprefix(b"data: ").strip())
                if number is not None:
                    self.next_event = number + 1
        if not self.is_ended and not self.error:
            self.error = "ended early"

    def add_event(self, data):
        """Add the data of one event to the answer."""
        if data == b"[DONE]":
            self.is_ended = True
            return
        event = json.loads(data)
        if "error" in event:
            self.error = json.dumps(event["error"])
        for choice in event.get("choices", []):
            self.text += choice["delta"].get("content") or ""


@dataclass(slots=True, kw_only=True)
class FleetBench:
    """A fleet on loopback with a forwarder in front of each endpoint process.

    Attributes
    ----------
    directory : Path
        Directory of the fleet's settings and logs.
    processes : list of FleetProcess
        Processes of the fleet.
    forwarders : dict
        Forwarders, by the address of the endpoint process.
    answers : list of Answer
        Answers to all requests of the scenario.
    threads : list of Thread
        Threads of the callers.
    draining : set of str
        Names of the processes that are being restarted and receive no requests.
    """

    directory: object
    processes: list = field(default_factory=list)
    forwarders: dict = field(default_factory=dict)
    answers: list = field(default_factory=list)
    threads: list = field(default_factory=list)
    draining: set = field(default_factory=set)

    def start(self, *, entries, endpoints, services=0, forwarder=Forwarder, slow=1.0):
        """Start the processes and wait until all streams are open.

        Parameters
        ----------
        entries, endpoints, services : int
            Number of entry processes, engines and plain services.
        forwarder : type
            Class of the forwarders.
        slow : float
            Factor on the times of the engines.
        """

        def advertise(address):
            started = self.forwarders[address] = forwarder(address=address)
            return started.address

        options = FleetOptions(
            width=32, slow=(slow,), advertise=advertise, settings=FAST_HEARTBEAT
        )
        self.processes = bring_up(
            self.directory,
            entries=entries,
            endpoints=endpoints,
            services=services,
            options=options,
        )
        for entry in self.by_role("entry"):
            wait_until(lambda e=entry: self.opened(e), "streams to every endpoint")

    def opened(self, entry):
        """Return whether an entry process has a stream to every endpoint process."""
        peers = fetch_json(f"{entry.operator}/status")["peers"]
        count = len(self.by_role("endpoint"))
        return sum(peer["state"] == "open" for peer in peers) == count

    def close(self):
        """Close the forwarders; `kill_all` ends the processes after the scenario."""
        for one in self.forwarders.values():
            one.close()

    def by_role(self, role):
        """Return the processes of one role."""
        return [one for one in self.processes if one.role == role]

    def process(self, name):
        """Return the process with a name."""
        return next(one for one in self.processes if one.name == name)

    def forwarder(self, endpoint):
        """Return the forwarder in front of an endpoint process."""
        return self.forwarders[endpoint.address]

    def send_request(self, kind, entry, *, tokens=60, unblock_reading=None):
        """Send a request to an entry process in a new thread; return its `Answer`."""
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
            kind=kind,
            url=entry.url,
            mark=mark,
            body=body,
            unblock_reading=unblock_reading,
        )
        self.answers.append(answer)
        self.start_thread(answer.fetch)
        return answer

    def start_thread(self, function):
        """Run a function in a thread that `join` waits for."""
        thread = threading.Thread(target=function, daemon=True)
        self.threads.append(thread)
        thread.start()

    def join(self):
        """Wait until the threads of all callers have ended."""
        for thread in self.threads:
            thread.join(WAIT_LIMIT_SECONDS)
            assert not thread.is_alive(), (
                "a caller has not received the end of its answer"
            )
        self.threads.clear()

    def kill(self, process):
        """Kill a process and wait until it has ended."""
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

    def restart(self, ended):
        """Restart ended processes from their settings and wait until they are ready."""
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
        """Kill every process that is still alive."""
        for process in read_fleet(self.directory):
            if is_alive(process):
                os.kill(process.pid, signal.SIGKILL)
