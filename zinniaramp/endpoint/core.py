"""The endpoint process's state and its dispatch of messages."""

import asyncio
import zlib

from result import Err, Ok
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httputil import split_host_and_port

from ..clock import Clock
from ..configuration import RevisionStore
from ..contracts import (
    Accepted,
    Chunk,
    End,
    Load,
    Offer,
    Outcome,
    Ping,
    Pong,
    RevisionId,
    Welcome,
)
from ..hosts import HostView
from ..links import Connection, Identity, Listener
from ..observability import emit
from ..settings import Settings
from .engine import stream_chat
from .events import ATTEMPT_ENDED, ATTEMPT_PLACED

__all__ = ["EndpointProcess"]

STREAM_END = "[DONE]"
"""Data of the event that ends an engine's answer."""


class EndpointProcess:
    """Sole door to one engine.

    Parameters
    ----------
    settings : Settings
        Settings of this process.
    identity : Identity
        Identity of this start.
    revisions : RevisionStore
        The declarations in force.
    hosts : HostView
        The platform's list of hosts.
    clock : Clock
        The process's clock.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        identity: Identity,
        revisions: RevisionStore,
        hosts: HostView,
        clock: Clock,
    ):
        self.settings = settings
        self.revisions = revisions
        self.hosts = hosts
        self.identity = identity
        self.clock = clock
        self.tasks: dict[str, asyncio.Task] = {}
        self.client = CurlAsyncHTTPClient(max_clients=settings.engine.width + 8)
        self.listener = Listener(
            identity=identity, welcome=self.welcome, serve=self.serve, clock=clock
        )

    def start(self) -> None:
        """Listen for streams."""
        host, port = split_host_and_port(self.settings.listen.streams)
        self.listener.listen(port, host)

    def is_ready(self) -> bool:
        """Tell whether the process can take attempts."""
        return True

    def load(self) -> Load:
        """Return the current load."""
        return Load(
            running=len(self.tasks),
            width=self.settings.engine.width,
            queued=0,
            queue_s=0,
            urgent_s=0,
            tokens_per_s=0,
        )

    def welcome(self) -> Welcome:
        """Return the greeting for a new stream."""
        return Welcome(
            incarnation=self.identity.incarnation,
            revision=self.identity.revision(),
            leaving=False,
            load=self.load(),
            serves=self.settings.engine.serves.split(),
        )

    async def serve(self, connection: Connection) -> None:
        """Serve one stream until it ends."""
        while True:
            match await connection.receive():
                case Ok(messages):
                    for message in messages:
                        self.handle(connection, message)
                case Err(_):
                    return

    def handle(self, connection: Connection, message) -> None:
        """Dispatch one message."""
        match message:
            case Offer():
                self.take_offer(connection, message)
            case Ping(number=number):
                connection.send(
                    Pong(
                        number=number,
                        revision=RevisionId(index=0, digest=""),
                        load=self.load(),
                    )
                )

    def take_offer(self, connection: Connection, offer: Offer) -> None:
        """Accept an attempt and start it."""
        load = self.load()
        connection.send(Accepted(attempt_id=offer.attempt_id, wait_s=0, load=load))
        emit(
            ATTEMPT_PLACED,
            attempt=offer.attempt_id,
            decision="accepted",
            **{"class": offer.class_name},
            workspace=offer.workspace,
            running=load.running,
            width=load.width,
            queued=load.queued,
        )
        task = asyncio.create_task(self.run(connection, offer))
        self.tasks[offer.attempt_id] = task
        task.add_done_callback(lambda _: self.tasks.pop(offer.attempt_id))

    async def run(self, connection: Connection, offer: Offer) -> None:
        """Run one attempt at the engine and send its answer."""
        count, checksum, outcome, detail = 0, 0, Outcome.UNKNOWN, ""
        async for item in stream_chat(self.client, self.settings.engine.url, offer):
            match item:
                case Ok(event) if event.data == STREAM_END:
                    outcome = Outcome.DONE
                case Ok(event):
                    payload = event.data.encode()
                    connection.send(
                        Chunk(
                            attempt_id=offer.attempt_id,
                            sequence=count,
                            payload=payload,
                            tokens=1,
                        )
                    )
                    count += 1
                    checksum = zlib.crc32(payload, checksum)
                case Err(error):
                    detail = str(error)
        emit(
            ATTEMPT_ENDED,
            attempt=offer.attempt_id,
            outcome=outcome,
            tokens=count,
            detail=detail,
        )
        connection.send(
            End(
                attempt_id=offer.attempt_id,
                count=count,
                checksum=checksum,
                outcome=outcome,
                detail=detail,
            )
        )
