"""An endpoint process and its engine in one event loop, for the steps."""

import asyncio
import contextlib
import json
from datetime import UTC, datetime, timedelta

from loguru import logger

from zinniaramp.clock import monotonic_clock
from zinniaramp.configuration import RevisionStore
from zinniaramp.contracts import Chunk, Offer, Ping, Pong, RevisionId
from zinniaramp.declarations import read_declarations
from zinniaramp.endpoint import EndpointProcess
from zinniaramp.entry.peers import NO_LOAD
from zinniaramp.hosts import HostView
from zinniaramp.links import Identity, dial
from zinniaramp.settings import Settings
from zinniaramp.settings.core import (
    EngineSettings,
    FleetSettings,
    ListenSettings,
    LogSettings,
    PlatformSettings,
    ProcessSettings,
)
from zinniaramp.standins.engine.core import Engine
from zinniaramp.standins.engine.handlers import ROUTES
from zinniaramp.standins.engine.prefix import PrefixCache
from zinniaramp.standins.fleet import free_port
from zinniaramp.standins.service import CallHandler, Service
from zinniaramp.standins.serving import Controls, serve

KEY = "key-of-the-test-fleet"
MODEL = "small-model"
TIMEOUT_SECONDS = 8
POLL_SECONDS = 0.005
DECLARATIONS = """
[defaults]
answer_retention = {retention}
[class question]
tier = 1
[class record]
tier = 2
repeatable = false
[class summary]
tier = 6
"""


class SteppedClock:
    """Clock that only the test advances: a busy machine then causes no timeout."""

    def __init__(self):
        self.now = datetime.now(UTC)

    def __call__(self):
        """Return the current time."""
        return self.now

    def advance(self, duration):
        """Advance the time."""
        self.now += duration


class UnresponsiveEngine:
    """Accepts connections, counts requests, and closes them or sends no response."""

    def __init__(self, *, closes_connection):
        self.closes_connection = closes_connection
        self.requests = 0
        self.closed = 0

    async def serve(self, reader, writer):
        """Read one request, then close the connection or wait until the client does."""
        is_chat = False
        with contextlib.suppress(asyncio.CancelledError):
            while line := await reader.readline():
                is_chat = is_chat or line.startswith(b"POST /v1/chat")
                self.requests += line.startswith(b"POST /v1/chat")
                if line == b"\r\n" and self.closes_connection:
                    break
            self.closed += is_chat
            writer.close()


class EntryStream:
    """One stream to the endpoint process and the messages received on it."""

    def __init__(self, connection, *, interval_s):
        self.connection = connection
        self.interval_s = interval_s
        self.messages = []
        self.answers_heartbeats = True
        loop = asyncio.get_running_loop()
        self.receiving = loop.create_task(self.receive())
        self.pinging = loop.create_task(self.ping())

    async def ping(self):
        """Send heartbeats until the stream is closed."""
        revision = RevisionId(index=1, digest="")
        while not self.connection.is_closed:
            self.connection.send(Ping(number=0, revision=revision))
            await asyncio.sleep(self.interval_s)

    async def receive(self):
        """Collect messages until the stream is closed."""
        while (received := await self.connection.receive()).is_ok():
            self.messages += received.ok_value
            for message in received.ok_value:
                if isinstance(message, Ping) and self.answers_heartbeats:
                    self.answer(message)

    def answer(self, ping):
        """Answer a heartbeat, as entry processes do."""
        revision = RevisionId(index=1, digest="")
        pong = Pong(number=ping.number, revision=revision, load=NO_LOAD)
        self.connection.send(pong)


class Rig:
    """An endpoint process, its engine, and the streams of entry processes."""

    def __init__(
        self, *, width=1, silence=3.0, retention=60, kind="engine", clock=None
    ):
        self.loop = asyncio.new_event_loop()
        self.width, self.silence, self.kind = width, silence, kind
        self.retention = retention
        self.clock = clock or monotonic_clock()
        self.controls = Controls()
        self.unresponsive_engine = None
        self.engine_port = free_port()
        self.streams = f"127.0.0.1:{free_port()}"
        self.messages, self.callers, self.offers, self.tasks = [], [], {}, []
        self.events, self.ticketed = [], set()
        self.sink = logger.add(self.record_event, level="INFO", format="{message}")

    def record_event(self, line):
        """Record one log event."""
        extra = line.record["extra"]
        self.events.append((line.record["message"], extra.get("values", {})))

    def run(self, coroutine, seconds=TIMEOUT_SECONDS):
        """Run a coroutine until it ends, within a time limit."""
        return self.loop.run_until_complete(asyncio.wait_for(coroutine, seconds))

    def wait_until(self, condition, description, *, seconds=TIMEOUT_SECONDS):
        """Run the loop until a condition holds, within a time limit."""

        async def poll():
            while not condition():
                await asyncio.sleep(POLL_SECONDS)

        try:
            self.run(poll(), seconds)
        except TimeoutError:
            raise AssertionError(f"not within {seconds} s: {description}") from None

    def serve_engine(self):
        """Serve the stand-in engine or plain service."""
        if self.kind == "service":
            state = Service(slots=asyncio.Semaphore(8), clock=self.clock)
            routes = [("/.*", CallHandler)]
        else:
            cache = PrefixCache(capacity=16)
            state = Engine(
                width=self.width,
                models=[MODEL],
                cache=cache,
                controls=self.controls,
                clock=self.clock,
            )
            routes = ROUTES
            self.tasks.append(self.loop.create_task(state.run()))
        serving = serve(
            routes, port=self.engine_port, controls=self.controls, state=state
        )
        self.tasks.append(self.loop.create_task(serving))

    def serve_unresponsive(self, *, closes_connection):
        """Serve an engine that sends no response."""
        self.unresponsive_engine = UnresponsiveEngine(
            closes_connection=closes_connection
        )
        self.run(
            asyncio.start_server(
                self.unresponsive_engine.serve, "127.0.0.1", self.engine_port
            )
        )

    def settings(self):
        """Return the endpoint process's settings."""
        return Settings(
            process=ProcessSettings(role="endpoint", name="host-1", data_centre="dc"),
            listen=ListenSettings(operator="127.0.0.1:1", streams=self.streams),
            platform=PlatformSettings(),
            fleet=FleetSettings(
                key=KEY, silence=timedelta(seconds=self.silence), drain_limit=5
            ),
            log=LogSettings(),
            engine=EngineSettings(
                url=f"http://127.0.0.1:{self.engine_port}",
                serves=MODEL,
                kind=self.kind,
                width=self.width,
            ),
        )

    def start(self):
        """Start the endpoint process and open a stream."""
        text = DECLARATIONS.format(retention=self.retention)
        revision = RevisionId(index=1, digest="")
        declared = read_declarations(text, file="", revision=revision).unwrap()
        revisions = RevisionStore(initial=declared)
        self.hosts = HostView()
        self.run(self.start_process(revisions))
        self.open()

    async def start_process(self, revisions):
        """Start the endpoint process in the running loop."""
        self.process = EndpointProcess(
            settings=self.settings(),
            identity=self.identity("host-1/start", revisions),
            revisions=revisions,
            hosts=self.hosts,
            clock=self.clock,
        )
        self.revisions = revisions
        self.process.start()

    def identity(self, incarnation, revisions):
        """Return the identity of a process."""
        return Identity(
            incarnation=incarnation, role="", key=KEY, revision=revisions.revision
        )

    def open(self, incarnation="entry-1/start"):
        """Open another stream and use it for later messages."""

        async def connect():
            host, port = self.streams.split(":")
            identity = self.identity(incarnation, self.revisions)
            opened = await dial(host, int(port), identity=identity, clock=self.clock)
            connection = opened.unwrap().connection
            return EntryStream(connection, interval_s=self.silence / 4)

        self.callers.append(self.run(connect()))

    def send(self, message):
        """Send a message on the most recently opened stream."""

        async def send():
            self.callers[-1].connection.send(message)

        self.run(send())

    def sync(self):
        """Wait until the endpoint process has handled all messages sent so far."""
        caller, number = self.callers[-1], len(self.offers) + 1
        caller.messages = [
            message for message in caller.messages if type(message) is not Pong
        ]
        self.send(Ping(number=number, revision=RevisionId(index=1, digest="")))
        self.wait_until(
            lambda: (
                number in {getattr(message, "number", 0) for message in caller.messages}
            ),
            "heartbeat",
        )

    def received(self, kind, attempt_id):
        """Return the messages of one type about an attempt, from all streams."""
        return [
            message
            for caller in self.callers
            for message in caller.messages
            if type(message) is kind and message.attempt_id == attempt_id
        ]

    def wait_for(self, kind, attempt_id):
        """Wait for a message about an attempt and return the last one."""
        description = f"{kind.__name__} of {attempt_id}"
        self.wait_until(lambda: self.received(kind, attempt_id), description)
        return self.received(kind, attempt_id)[-1]

    def offer(
        self,
        name,
        class_name,
        tokens,
        *,
        ticket="",
        credit=1000,
        deadline_s=30,
        body=None,
    ):
        """Offer a chat attempt, or one with another body."""
        document = {
            "model": MODEL,
            "messages": [{"role": "user", "content": name}],
            "max_tokens": tokens,
            "metadata": {"mark": name, "output_tokens": tokens},
        }
        self.offers[name] = document
        if ticket:
            self.ticketed.add(name)
        self.send(
            Offer(
                attempt_id=name,
                target=MODEL,
                class_name=class_name,
                workspace="",
                revision_index=1,
                deadline_s=deadline_s,
                ticket=ticket,
                method="POST",
                path="/v1/chat/completions",
                headers=[],
                body=body or json.dumps(document).encode(),
                credit=credit,
            )
        )

    def payloads(self, attempt_id):
        """Return the payloads of an attempt by sequence number."""
        chunks = self.received(Chunk, attempt_id)
        return {chunk.sequence: chunk.payload for chunk in chunks}

    def marks(self):
        """Return the marks of the requests that the engine received, in order."""
        return [execution.mark for execution in self.controls.log]

    def execution(self, mark):
        """Return the engine's log entry of one request."""
        return next(
            execution for execution in self.controls.log if execution.mark == mark
        )

    def close(self):
        """Stop the process and all tasks, and close the event loop."""
        logger.remove(self.sink)

        async def end():
            self.process.close()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(end())
        self.loop.close()


__all__ = ["TIMEOUT_SECONDS", "KEY", "MODEL", "Rig", "SteppedClock"]
