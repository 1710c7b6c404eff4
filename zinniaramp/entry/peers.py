"""An endpoint process and the entry process's stream to it."""

import asyncio
from dataclasses import dataclass
from random import Random

from result import Err, Ok
from tornado.httputil import split_host_and_port

from ..clock import Clock
from ..configuration import (
    RevisionStore,
    apply_sections,
    make_sections_reply,
    receives_nothing,
)
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
"""Weight of the latest latency in the exponential moving average."""

NO_LOAD = Load(running=0, width=1, queued=0, queue_s=0, urgent_s=0, tokens_per_s=0)
"""Load that an entry process reports; it runs no requests itself."""


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerLost:
    """Notifies an attempt that its endpoint process is no longer reachable."""

    reason: str


@dataclass(slots=True, kw_only=True, frozen=True)
class StreamReplaced:
    """Notifies an attempt that a new stream to the same process is in use."""


class Peer:
    """An endpoint process and the stream to it.

    A separate task executes `run`, which keeps the stream open.

    Parameters
    ----------
    address : str
        IP address and port of the peer's stream listener.
    identity : Identity
        Identity of this entry process, sent to the peer.
    fleet : FleetSettings
        Heartbeat interval and silence timeout.
    revisions : RevisionStore
        Store of the current revision; newer revisions are fetched from the peer.
    clock : Clock
        The process's clock.
    random_source : random.Random
        Source of jitter for the backoff.

    Attributes
    ----------
    connection : Connection or None
        The stream in use.
    host, incarnation : str
        Identity that the peer reported; empty before the first welcome.
    serves : frozenset of str
        Models and services that the peer serves.
    load : Load
        Latest load report of the peer.
    latency_s : float
        Moving average of the time to first token, in seconds.
    inboxes : dict of asyncio.Queue
        Message queues of attempts, by attempt id.
    unreported : int
        Offers sent since the latest load report.
    is_leaving, is_silent, is_retired : bool
        States in which no attempts are offered.
    open_waiters : int
        Number of requests that wait for the stream to open.
    dial_finished : asyncio.Event
        Set when the latest dial has succeeded or failed.
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
        self.open_waiters = 0
        self.dial_finished = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether the stream is open and not silent."""
        return self.connection is not None and not self.is_silent

    @property
    def is_usable(self) -> bool:
        """Whether attempts may be offered."""
        return self.is_open and not self.is_leaving and not self.is_retired

    def candidate(self) -> Candidate:
        """Return the peer's state as input for routing."""
        return Candidate(
            name=self.host,
            in_flight=len(self.inboxes),
            reported=self.load.running + self.load.queued,
            unreported=self.unreported,
            width=max(1, self.load.width),
            latency_s=self.latency_s,
        )

    async def run(self) -> None:
        """Keep a stream open until the task is cancelled; redial with backoff."""
        host, port = split_host_and_port(self.address)
        failures = 0
        try:
            while True:
                match await dial(host, port, identity=self.identity, clock=self.clock):
                    case Ok(opened):
                        failures = 0
                        self.adopt_connection(opened.connection, opened.welcome)
                        await self.exchange_heartbeats(opened.connection)
                    case Err(error):
                        failures += 1
                        emit(PEER_UNREACHABLE, peer=self.address, error=str(error))
                        self.mark_lost(str(error))
                        delay = backoff_delay(failures, self.random_source)
                        await asyncio.sleep(delay.total_seconds())
        finally:
            self.mark_lost("stream no longer needed")

    def adopt_connection(self, connection: Connection, welcome) -> None:
        """Switch to a new stream, close the old one and notify the attempts."""
        previous, self.connection = self.connection, connection
        if previous is not None:
            previous.close(reason="replaced")
        if welcome.incarnation == self.incarnation:
            self.notify_attempts(StreamReplaced())
        else:
            self.notify_attempts(PeerLost(reason="endpoint process restarted"))
            self.incarnation = welcome.incarnation
            self.latency_s = 0.0
        self.host = welcome.incarnation.partition("/")[0]
        self.serves = frozenset(welcome.serves)
        self.is_silent = False
        if welcome.leaving:
            self.mark_leaving("peer")
        else:
            self.is_leaving = False
        self.update_load(welcome.load)
        self.handle_revision(welcome.revision)
        self.dial_finished.set()

    async def exchange_heartbeats(self, connection: Connection) -> None:
        """Send heartbeats until the stream has ended or exceeds the silence timeout."""
        receiver = asyncio.create_task(self.receive_all(connection))
        heartbeat = self.fleet.heartbeat.total_seconds()
        while not receiver.done():
            silent = self.clock() - connection.last_received
            if silent > self.fleet.silence:
                emit(PEER_SILENT, peer=self.host, silent_s=silent.total_seconds())
                self.is_silent = True
                self.dial_finished.clear()
                return
            self.pings += 1
            revision = self.identity.revision().with_short_digest()
            connection.send(Ping(number=self.pings, revision=revision))
            await asyncio.wait({receiver}, timeout=heartbeat)

    async def receive_all(self, connection: Connection) -> None:
        """Receive and dispatch messages until the stream ends."""
        while True:
            match await connection.receive():
                case Ok(messages):
                    for message in messages:
                        self.dispatch(message)
                case Err(_):
                    if self.connection is connection:
                        self.connection = None
                    return

    def dispatch(self, message: Message) -> None:
        """Update the peer's state from a message or put it into an attempt's inbox."""
        match message:
            case Accepted(load=load) | Refused(load=load):
                self.update_load(load)
            case Pong(load=load, revision=revision):
                self.update_load(load)
                self.handle_revision(revision)
                return
            case Ping(number=number):
                self.send(
                    Pong(
                        number=number,
                        revision=self.identity.revision().with_short_digest(),
                        load=NO_LOAD,
                    )
                )
                self.handle_revision(message.revision)
                return
            case Leaving():
                self.mark_leaving("peer")
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

    def mark_leaving(self, source: str) -> None:
        """Mark the peer as leaving, so that it is offered no more attempts."""
        if not self.is_leaving:
            emit(PEER_LEAVING, peer=self.host or self.address, source=source)
        self.is_leaving = True

    def handle_revision(self, revision) -> None:
        """Request the peer's revision if it is newer and not already requested."""
        connection = self.connection
        is_receiving = connection.is_receiving if connection else receives_nothing
        request = self.revisions.record_peer_revision(
            revision, is_receiving=is_receiving
        )
        if request is not None:
            self.send(request)

    def update_load(self, load: Load) -> None:
        """Store a load report and reset the count of unreported offers."""
        self.load = load
        self.unreported = 0

    def record_latency(self, seconds: float) -> None:
        """Update the moving average of the time to first token, in seconds."""
        if self.latency_s == 0:
            self.latency_s = seconds
        self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)

    def send(self, message: Message) -> None:
        """Send a message; drop it if no stream is open."""
        if self.connection is not None:
            self.connection.send(message)

    def open_inbox(self, attempt_id: str) -> asyncio.Queue:
        """Return a new inbox for the messages of one attempt."""
        inbox: asyncio.Queue = asyncio.Queue()
        self.inboxes[attempt_id] = inbox
        return inbox

    def close_inbox(self, attempt_id: str) -> None:
        """Remove the inbox of an attempt."""
        self.inboxes.pop(attempt_id, None)

    def offer(self, offer: Offer) -> None:
        """Send an offer and count it as unreported load."""
        self.unreported += 1
        self.send(offer)

    def cancel(self, attempt_id: str) -> None:
        """Request the cancellation of an attempt."""
        self.send(Cancel(attempt_id=attempt_id))

    def close_stream(self, reason: str) -> None:
        """Close the stream; `run` dials a new one immediately."""
        if self.connection is not None:
            self.connection.close(reason=reason)
            self.connection = None
            self.dial_finished.clear()

    def mark_lost(self, reason: str) -> None:
        """Close the stream and notify the attempts that the peer is lost."""
        self.close_stream(reason)
        self.dial_finished.set()
        self.is_silent = False
        if self.inboxes:
            attempts = len(self.inboxes)
            peer = self.host or self.address
            emit(PEER_LOST, peer=peer, reason=reason, attempts=attempts)
        self.notify_attempts(PeerLost(reason=reason))

    def notify_attempts(self, event) -> None:
        """Put an event into every inbox."""
        for inbox in self.inboxes.values():
            inbox.put_nowait(event)


def _inbox_key(message: Message) -> str:
    match message:
        case TicketIssued(request_id=request_id):
            return request_id
        case _:
            return getattr(message, "attempt_id", "")
