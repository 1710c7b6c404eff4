"""One endpoint process and the entry's stream to it."""

import asyncio
from dataclasses import dataclass
from random import Random

from result import Err, Ok
from tornado.httputil import split_host_and_port

from ..clock import Clock
from ..configuration import RevisionStore, apply_sections, make_sections_reply
from ..contracts import (
    Accepted,
    Cancel,
    Leaving,
    Load,
    Message,
    Offer,
    Ping,
    Pong,
    Refused,
    SectionsReply,
    SectionsRequest,
    TicketIssued,
)
from ..links import Connection, Identity, dial
from ..observability import emit
from ..routing import Candidate, backoff_delay
from ..settings import FleetSettings
from .events import PEER_LEAVING, PEER_LOST, PEER_SILENT, PEER_UNREACHABLE

__all__ = ["NO_LOAD", "Peer", "PeerLost", "StreamReplaced"]

LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in the moving average."""

NO_LOAD = Load(running=0, width=1, queued=0, queue_s=0, urgent_s=0, tokens_per_s=0)
"""Load that an entry process reports; it runs nothing itself."""


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerLost:
    """Tells an attempt that its endpoint process cannot be reached any more."""

    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class StreamReplaced:
    """Tells an attempt that a new stream to the same process is in use."""


class Peer:
    """One endpoint process and the stream to it; a task of its own runs it.

    Parameters
    ----------
    address : str
        IP number and port of its stream listener.
    identity : Identity
        What this entry says of itself.
    fleet : FleetSettings
        Heartbeat and silence.
    revisions : RevisionStore
        Revision in force; newer ones that the peer has are pulled from it.
    clock : Clock
        The process's clock.
    random_source : random.Random
        Source of jitter.

    Attributes
    ----------
    connection : Connection or None
        The stream in use.
    host, incarnation : str
        What the process said of itself; empty until it has.
    inboxes : dict of asyncio.Queue
        Where attempts, by id, wait for messages.
    unreported : int
        Offers sent since the latest load digest.
    is_leaving, is_silent, is_retired : bool
        Reasons to offer nothing.
    holds : int
        Callers that wait for the stream to open.
    settled : asyncio.Event
        Set once the latest dial has succeeded or failed.
    """

    def __init__(
        self,
        *,
        address: str,
        identity: Identity,
        fleet: FleetSettings,
        revisions: RevisionStore,
        clock: Clock,
        random_source: Random,
    ):
        self.address = address
        self.identity = identity
        self.fleet = fleet
        self.clock = clock
        self.random_source = random_source
        self.connection: Connection | None = None
        self.host = ""
        self.incarnation = ""
        self.serves: frozenset[str] = frozenset()
        self.load = NO_LOAD
        self.unreported = 0
        self.latency_s = 0.0
        self.is_leaving = False
        self.is_silent = False
        self.is_retired = False
        self.pings = 0
        self.inboxes: dict[str, asyncio.Queue] = {}
        self.revisions = revisions
        self.holds = 0
        self.settled = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether the stream is open and not silent."""
        return self.connection is not None and not self.is_silent

    @property
    def is_usable(self) -> bool:
        """Whether attempts may be offered."""
        return self.is_open and not self.is_leaving and not self.is_retired

    def candidate(self) -> Candidate:
        """Return what routing weighs."""
        return Candidate(
            name=self.host,
            in_flight=len(self.inboxes),
            reported=self.load.running + self.load.queued,
            unreported=self.unreported,
            width=max(1, self.load.width),
            latency_s=self.latency_s,
        )

    async def run(self) -> None:
        """Keep a stream open for as long as the task lives."""
        host, port = split_host_and_port(self.address)
        failures = 0
        try:
            while True:
                match await dial(host, port, identity=self.identity, clock=self.clock):
                    case Ok(opened):
                        failures = 0
                        self.use(opened.connection, opened.welcome)
                        await self.attend(opened.connection)
                    case Err(error):
                        failures += 1
                        emit(PEER_UNREACHABLE, peer=self.address, error=str(error))
                        self.lose(str(error))
                        delay = backoff_delay(failures, self.random_source)
                        await asyncio.sleep(delay.total_seconds())
        finally:
            self.lose("stream no longer wanted")

    def use(self, connection: Connection, welcome) -> None:
        """Take a new stream into use and close the old one."""
        previous, self.connection = self.connection, connection
        if previous is not None:
            previous.close(reason="replaced")
        if welcome.incarnation == self.incarnation:
            self.tell_attempts(StreamReplaced())
        else:
            self.tell_attempts(PeerLost(reason="endpoint process was restarted"))
            self.incarnation = welcome.incarnation
            self.latency_s = 0.0
        self.host = welcome.incarnation.partition("/")[0]
        self.serves = frozenset(welcome.serves)
        self.is_silent = False
        self.is_leaving = welcome.leaving
        self.take_load(welcome.load)
        self.hear_revision(welcome.revision)
        self.settled.set()

    async def attend(self, connection: Connection) -> None:
        """Exchange heartbeats until the stream has ended or is silent."""
        receiver = asyncio.create_task(self.receive_all(connection))
        heartbeat = self.fleet.heartbeat.total_seconds()
        while not receiver.done():
            silent = self.clock() - connection.last_received
            if silent > self.fleet.silence:
                emit(PEER_SILENT, peer=self.host, silent_s=silent.total_seconds())
                self.is_silent = True
                self.settled.clear()
                return
            self.pings += 1
            revision = self.identity.revision().with_short_digest()
            connection.send(Ping(number=self.pings, revision=revision))
            await asyncio.wait({receiver}, timeout=heartbeat)

    async def receive_all(self, connection: Connection) -> None:
        """Pass messages on until the stream ends."""
        while True:
            match await connection.receive():
                case Ok(messages):
                    for message in messages:
                        self.pass_on(message)
                case Err(_):
                    if self.connection is connection:
                        self.connection = None
                    return

    def pass_on(self, message: Message) -> None:
        """Note what a message says of the peer; pass it to its attempt's inbox."""
        match message:
            case Accepted(load=load) | Refused(load=load):
                self.take_load(load)
            case Pong(load=load, revision=revision):
                self.take_load(load)
                self.hear_revision(revision)
                return
            case Ping(number=number):
                self.send(
                    Pong(
                        number=number,
                        revision=self.identity.revision().with_short_digest(),
                        load=NO_LOAD,
                    )
                )
                self.hear_revision(message.revision)
                return
            case Leaving():
                self.leave("peer")
                return
            case SectionsRequest():
                self.send(make_sections_reply(self.revisions, message))
                return
            case SectionsReply():
                apply_sections(self.revisions, message, source=self.host)
                return
        inbox = self.inboxes.get(_inbox_key(message))
        if inbox is not None:
            inbox.put_nowait(message)

    def leave(self, source: str) -> None:
        """Offer nothing more to this peer."""
        if not self.is_leaving:
            emit(PEER_LEAVING, peer=self.host or self.address, source=source)
        self.is_leaving = True

    def hear_revision(self, revision) -> None:
        """Pull the peer's revision if it is newer and nobody else was asked."""
        request = self.revisions.record_peer_revision(revision)
        if request is not None:
            self.send(request)

    def take_load(self, load: Load) -> None:
        """Take a load digest into use."""
        self.load = load
        self.unreported = 0

    def take_latency(self, seconds: float) -> None:
        """Add a time to the first token to the moving average."""
        if self.latency_s == 0:
            self.latency_s = seconds
        self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)

    def send(self, message: Message) -> None:
        """Send a message, or drop it if no stream is open."""
        if self.connection is not None:
            self.connection.send(message)

    def open_inbox(self, attempt_id: str) -> asyncio.Queue:
        """Return a new inbox for the messages of one attempt."""
        inbox: asyncio.Queue = asyncio.Queue()
        self.inboxes[attempt_id] = inbox
        return inbox

    def close_inbox(self, attempt_id: str) -> None:
        """Forget an attempt."""
        self.inboxes.pop(attempt_id, None)

    def offer(self, offer: Offer) -> None:
        """Send an offer."""
        self.unreported += 1
        self.send(offer)

    def cancel(self, attempt_id: str) -> None:
        """Ask for an attempt to be stopped."""
        self.send(Cancel(attempt_id=attempt_id))

    def drop_stream(self, reason: str) -> None:
        """Close the stream; the task dials a new one at once."""
        if self.connection is not None:
            self.connection.close(reason=reason)
            self.connection = None
            self.settled.clear()

    def lose(self, reason: str) -> None:
        """Hold the peer dead and tell its attempts."""
        self.drop_stream(reason)
        self.settled.set()
        self.is_silent = False
        if self.inboxes:
            attempts = len(self.inboxes)
            peer = self.host or self.address
            emit(PEER_LOST, peer=peer, reason=reason, attempts=attempts)
        self.tell_attempts(PeerLost(reason=reason))

    def tell_attempts(self, event) -> None:
        """Put an event in every inbox."""
        for inbox in self.inboxes.values():
            inbox.put_nowait(event)


def _inbox_key(message: Message) -> str:
    match message:
        case TicketIssued(request_id=request_id):
            return request_id
        case _:
            return getattr(message, "attempt_id", "")
