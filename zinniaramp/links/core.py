"""One stream of messages between two processes."""

import asyncio
from collections import deque
from datetime import datetime, timedelta

from result import Err, Ok, Result
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from ..clock import Clock
from ..contracts import CONTROL_TYPES, Decoder, Message, encode
from ..observability import emit
from .events import BAD_FRAME, STREAM_CLOSED, WRITE_BUFFER_FULL
from .metrics import (
    CONTROL_RECEIVED,
    CONTROL_SENT,
    DATA_RECEIVED,
    DATA_SENT,
    OPEN_STREAMS,
)

__all__ = ["MAX_WRITE_BUFFER_BYTES", "READ_BYTES", "Connection", "LinkError"]

READ_BYTES = 64 * 1024
"""Maximum number of bytes of one read from the socket."""

MAX_MESSAGES_PER_TURN = 256
"""Maximum number of messages of one peer that are handled before other tasks run."""

MAX_WRITE_BUFFER_BYTES = 16 * 1024 * 1024
"""Maximum number of bytes buffered for a peer; a stream that exceeds it is closed."""

ARRIVAL_TIMEOUT = timedelta(seconds=2)
"""Time without bytes after which the rest of a message is not expected any more."""


class LinkError(Exception):
    """A stream could not be opened, failed or was closed."""


class Connection:
    """Sends and receives messages on one socket, which it owns.

    Parameters
    ----------
    stream : IOStream
        The connected socket.
    peer : str
        Address of the peer, for the log.
    clock : Clock
        Clock of the process.

    Attributes
    ----------
    incarnation : str
        The peer's incarnation; empty until the handshake is complete.
    last_received : datetime
        When bytes were last received; initially the time of creation.
    received : deque of Message
        Decoded messages that `receive` has not returned yet.
    outgoing : list of bytes
        Encoded messages that the next `flush` writes.
    is_closed : bool
        Whether the stream was closed by either side.
    """

    __slots__ = (
        "stream",
        "peer",
        "clock",
        "incarnation",
        "last_received",
        "decoder",
        "received",
        "outgoing",
        "is_closed",
    )

    def __init__(self, *, stream: IOStream, peer: str, clock: Clock):
        self.stream = stream
        self.peer = peer
        self.clock = clock
        self.incarnation = ""
        self.last_received: datetime = clock()
        self.decoder = Decoder()
        self.received: deque[Message] = deque()
        self.outgoing: list[bytes] = []
        self.is_closed = False
        stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES
        stream.set_nodelay(True)
        OPEN_STREAMS.inc()

    def send(self, message: Message) -> None:
        """Queue a message; one write sends all that one loop iteration queues.

        A message for a closed stream is dropped.  `receive` reports the closing to
        the task that waits for an answer.
        """
        if self.is_closed:
            return
        if not self.outgoing:
            asyncio.get_running_loop().call_soon(self.flush)
        frame = encode(message)
        sent = CONTROL_SENT if type(message) in CONTROL_TYPES else DATA_SENT
        sent.inc(len(frame))
        self.outgoing.append(frame)

    def flush(self) -> None:
        """Write the queued messages to the socket; on failure, close the stream."""
        if self.is_closed or not self.outgoing:
            return
        data = b"".join(self.outgoing)
        self.outgoing.clear()
        try:
            self.stream.write(data)
        except StreamBufferFullError:
            emit(WRITE_BUFFER_FULL, peer=self.peer)
            self.close(reason="write buffer full")
        except StreamClosedError:
            self.close(reason="closed by peer")

    async def receive(self) -> Result[list[Message], LinkError]:
        """Wait for bytes and return some of the messages that they complete.

        At most `MAX_MESSAGES_PER_TURN` are returned, and other tasks run before the
        next ones are, so that one peer's messages don't delay the heartbeats of others.

        Returns
        -------
        Result
            Messages in order, possibly none; or `LinkError` if the stream was closed
            or the bytes are not valid messages.
        """
        await asyncio.sleep(0)
        if self.is_closed:
            return Err(LinkError(f"stream to {self.peer} closed"))
        if not self.received:
            read = await self._read()
            if isinstance(read, Err):
                return read
            self.received.extend(read.ok_value)
        count = min(len(self.received), MAX_MESSAGES_PER_TURN)
        return Ok([self.received.popleft() for _ in range(count)])

    def is_receiving(self) -> bool:
        """Return whether a message has arrived in part and its bytes still arrive."""
        if self.is_closed or not self.decoder.has_partial_message():
            return False
        return self.clock() - self.last_received < ARRIVAL_TIMEOUT

    async def _read(self) -> Result[list[Message], LinkError]:
        """Wait for bytes and return all messages that they complete."""
        try:
            data = await self.stream.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError as error:
            self.close(reason=str(error.real_error or "closed by peer"))
            return Err(LinkError(f"stream to {self.peer} closed"))
        self.last_received = self.clock()
        control_before = self.decoder.control_bytes
        decoded = self.decoder.feed(data)
        control_bytes = self.decoder.control_bytes - control_before
        CONTROL_RECEIVED.inc(control_bytes)
        DATA_RECEIVED.inc(max(0, len(data) - control_bytes))
        match decoded:
            case Ok(messages):
                return Ok(messages)
            case Err(error):
                emit(BAD_FRAME, peer=self.peer, error=str(error))
                self.close(reason="invalid frame")
                return Err(LinkError(f"invalid frame from {self.peer}: {error}"))

    def close(self, *, reason: str) -> None:
        """Close the stream once; queued messages are written first if possible."""
        if self.is_closed:
            return
        self.flush()
        self.is_closed = True
        self.stream.close()
        OPEN_STREAMS.dec()
        emit(STREAM_CLOSED, peer=self.peer, reason=reason)
