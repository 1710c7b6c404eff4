"""The entry's streams to endpoint processes."""

import asyncio

from result import Err, Ok
from tornado.httputil import split_host_and_port
from tornado.queues import Queue

from ..clock import Clock
from ..contracts import Load, Message, Offer
from ..links import Connection, Identity, dial
from ..observability import emit
from .events import PEER_UNREACHABLE

__all__ = ["Peer"]

REDIAL_SECONDS = 0.5
"""Time between two tries to open a stream, in seconds."""


class Peer:
    """One endpoint process and the stream to it; a task of its own runs it.

    Parameters
    ----------
    address : str
        IP number and port of its stream listener.
    identity : Identity
        What this entry says of itself.
    clock : Clock
        The process's clock.
    """

    def __init__(self, *, address: str, identity: Identity, clock: Clock):
        self.address = address
        self.identity = identity
        self.clock = clock
        self.connection: Connection | None = None
        self.host = ""
        self.serves: list[str] = []
        self.load: Load | None = None
        self.inboxes: dict[str, Queue] = {}

    async def run(self) -> None:
        """Keep a stream open for as long as the task lives."""
        host, port = split_host_and_port(self.address)
        while True:
            match await dial(host, port, identity=self.identity, clock=self.clock):
                case Ok(opened):
                    self.use(opened.connection, opened.welcome)
                    await self.receive_all(opened.connection)
                case Err(error):
                    emit(PEER_UNREACHABLE, peer=self.address, error=str(error))
            await asyncio.sleep(REDIAL_SECONDS)

    def use(self, connection, welcome) -> None:
        """Take a new stream into use."""
        self.connection = connection
        self.host = welcome.incarnation.partition("/")[0]
        self.serves = welcome.serves
        self.load = welcome.load

    async def receive_all(self, connection: Connection) -> None:
        """Pass messages to the attempts that wait for them."""
        while True:
            match await connection.receive():
                case Ok(messages):
                    for message in messages:
                        self.pass_on(message)
                case Err(_):
                    self.connection = None
                    return

    def pass_on(self, message: Message) -> None:
        """Pass one message to its attempt's inbox."""
        inbox = self.inboxes.get(getattr(message, "attempt_id", ""))
        if inbox is not None:
            inbox.put_nowait(message)

    def offer(self, offer: Offer) -> Queue:
        """Send an offer and return the inbox of its answers."""
        inbox: Queue = Queue()
        self.inboxes[offer.attempt_id] = inbox
        self.connection.send(offer)
        return inbox
