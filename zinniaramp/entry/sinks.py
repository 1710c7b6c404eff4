"""Ways in which an answer goes to its caller."""

import asyncio
import json
from collections.abc import Callable

from ..contracts import Chunk, Head, Outcome
from .errors import CallerError, error_body

__all__ = ["AnswerTooLargeError", "CollectingSink", "EventSink", "is_error_head"]

FIRST_ERROR_STATUS = 400
"""Least HTTP status that is an error."""

MAX_WHOLE_BYTES = 8 * 1024 * 1024
"""Largest answer that is not streamed, in bytes."""


class AnswerTooLargeError(Exception):
    """An answer that is not streamed is larger than `MAX_WHOLE_BYTES`."""


def is_error_head(head: Head | None) -> bool:
    """Tell whether an engine answered with an error status."""
    return head is not None and head.status >= FIRST_ERROR_STATUS


class CollectingSink:
    """Holds an answer until it is whole.

    Attributes
    ----------
    payloads : list of bytes
        Chunk payloads in order.
    answer_head : Head or None
        Status and headers.
    """

    def __init__(self):
        self.payloads: list[bytes] = []
        self.answer_head: Head | None = None
        self.size = 0

    def head(self, head: Head) -> None:
        """Keep the status and headers."""
        self.answer_head = head

    async def accepted(self) -> None:
        """Do nothing: no part of the answer goes out before the whole."""

    async def write(self, chunks: list[Chunk]) -> None:
        """Keep chunks.

        Raises
        ------
        AnswerTooLargeError
            The caller has to stream answers of this size.
        """
        for chunk in chunks:
            self.size += len(chunk.payload)
            self.payloads.append(chunk.payload)
        if self.size > MAX_WHOLE_BYTES:
            raise AnswerTooLargeError

    def reset(self) -> bool:
        """Forget the answer; none of it has reached the caller."""
        self.__init__()
        return True


class EventSink:
    """Passes an answer on as server-sent events.

    Parameters
    ----------
    handler : tornado.web.RequestHandler
        The caller's connection.
    set_answer_headers : callable
        Sets the reply's headers just before they are sent.
    starts_on_accept : callable
        Tells whether the headers go out before the first chunk.
    """

    def __init__(
        self,
        *,
        handler,
        set_answer_headers: Callable[[], None],
        starts_on_accept: Callable[[], bool],
    ):
        self.handler = handler
        self.set_answer_headers = set_answer_headers
        self.starts_on_accept = starts_on_accept
        self.is_started = False
        self.answer_head: Head | None = None
        self.error_payloads: list[bytes] = []

    def head(self, head: Head) -> None:
        """Keep the status and headers."""
        self.answer_head = head

    async def accepted(self) -> None:
        """Send the headers, if they must come before the answer."""
        if self.starts_on_accept():
            self.start()
            await self.flush()

    def start(self) -> None:
        """Set the reply's headers once."""
        if not self.is_started:
            self.is_started = True
            self.set_answer_headers()

    async def write(self, chunks: list[Chunk]) -> None:
        """Send chunks and wait until the socket has taken them.

        The body of an engine's error is held, as it is not an answer.
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
        """Wait until the socket has taken what was written."""
        flushed: asyncio.Future = self.handler.flush()
        if not flushed.done():
            await flushed

    def reset(self) -> bool:
        """Return whether the answer can be started again."""
        self.answer_head = None
        self.error_payloads.clear()
        return not self.is_started

    def finish_whole(self, request_id: str) -> None:
        """Send the last events of a whole answer."""
        last = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {}, "finish_reason": None}],
            "zinniaramp": {"outcome": Outcome.DONE, "request_id": request_id},
        }
        self.handler.write(f"data: {json.dumps(last)}\n\ndata: [DONE]\n\n")

    def finish_broken(self, error: CallerError, request_id: str) -> None:
        """Send an event that says that the answer is not whole."""
        body = error_body(error)
        outcome = str(error.outcome) if error.outcome else None
        body["zinniaramp"] = {"outcome": outcome, "request_id": request_id}
        self.handler.write(f"data: {json.dumps(body)}\n\n")
