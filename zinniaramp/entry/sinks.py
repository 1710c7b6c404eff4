"""Sinks that deliver an answer to its caller, streamed or in one response."""

import asyncio
import json
from collections.abc import Callable

from ..contracts import Chunk, Head, Outcome
from ..intake import Phase
from .errors import CallerError, error_body

__all__ = ["AnswerTooLargeError", "CollectingSink", "EventSink", "is_error_head"]

MIN_ERROR_STATUS = 400
"""Lowest HTTP status that is an error."""

MAX_COLLECTED_BYTES = 8 * 1024 * 1024
"""Maximum size of an answer that is not streamed, in bytes."""


class AnswerTooLargeError(Exception):
    """Raised if an answer that is not streamed is larger than `MAX_COLLECTED_BYTES`."""


def is_error_head(head: Head | None) -> bool:
    """Return whether the engine answered with an error status."""
    return head is not None and head.status >= MIN_ERROR_STATUS


class CollectingSink:
    """Collects an answer until it is complete.

    Parameters
    ----------
    reserve : callable
        Returns whether there is memory for some more bytes, and charges them.

    Attributes
    ----------
    payloads : list of bytes
        Chunk payloads in order.
    answer_head : Head or None
        Status and headers of the answer.
    size : int
        Total size of the payloads, in bytes.
    """

    def __init__(self, *, reserve: Callable[[int], bool]):
        self.reserve = reserve
        self.payloads: list[bytes] = []
        self.answer_head: Head | None = None
        self.size = 0

    def receive_head(self, head: Head) -> None:
        """Store the status and headers."""
        self.answer_head = head

    async def on_accepted(self) -> None:
        """Do nothing; nothing is sent before the answer is complete."""

    async def write(self, chunks: list[Chunk]) -> None:
        """Store chunks.

        Raises
        ------
        AnswerTooLargeError
            If the answer exceeds `MAX_COLLECTED_BYTES`, or there is no memory for it.
        """
        added = sum(len(chunk.payload) for chunk in chunks)
        self.size += added
        if self.size > MAX_COLLECTED_BYTES or not self.reserve(added):
            raise AnswerTooLargeError
        self.payloads.extend(chunk.payload for chunk in chunks)

    def reset(self) -> bool:
        """Drop the answer and return true, since none of it has reached the caller."""
        self.reserve(-self.size)
        self.__init__(reserve=self.reserve)
        return True


class EventSink:
    """Sends an answer as server-sent events.

    Parameters
    ----------
    handler : tornado.web.RequestHandler
        Handler of the caller's request.
    set_answer_headers : callable
        Sets the response headers just before they are sent.
    sends_headers_on_accept : callable
        Returns whether the headers are sent on acceptance, before the first chunk.
    """

    def __init__(
        self,
        *,
        handler,
        set_answer_headers: Callable[[], None],
        sends_headers_on_accept: Callable[[], bool],
    ):
        self.handler = handler
        self.set_answer_headers = set_answer_headers
        self.sends_headers_on_accept = sends_headers_on_accept
        self.is_started = False
        self.answer_head: Head | None = None
        self.error_payloads: list[bytes] = []

    def receive_head(self, head: Head) -> None:
        """Store the status and headers."""
        self.answer_head = head

    async def on_accepted(self) -> None:
        """Send the headers if `sends_headers_on_accept` returns true."""
        if self.sends_headers_on_accept():
            self.start()
            await self.flush()

    def start(self) -> None:
        """Set the response headers, once."""
        if not self.is_started:
            self.is_started = True
            self.set_answer_headers()

    async def write(self, chunks: list[Chunk]) -> None:
        """Send chunks and wait until they are written to the socket.

        The body of an engine's error is stored instead, because it is not streamed.
        """
        if is_error_head(self.answer_head):
            self.error_payloads.extend(chunk.payload for chunk in chunks)
            return
        self.start()
        parts: list[bytes] = []
        for chunk in chunks:
            events = chunk.payload.replace(b"\n", b"\n\ndata: ")
            parts.append(b"id: %d\ndata: %b\n\n" % (chunk.sequence, events))
        self.handler.write(b"".join(parts))
        await self.flush()

    async def flush(self) -> None:
        """Flush the handler and wait until the data is written to the socket."""
        flushed: asyncio.Future = self.handler.flush()
        if not flushed.done():
            holder = self.handler.holder
            holder.enter(Phase.ANSWER)
            await flushed
            holder.enter(Phase.RUNNING)

    def reset(self) -> bool:
        """Drop the head and error body; return whether the response has not started."""
        self.answer_head = None
        self.error_payloads.clear()
        return not self.is_started

    def finish_complete(self, request_id: str) -> None:
        """Send the final events of a complete answer."""
        final_event = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {}, "finish_reason": None}],
            "zinniaramp": {"outcome": Outcome.DONE, "request_id": request_id},
        }
        self.handler.write(f"data: {json.dumps(final_event)}\n\ndata: [DONE]\n\n")

    def finish_incomplete(self, error: CallerError, request_id: str) -> None:
        """Send an error event for an incomplete answer."""
        body = error_body(error)
        outcome = str(error.outcome) if error.outcome else None
        body["zinniaramp"] = {"outcome": outcome, "request_id": request_id}
        self.handler.write(f"data: {json.dumps(body)}\n\n")
