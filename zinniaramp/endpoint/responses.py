"""Conversion of attempts to engine calls and of engine responses to answers."""

import json
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from result import Err, Ok, Result

from ..answers import EventReader
from ..answers.retention import Piece
from ..contracts import Offer, Outcome
from .engine import EngineCall
from .transfer import BodyData, EngineError, ResponseHead, TransferEnd

__all__ = ["ResponseEnd", "ResponseReader", "chat_call", "plain_call"]

STREAM_END = "[DONE]"
"""Data of the event that marks the end of an engine's answer."""

TOKEN_MARKER = '"content"'
"""Text that occurs in the data of an event if and only if it contains a token."""

MAX_PIECE_BYTES = 256 * 1024
"""Size up to which body data is joined into one piece, in bytes."""

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of a body that is not an event stream, in bytes.

Entry processes deliver at most half as much, and tell callers of a larger answer."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ResponseEnd:
    """Outcome that a finished response implies for its attempt."""

    outcome: Outcome
    detail: str


def chat_call(
    offer: Offer, *, priority: int, timeout: timedelta
) -> Result[EngineCall, EngineError]:
    """Return the call that runs a chat request at the engine.

    Parameters
    ----------
    offer : Offer
        The attempt.
    priority : int
        Tier of its class; the engine serves lower numbers first.
    timeout : timedelta
        Timeout of the call.
    """
    try:
        body = json.loads(offer.body)
    except ValueError as error:
        return Err(EngineError(f"body is not JSON: {error}"))
    if not isinstance(body, dict):
        return Err(EngineError("body is not a JSON object"))
    body |= {"request_id": offer.attempt_id, "priority": priority, "stream": True}
    return Ok(
        EngineCall(
            method="POST",
            path=offer.path,
            headers=[["Content-Type", "application/json"]],
            body=json.dumps(body).encode(),
            timeout=timeout,
        )
    )


def plain_call(offer: Offer, *, timeout: timedelta) -> Result[EngineCall, EngineError]:
    """Return the call that runs a request at a plain service."""
    return Ok(
        EngineCall(
            method=offer.method,
            path=offer.path,
            headers=offer.headers,
            body=offer.body,
            timeout=timeout,
        )
    )


class ResponseReader:
    """Parses one response of the engine.

    Parameters
    ----------
    is_chat : bool
        Whether a successful response is an event stream.

    Attributes
    ----------
    head : ResponseHead or None
        Status and headers, once they have arrived.
    end : ResponseEnd or None
        Outcome of the attempt, once it is known.
    pending : list of Piece
        Content that the caller has not fetched yet.
    size : int
        Bytes received of a body that is not an event stream.
    """

    __slots__ = ("is_chat", "head", "end", "pending", "size", "events")

    def __init__(self, *, is_chat: bool):
        self.is_chat = is_chat
        self.head: ResponseHead | None = None
        self.end: ResponseEnd | None = None
        self.pending: list[Piece] = []
        self.size = 0
        self.events = EventReader()

    def read(self, item) -> None:
        """Process one item of the transfer."""
        match item:
            case ResponseHead():
                self.head = item
            case BodyData(data=data):
                self.read_data(data)
            case TransferEnd():
                self.read_end(item)

    def is_event_stream(self) -> bool:
        """Return whether the response is an event stream."""
        return self.is_chat and self.head.status == HTTPStatus.OK

    def is_engine_failure(self) -> bool:
        """Return whether the status shows a fault of the engine, not the request."""
        status = self.head.status
        is_busy = status == HTTPStatus.TOO_MANY_REQUESTS
        return self.is_chat and (is_busy or status >= HTTPStatus.INTERNAL_SERVER_ERROR)

    def read_data(self, data: bytes) -> None:
        """Process bytes of the response body."""
        if self.end is not None:
            return
        if not self.is_event_stream():
            self.read_plain_data(data)
            return
        match self.events.read(data):
            case Err(error):
                self.end = ResponseEnd(outcome=Outcome.UNKNOWN, detail=str(error))
            case Ok(events):
                for event in events:
                    self.read_event(event)

    def read_plain_data(self, data: bytes) -> None:
        """Process bytes of a body that is not an event stream."""
        self.size += len(data)
        if self.size > MAX_BODY_BYTES:
            detail = f"body has more than {MAX_BODY_BYTES} bytes"
            self.end = ResponseEnd(outcome=Outcome.UNKNOWN, detail=detail)
        elif not self.is_engine_failure():
            self.pending.append(Piece(payload=data, tokens=0))

    def read_event(self, data: str) -> None:
        """Process one event of a chat answer."""
        if self.end is not None:
            return
        if data == STREAM_END:
            self.end = ResponseEnd(outcome=Outcome.DONE, detail="")
            return
        tokens = int(TOKEN_MARKER in data)
        self.pending.append(Piece(payload=data.encode(), tokens=tokens))

    def read_end(self, ended: TransferEnd) -> None:
        """Process the end of the transfer."""
        if self.end is not None:
            return
        if not ended.is_sent:
            self.end = ResponseEnd(outcome=Outcome.NOT_RUN, detail=str(ended.error))
        elif ended.error is not None:
            self.end = ResponseEnd(outcome=Outcome.UNKNOWN, detail=str(ended.error))
        elif self.head is None or self.is_engine_failure():
            status = self.head.status if self.head else "none"
            detail = f"engine answered with status {status}"
            self.end = ResponseEnd(outcome=Outcome.UNKNOWN, detail=detail)
        elif self.is_event_stream():
            detail = "engine ended the answer early"
            self.end = ResponseEnd(outcome=Outcome.UNKNOWN, detail=detail)
        else:
            self.end = ResponseEnd(outcome=Outcome.DONE, detail="")

    def pop_pieces(self) -> list[Piece]:
        """Return and remove the content received since the last call.

        Notes
        -----
        Each event is one piece and thus one chunk, so that a caller can resume after
        any event by its sequence number.  Other content is joined into larger pieces.
        """
        pending, self.pending = self.pending, []
        if self.head and self.is_event_stream():
            return pending
        pieces: list[Piece] = []
        group: list[Piece] = []
        size = 0
        for piece in pending:
            if group and size + len(piece.payload) > MAX_PIECE_BYTES:
                pieces.append(_join(group))
                group, size = [], 0
            group.append(piece)
            size += len(piece.payload)
        if group:
            pieces.append(_join(group))
        return pieces


def _join(group: list[Piece]) -> Piece:
    return Piece(payload=b"".join(piece.payload for piece in group), tokens=0)
