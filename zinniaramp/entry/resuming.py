"""HTTP handler that resumes an answer, which any entry process may have started."""

from datetime import timedelta

from result import Err, Ok

from ..answers import AttemptId, parse_attempt_id
from ..contracts import Outcome, RefusalReason
from ..observability import emit
from .attempt import Attempt, AttemptKind, AttemptResult, Sink
from .errors import CallerError, ErrorCode
from .events import REQUEST_RESUMED
from .handling import OUTCOME_HEADER, REQUEST_ID_HEADER, CallerHandler
from .metrics import Timeline
from .peers import Peer
from .requests import BUILT_IN_CLASS
from .service_calls import copy_service_head
from .sinks import CollectingSink, EventSink, is_error_head

__all__ = ["RequestHandler"]

RESUME_LIMIT = timedelta(seconds=600)
"""Time from the request to resume an answer to the deadline of that attempt."""

MAX_SEQUENCE = 2**31
"""Exclusive upper bound of the sequence number that a caller may request."""


class RequestHandler(CallerHandler):
    """``GET /v1/requests/ID?from=N``."""

    async def get(self, text: str):
        """Send the rest of an answer as server-sent events."""
        attempt_id = self.checked(_parse_request_id(text))
        if attempt_id is None:
            return
        start = self.checked(_parse_start(self.get_query_argument("from", "0")))
        if start is not None:
            await self.run_task(self.answer(attempt_id, start))

    async def answer(self, attempt_id: AttemptId, start: int) -> None:
        """Connect to the endpoint that retains the answer and deliver the answer."""
        emit(REQUEST_RESUMED, attempt=str(attempt_id), from_sequence=start)
        self.set_header(REQUEST_ID_HEADER, str(attempt_id))
        peer = await self.process.peers.connect(attempt_id.host)
        if peer is None:
            self.answer_error(_host_unreachable(attempt_id))
            return
        if str(attempt_id) in peer.inboxes:
            self.answer_error(_answer_in_use(attempt_id))
            return
        if self.is_service_peer(peer):
            await self.answer_service(peer, str(attempt_id), start)
        else:
            await self.stream_answer(peer, str(attempt_id), start)

    def is_service_peer(self, peer: Peer) -> bool:
        """Return whether a peer serves only plain services and no model."""
        models = self.process.models(self.process.revisions.current())
        return peer.serves.isdisjoint(models)

    async def answer_service(self, peer: Peer, attempt_id: str, start: int) -> None:
        """Send the complete answer of a plain service with its status and headers."""
        if start != 0:
            self.answer_error(_offset_unsupported(start))
            return
        sink = CollectingSink(reserve=self.holder.reserve)
        result = await self.receive_answer(peer, attempt_id, sink, start)
        if result.kind is not AttemptKind.DONE:
            self.answer_error(_resume_failed(result))
            return
        copy_service_head(self, sink.answer_head)
        self.set_header(REQUEST_ID_HEADER, attempt_id)
        self.set_header(OUTCOME_HEADER, str(Outcome.DONE))
        self.finish(b"".join(sink.payloads) or None)

    async def stream_answer(self, peer: Peer, attempt_id: str, start: int) -> None:
        """Send the rest of an engine's answer as server-sent events."""
        sink = EventSink(
            handler=self,
            set_answer_headers=lambda: self.set_header(
                "Content-Type", "text/event-stream"
            ),
            sends_headers_on_accept=lambda: False,
        )
        result = await self.receive_answer(peer, attempt_id, sink, start)
        if result.kind is AttemptKind.DONE and is_error_head(sink.answer_head):
            self.set_status(sink.answer_head.status)
            self.finish(b"".join(sink.error_payloads))
        elif result.kind is AttemptKind.DONE:
            sink.start()
            sink.finish_complete(attempt_id)
        elif sink.is_started:
            sink.finish_incomplete(_resume_failed(result), attempt_id)
        else:
            self.answer_error(_resume_failed(result))

    async def receive_answer(
        self, peer: Peer, attempt_id: str, sink: Sink, start: int
    ) -> AttemptResult:
        """Request an answer from chunk `start` on and receive it to its end."""
        now = self.process.clock()
        attempt = Attempt(
            peer=peer,
            attempt_id=attempt_id,
            sink=sink,
            timeline=Timeline(class_declaration=BUILT_IN_CLASS),
            clock=self.process.clock,
            arrived=now,
            deadline=now + RESUME_LIMIT,
            start=start,
        )
        attempt.is_accepted = True
        try:
            return await attempt.resume("caller")
        finally:
            attempt.cancel()
            attempt.close()


def _parse_request_id(text: str):
    return parse_attempt_id(text).map_err(
        lambda error: CallerError(
            status=404,
            code=ErrorCode.UNKNOWN_REQUEST,
            message=str(error),
            param="id",
        )
    )


def _parse_start(text: str):
    if text.isascii() and text.isdigit() and int(text[:12]) < MAX_SEQUENCE:
        return Ok(int(text[:12]))
    return Err(
        CallerError(
            status=400,
            code=ErrorCode.INVALID_FIELD,
            message=f"from is {text!r:.40}; send the number after the last event's id",
            param="from",
        )
    )


def _offset_unsupported(start: int) -> CallerError:
    return CallerError(
        status=400,
        code=ErrorCode.INVALID_FIELD,
        message=f"from is {start}; the answer of a plain service cannot be sent in "
        "part; omit the parameter",
        param="from",
    )


def _host_unreachable(attempt_id: AttemptId) -> CallerError:
    return CallerError(
        status=502,
        code=ErrorCode.OUTCOME_UNKNOWN,
        message=f"host {attempt_id.host!r}, which retains the answer, cannot be "
        "reached; retry later",
        outcome=Outcome.UNKNOWN,
    )


def _answer_in_use(attempt_id: AttemptId) -> CallerError:
    return CallerError(
        status=409,
        code=ErrorCode.UNKNOWN_REQUEST,
        message=f"{attempt_id} is in use on another connection; "
        "close that connection first",
        outcome=Outcome.UNKNOWN,
    )


def _resume_failed(result: AttemptResult) -> CallerError:
    status, code = 502, ErrorCode.OUTCOME_UNKNOWN
    if result.reason == RefusalReason.ATTEMPT_UNKNOWN:
        status, code = 404, ErrorCode.UNKNOWN_REQUEST
    if result.reason == RefusalReason.ANSWER_DISCARDED:
        status, code = 410, ErrorCode.ANSWER_DISCARDED
    is_not_run = result.kind is AttemptKind.NOT_STARTED
    return CallerError(
        status=status,
        code=code,
        message=f"the answer cannot be resumed: {result.reason}",
        outcome=Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN,
    )
