"""One open stream of messages."""

import asyncio
from datetime import datetime

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
"""Most bytes taken from the socket at a time."""

MAX_WRITE_BUFFER_BYTES = 16 * 1024 * 1024
"""Bytes that may wait for a peer that does not read."""


class LinkError(Exception):
    """A stream cannot be opened, or has ended."""


class Connection:
    """One open stream; owns its socket.

    Parameters
    ----------
    stream : IOStream
        The connected socket.
    peer : str
        Address of the other end, for the log.
    clock : Clock
        Source of the time of the last message.

    Attributes
    ----------
    incarnation : str
        The peer's incarnation, once the handshake is over.
    last_received : datetime
        When bytes last arrived.
    """

    __slots__ = (
        "stream",
        "peer",
        "clock",
        "incarnation",
        "last_received",
        "decoder",
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
        self.outgoing: list[bytes] = []
        self.is_closed = False
        stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES
        stream.set_nodelay(True)
        OPEN_STREAMS.inc()

    def send(self, message: Message) -> None:
        """Queue a message; all that one loop iteration queues go out together.

        A message for a closed stream is dropped: whoever waits for its answer
        learns of the end from `receive`.
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
        """Hand the queued messages to the socket."""
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
        """Wait for bytes and return the messages that they complete.

        Returns
        -------
        Result
            Messages in order, possibly none; or `LinkError` when the stream ended.
        """
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
                self.close(reason="bad frame")
                return Err(LinkError(f"bad frame from {self.peer}: {error}"))

    def close(self, *, reason: str) -> None:
        """Close the stream; queued messages are written first if possible."""
        if self.is_closed:
            return
        self.flush()
        self.is_closed = True
        self.stream.close()
        OPEN_STREAMS.dec()
        emit(STREAM_CLOSED, peer=self.peer, reason=reason)
