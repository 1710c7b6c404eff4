"""Turns an attempt into a call to the engine, and its response into an answer."""

import json
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from result import Err, Ok, Result

from ..answers import EventReader
from ..answers.retention import Piece
from ..contracts import Offer, Outcome
from .engine import (
    EngineCall,
    EngineError,
    Received,
    ResponseHead,
    TransferEnd,
)

__all__ = ["ResponseEnd", "ResponseReader", "chat_call", "plain_call"]

STREAM_END = "[DONE]"
"""Data of the event that ends an engine's answer."""

TOKEN_MARK = '"content"'
"""Text in the data of an event that carries a token."""

MAX_PIECE_BYTES = 256 * 1024
"""Content above which a chunk is not joined with the next one, in bytes."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ResponseEnd:
    """What a finished response means for its attempt."""

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
        Longest time of the call.
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
    """Reads one response.

    Parameters
    ----------
    is_chat : bool
        Whether a successful response is a stream of events.

    Attributes
    ----------
    head : ResponseHead or None
        Status and headers, once they have arrived.
    end : ResponseEnd or None
        What the response means, once that is known.
    pending : list of Piece
        Content that was not taken yet.
    """

    __slots__ = ("is_chat", "head", "end", "pending", "events")

    def __init__(self, *, is_chat: bool):
        self.is_chat = is_chat
        self.head: ResponseHead | None = None
        self.end: ResponseEnd | None = None
        self.pending: list[Piece] = []
        self.events = EventReader()

    def read(self, item) -> None:
        """Take one item of the transfer."""
        match item:
            case ResponseHead():
                self.head = item
            case Received(data=data):
                self.read_data(data)
            case TransferEnd():
                self.read_end(item)

    def has_events(self) -> bool:
        """Tell whether the response is a stream of events."""
        return self.is_chat and self.head.status == HTTPStatus.OK

    def is_engine_failure(self) -> bool:
        """Tell whether the engine, rather than the request, is at fault."""
        status = self.head.status
        is_busy = status == HTTPStatus.TOO_MANY_REQUESTS
        return self.is_chat and (is_busy or status >= HTTPStatus.INTERNAL_SERVER_ERROR)

    def read_data(self, data: bytes) -> None:
        """Take bytes of the body."""
        if self.end is not None or self.is_engine_failure():
            return
        if not self.has_events():
            self.pending.append(Piece(payload=data, tokens=0))
            return
        match self.events.read(data):
            case Err(error):
                self.end = ResponseEnd(outcome=Outcome.UNKNOWN, detail=str(error))
            case Ok(events):
                for event in events:
                    self.read_event(event)

    def read_event(self, data: str) -> None:
        """Take one event of a chat answer."""
        if self.end is not None:
            return
        if data == STREAM_END:
            self.end = ResponseEnd(outcome=Outcome.DONE, detail="")
            return
        tokens = int(TOKEN_MARK in data)
        self.pending.append(Piece(payload=data.encode(), tokens=tokens))

    def read_end(self, ended: TransferEnd) -> None:
        """Take the end of the transfer."""
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
        elif self.has_events():
            detail = "engine ended the answer early"
            self.end = ResponseEnd(outcome=Outcome.UNKNOWN, detail=detail)
        else:
            self.end = ResponseEnd(outcome=Outcome.DONE, detail="")

    def take_pieces(self) -> list[Piece]:
        """Return the content so far.

        Notes
        -----
        Each event is a piece of its own, so that its number is that of a chunk and
        a caller can continue after any event.  Other content is joined.
        """
        pending, self.pending = self.pending, []
        if self.head and self.has_events():
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
