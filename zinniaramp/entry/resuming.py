"""HTTP handler that continues an answer, whichever entry it began at."""

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
from .service_calls import set_service_head
from .sinks import CollectingSink, EventSink, is_error_head

__all__ = ["RequestHandler"]

RESUME_LIMIT = timedelta(seconds=600)
"""Longest wait for the next chunk of an answer that is continued."""

MAX_SEQUENCE = 2**31
"""Bound on the sequence number that a caller may ask for."""


class RequestHandler(CallerHandler):
    """``GET /v1/requests/ID?from=N``."""

    async def get(self, text: str):
        """Send the rest of an answer as server-sent events."""
        attempt_id = self.checked(_attempt_id(text))
        if attempt_id is None:
            return
        start = self.checked(_start(self.get_query_argument("from", "0")))
        if start is not None:
            await self.work_on(self.answer(attempt_id, start))

    async def answer(self, attempt_id: AttemptId, start: int) -> None:
        """Reach the endpoint that retains the answer and pass it on."""
        emit(REQUEST_RESUMED, attempt=str(attempt_id), from_sequence=start)
        self.set_header(REQUEST_ID_HEADER, str(attempt_id))
        peer = await self.process.peers.reach(attempt_id.host)
        if peer is None:
            self.answer_error(_unreachable(attempt_id))
            return
        if str(attempt_id) in peer.inboxes:
            self.answer_error(_in_use(attempt_id))
            return
        if self.runs_service(peer):
            await self.answer_service(peer, str(attempt_id), start)
        else:
            await self.pass_on(peer, str(attempt_id), start)

    def runs_service(self, peer: Peer) -> bool:
        """Tell whether a plain service, and no engine, stands behind a peer."""
        models = self.process.models(self.process.revisions.current())
        return peer.serves.isdisjoint(models)

    async def answer_service(self, peer: Peer, attempt_id: str, start: int) -> None:
        """Answer with a plain service's whole answer, as its first caller was to be."""
        if start != 0:
            self.answer_error(_not_in_parts(start))
            return
        sink = CollectingSink()
        result = await self.take(peer, attempt_id, sink, start)
        if result.kind is not AttemptKind.DONE:
            self.answer_error(_not_continued(result))
            return
        set_service_head(self, sink.answer_head)
        self.set_header(REQUEST_ID_HEADER, attempt_id)
        self.set_header(OUTCOME_HEADER, str(Outcome.DONE))
        self.finish(b"".join(sink.payloads) or None)

    async def pass_on(self, peer: Peer, attempt_id: str, start: int) -> None:
        """Pass the rest of an engine's answer on."""
        sink = EventSink(
            handler=self,
            set_answer_headers=lambda: self.set_header(
                "Content-Type", "text/event-stream"
            ),
            starts_on_accept=lambda: False,
        )
        result = await self.take(peer, attempt_id, sink, start)
        if result.kind is AttemptKind.DONE and is_error_head(sink.answer_head):
            self.set_status(sink.answer_head.status)
            self.finish(b"".join(sink.error_payloads))
        elif result.kind is AttemptKind.DONE:
            sink.start()
            sink.finish_whole(attempt_id)
        elif sink.is_started:
            sink.finish_broken(_not_continued(result), attempt_id)
        else:
            self.answer_error(_not_continued(result))

    async def take(
        self, peer: Peer, attempt_id: str, sink: Sink, start: int
    ) -> AttemptResult:
        """Ask for an answer from a chunk on and follow it to its end."""
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


def _attempt_id(text: str):
    return parse_attempt_id(text).map_err(
        lambda error: CallerError(
            status=404,
            code=ErrorCode.UNKNOWN_REQUEST,
            message=str(error),
            param="id",
        )
    )


def _start(text: str):
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


def _not_in_parts(start: int) -> CallerError:
    return CallerError(
        status=400,
        code=ErrorCode.INVALID_FIELD,
        message=f"from is {start}; a plain service's answer is sent whole, so leave "
        "it out",
        param="from",
    )


def _unreachable(attempt_id: AttemptId) -> CallerError:
    return CallerError(
        status=502,
        code=ErrorCode.OUTCOME_UNKNOWN,
        message=f"host {attempt_id.host!r}, which retains the answer, cannot be "
        "reached; ask again later",
        outcome=Outcome.UNKNOWN,
    )


def _in_use(attempt_id: AttemptId) -> CallerError:
    return CallerError(
        status=409,
        code=ErrorCode.UNKNOWN_REQUEST,
        message=f"{attempt_id} is being answered on another connection; "
        "close that one first",
        outcome=Outcome.UNKNOWN,
    )


def _not_continued(result: AttemptResult) -> CallerError:
    status, code = 502, ErrorCode.OUTCOME_UNKNOWN
    if result.reason == RefusalReason.ATTEMPT_UNKNOWN:
        status, code = 404, ErrorCode.UNKNOWN_REQUEST
    if result.reason == RefusalReason.ANSWER_DISCARDED:
        status, code = 410, ErrorCode.ANSWER_DISCARDED
    is_not_run = result.kind is AttemptKind.NOT_STARTED
    return CallerError(
        status=status,
        code=code,
        message=f"the answer cannot be continued: {result.reason}",
        outcome=Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN,
    )
