"""A fake endpoint process whose behaviour a scenario selects."""

import asyncio
import json
import secrets
import threading
import time
import zlib

from result import Ok
from tornado.netutil import bind_sockets

from zinniaramp.clock import monotonic_clock
from zinniaramp.contracts import (
    Accepted,
    Cancel,
    Cancelled,
    Chunk,
    Credit,
    End,
    Head,
    Leaving,
    Load,
    Offer,
    Outcome,
    Ping,
    Pong,
    Refused,
    Resume,
    RevisionId,
    TicketIssued,
    TicketRequest,
    Welcome,
)
from zinniaramp.links import Identity, Listener
from zinniaramp.tickets import Ticket, sign_ticket

KEY = "key-of-the-test-fleet"
WAIT_SECONDS = 10
LONG_ANSWER_CHUNKS = 500
LONG_CHUNK_BYTES = 64 * 1024
IDLE_PINGS = 4
LOAD = Load(running=0, width=8, queued=0, queue_s=0, urgent_s=0, tokens_per_s=0)
INITIAL_REVISION = RevisionId(index=0, digest="")


def make_event(content):
    """Return the data of one streamed event of an answer."""
    choice = {"index": 0, "delta": {"content": content}, "finish_reason": None}
    return json.dumps({"object": "chat.completion.chunk", "choices": [choice]})


def make_payloads(words):
    """Return one chunk payload for each word."""
    return [make_event(word).encode() for word in words]


class FakeEndpoint:
    """Runs the stream protocol on its own thread and records received messages.

    Attributes
    ----------
    behaviour : str
        Key in `BEHAVIOURS` of the function that handles offers.
    cancel_reply_ran : bool or None
        Value of ``ran`` in replies to `Cancel`; None to send no reply.
    is_unresponsive : bool
        Whether messages on the first stream are recorded but not answered.
    received_messages : list of Message
        All messages received, in order.
    """

    def __init__(
        self, *, name, behaviour, serves=("m", "ledger-book"), words=("a", "b", "c")
    ):
        self.name = name
        self.behaviour = behaviour
        self.serves = ["m", "ledger-book"]
        self.payloads = make_payloads(["a", "b", "c"])
        self.incarnation = f"{name}/{secrets.token_hex(3)}"
        self.cancel_reply_ran = None
        self.retry_after_s = 4.0
        self.refusal_reason = "overloaded"
        self.is_unresponsive = False
        self.long_answer = None
        self.received_messages = []
        self.connections = []
        self.is_leaving = False
        self.changed = threading.Condition()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.address = self.call(self.listen)

    def call(self, function, *arguments):
        """Call a function on the fake's event loop and return its result."""

        async def run():
            return function(*arguments)

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(WAIT_SECONDS)

    def listen(self):
        """Listen on a free port and return the address."""
        clock = monotonic_clock()
        identity = Identity(
            incarnation=self.incarnation,
            role="endpoint",
            key=KEY,
            revision=lambda: INITIAL_REVISION,
        )
        self.listener = Listener(
            identity=identity, welcome=self.welcome, serve=self.serve, clock=clock
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self.listener.add_sockets(sockets)
        return f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def welcome(self):
        """Return the welcome message for a new stream."""
        return Welcome(
            incarnation=self.incarnation,
            revision=INITIAL_REVISION,
            leaving=self.is_leaving,
            load=LOAD,
            serves=self.serves,
        )

    async def serve(self, connection):
        """Record and answer messages until the stream ends."""
        self.connections.append(connection)
        while isinstance(received := await connection.receive(), Ok):
            for message in received.ok_value:
                self.record(message)
                if not self.is_unresponsive or connection is not self.connections[0]:
                    self.answer(connection, message)

    def record(self, message):
        """Record a received message."""
        with self.changed:
            self.received_messages.append(message)
            self.changed.notify_all()

    def answer(self, connection, message):
        """Answer one message."""
        match message:
            case Ping(number=number):
                connection.send(
                    Pong(number=number, revision=INITIAL_REVISION, load=LOAD)
                )
            case Offer():
                BEHAVIOURS[self.behaviour](self, connection, message)
            case Resume():
                start = message.from_sequence
                self.send_chunks(connection, message.attempt_id, start)
                self.send_end(connection, message.attempt_id)
            case Credit(limit=limit) if self.long_answer is not None:
                self.long_answer.send_up_to(limit)
            case Cancel(attempt_id=attempt_id) if self.cancel_reply_ran is not None:
                ran = self.cancel_reply_ran
                connection.send(Cancelled(attempt_id=attempt_id, ran=ran))
            case TicketRequest():
                ticket = self.issue(message)
                connection.send(
                    TicketIssued(
                        request_id=message.request_id, ticket=ticket, expires_s=60
                    )
                )

    def issue(self, request):
        """Return a ticket that names this incarnation."""
        ticket = Ticket(
            serial=secrets.token_hex(4),
            incarnation=self.incarnation,
            class_name=request.class_name,
            workspace=request.workspace,
            expires="2100-01-01T00:00:00+00:00",
        )
        return sign_ticket(ticket, key=KEY)

    def accept(self, connection, offer):
        """Accept an attempt."""
        connection.send(Accepted(attempt_id=offer.attempt_id, wait_s=0, load=LOAD))

    def send_chunks(self, connection, attempt_id, start=0, stop=None):
        """Send some of the answer's chunks."""
        for sequence, payload in list(enumerate(self.payloads))[start:stop]:
            connection.send(
                Chunk(
                    attempt_id=attempt_id, sequence=sequence, payload=payload, tokens=1
                )
            )

    def send_end(self, connection, attempt_id, *, error=0):
        """Send the end of the answer; a nonzero `error` makes its checksum wrong."""
        checksum = zlib.crc32(b"".join(self.payloads)) ^ error
        connection.send(
            End(
                attempt_id=attempt_id,
                count=len(self.payloads),
                checksum=checksum,
                outcome=Outcome.DONE,
                detail="",
                retry_after_s=0.0,
            )
        )

    def leave(self):
        """Notify every entry that this endpoint is leaving, also on later streams."""
        self.is_leaving = True
        for connection in self.connections:
            connection.send(Leaving(incarnation=self.incarnation))

    def close_streams(self):
        """Close all streams; the entries open new ones."""
        for connection in list(self.connections):
            connection.close(reason="fake closed its streams")

    def terminate(self):
        """Close the listener and all streams, like a killed process."""
        self.listener.stop()
        for connection in self.connections:
            connection.close(reason="fake terminated")

    def restart(self):
        """Continue as a new incarnation, like a restarted process."""
        self.incarnation = f"{self.name}/{secrets.token_hex(3)}"
        self.behaviour = "refuses"
        self.cancel_reply_ran = False
        self.close_streams()

    def messages(self, kind):
        """Return the received messages of one type."""
        return [one for one in self.received_messages if isinstance(one, kind)]

    def wait_for(self, kind, count=1):
        """Wait until `count` messages of one type have been received."""
        limit = time.monotonic() + WAIT_SECONDS
        with self.changed:
            while len(self.messages(kind)) < count:
                assert self.changed.wait(limit - time.monotonic()), (
                    f"{self.name} received fewer than {count} {kind.__name__} messages"
                )

    def wait_until_idle(self):
        """Wait until the latest `IDLE_PINGS` messages are all pings."""
        limit = time.monotonic() + WAIT_SECONDS
        with self.changed:
            while not all(
                isinstance(one, Ping) for one in self.received_messages[-IDLE_PINGS:]
            ):
                assert self.changed.wait(limit - time.monotonic())

    def stop(self):
        """Stop the fake and its thread."""
        self.call(self.terminate)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(WAIT_SECONDS)


def answers(fake, connection, offer):
    fake.accept(connection, offer)
    fake.send_chunks(connection, offer.attempt_id)
    fake.send_end(connection, offer.attempt_id)


def refuses(fake, connection, offer):
    connection.send(
        Refused(
            attempt_id=offer.attempt_id,
            reason=fake.refusal_reason,
            retry_after_s=fake.retry_after_s,
            load=LOAD,
        )
    )


def sheds(fake, connection, offer):
    fake.accept(connection, offer)
    connection.send(
        End(
            attempt_id=offer.attempt_id,
            count=0,
            checksum=0,
            outcome=Outcome.NOT_RUN,
            detail="overloaded",
            retry_after_s=fake.retry_after_s,
        )
    )


def accepts_and_terminates(fake, connection, offer):
    fake.accept(connection, offer)
    connection.flush()
    fake.terminate()


def accepts_and_restarts(fake, connection, offer):
    fake.accept(connection, offer)
    connection.flush()
    fake.restart()


def sends_chunk_and_terminates(fake, connection, offer):
    fake.accept(connection, offer)
    fake.send_chunks(connection, offer.attempt_id, 0, 1)
    connection.flush()
    fake.terminate()


def sends_chunk_and_waits(fake, connection, offer):
    fake.accept(connection, offer)
    fake.send_chunks(connection, offer.attempt_id, 0, 1)


def skips_a_chunk(fake, connection, offer):
    fake.accept(connection, offer)
    fake.send_chunks(connection, offer.attempt_id, 0, 1)
    fake.send_chunks(connection, offer.attempt_id, 2)
    fake.send_end(connection, offer.attempt_id)


def repeats_chunks(fake, connection, offer):
    fake.accept(connection, offer)
    fake.send_chunks(connection, offer.attempt_id, 0, 2)
    fake.send_chunks(connection, offer.attempt_id)
    fake.send_end(connection, offer.attempt_id)


def stops_responding(fake, connection, offer):
    sends_chunk_and_waits(fake, connection, offer)
    fake.is_unresponsive = True


def ends_with_wrong_checksum(fake, connection, offer):
    fake.accept(connection, offer)
    fake.send_chunks(connection, offer.attempt_id)
    fake.send_end(connection, offer.attempt_id, error=1)


def answers_with_an_error(fake, connection, offer):
    fake.accept(connection, offer)
    fake.payloads = [
        b'{"error": {"code": "bad_prompt",',
        b' "message": "m", "type": "t"}}',
    ]
    headers = [["Content-Type", "application/json"], ["Connection", "close"]]
    connection.send(Head(attempt_id=offer.attempt_id, status=422, headers=headers))
    fake.send_chunks(connection, offer.attempt_id)
    fake.send_end(connection, offer.attempt_id)


def sends_long_answer_first(fake, connection, offer):
    if len(fake.messages(Offer)) > 1:
        answers(fake, connection, offer)
        return
    fake.accept(connection, offer)
    fake.long_answer = LongAnswer(connection=connection, offer=offer)
    fake.long_answer.send_up_to(offer.credit)


class LongAnswer:
    """An answer of many large chunks, limited by the receiver's credit."""

    def __init__(self, *, connection, offer):
        self.connection = connection
        self.attempt_id = offer.attempt_id
        self.payload = make_event("x" * LONG_CHUNK_BYTES).encode()
        self.sent = 0
        self.checksum = 0

    def send_up_to(self, limit):
        """Send the chunks below a limit, and the end after the last chunk."""
        for sequence in range(self.sent, min(limit, LONG_ANSWER_CHUNKS)):
            self.connection.send(
                Chunk(
                    attempt_id=self.attempt_id,
                    sequence=sequence,
                    payload=self.payload,
                    tokens=1,
                )
            )
            self.sent += 1
            self.checksum = zlib.crc32(self.payload, self.checksum)
        if self.sent == LONG_ANSWER_CHUNKS:
            self.connection.send(
                End(
                    attempt_id=self.attempt_id,
                    count=LONG_ANSWER_CHUNKS,
                    checksum=self.checksum,
                    outcome=Outcome.DONE,
                    detail="",
                    retry_after_s=0.0,
                )
            )


BEHAVIOURS = {
    "sends a long answer first": sends_long_answer_first,
    "answers with an error": answers_with_an_error,
    "answers": answers,
    "refuses": refuses,
    "sheds": sheds,
    "accepts and waits": FakeEndpoint.accept,
    "accepts and terminates": accepts_and_terminates,
    "accepts and restarts": accepts_and_restarts,
    "sends a chunk and terminates": sends_chunk_and_terminates,
    "sends a chunk and waits": sends_chunk_and_waits,
    "skips a chunk": skips_a_chunk,
    "repeats chunks": repeats_chunks,
    "stops responding": stops_responding,
    "ends with a wrong checksum": ends_with_wrong_checksum,
}
