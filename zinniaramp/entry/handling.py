"""What the HTTP handlers for callers have in common."""

import asyncio
import math
from collections.abc import Coroutine

import tornado.web
from result import Err, Ok

from ..contracts import Outcome
from ..observability import emit
from .attempt import Sink
from .errors import CallerError, ErrorCode, error_body
from .events import CALLER_GONE, CALLER_REFUSED, REQUEST_ENDED
from .requests import Call
from .runs import Final, RequestRun
from .sinks import AnswerTooLargeError

__all__ = ["CallerHandler", "UnknownPathHandler"]

MAX_HEADERS = 64
"""Most header lines of one request."""

REQUEST_ID_HEADER = "Zinniaramp-Request-Id"
OUTCOME_HEADER = "Zinniaramp-Outcome"
TICKET_REPLY_HEADER = "Zinniaramp-Ticket"


class CallerHandler(tornado.web.RequestHandler):
    """Base of the handlers for callers.

    Attributes
    ----------
    process : EntryProcess
        The process that serves the request.
    work : asyncio.Task or None
        The task that is cancelled when the caller goes.
    """

    def initialize(self, process):
        """Take the entry process that serves the request."""
        self.process = process
        self.work: asyncio.Task | None = None

    def prepare(self):
        """Refuse requests that are too large; close connections while draining."""
        if self.process.is_draining:
            self.set_header("Connection", "close")
        limit = self.process.revisions.current().defaults.body_limit
        headers = sum(1 for _ in self.request.headers.get_all())
        if headers > MAX_HEADERS:
            self.refuse(
                CallerError(
                    status=431,
                    code=ErrorCode.TOO_MANY_HEADERS,
                    message=f"{headers} header lines; send at most {MAX_HEADERS}",
                )
            )
        elif len(self.request.body) > limit:
            self.refuse(
                CallerError(
                    status=413,
                    code=ErrorCode.BODY_TOO_LARGE,
                    message=f"body has {len(self.request.body)} bytes; "
                    f"send at most {limit}",
                )
            )

    def on_connection_close(self):
        """Stop the work for a caller that has gone."""
        if self.work is not None:
            self.work.cancel()

    async def work_on(self, work: Coroutine) -> None:
        """Do a request's work in a task that ends with its caller."""
        self.work = asyncio.create_task(work)
        self.process.works.add(self.work)
        try:
            await asyncio.wait({self.work})
        finally:
            self.process.works.discard(self.work)
        if not self.work.cancelled():
            self.work.result()

    async def run(self, call: Call, sink: Sink) -> RequestRun:
        """See a request to its outcome and record it; answer nothing."""
        run = RequestRun(router=self.process.router, call=call, sink=sink)
        self.request_run = run
        try:
            run.final = await run.run()
        except AnswerTooLargeError:
            run.final = Final(outcome=Outcome.UNKNOWN, error=_TOO_LARGE)
        except asyncio.CancelledError:
            attempts = len(run.attempts)
            emit(CALLER_GONE, request=run.first_id.request, attempts=attempts)
            self.record(run, outcome="abandoned", reason="caller_gone", status=499)
            raise
        error = run.final.error
        self.record(
            run,
            outcome=str(run.final.outcome or "refused"),
            reason=str(error.code) if error else "",
            status=error.status if error else 200,
        )
        return run

    def record(
        self, run: RequestRun, *, outcome: str, reason: str, status: int
    ) -> None:
        """Log and count a request's outcome."""
        took = self.process.clock() - run.call.arrived
        run.timeline.record(outcome=outcome, reason=reason, took=took)
        emit(
            REQUEST_ENDED,
            request=run.first_id.request,
            **{"class": run.call.class_declaration.name},
            outcome=outcome,
            reason=reason,
            status=status,
            attempts=len(run.attempts),
            revision=run.call.declarations.revision.index,
        )

    def set_run_headers(self, run: RequestRun) -> None:
        """Set the headers that name a request and the ticket taken for it."""
        self.set_header(REQUEST_ID_HEADER, run.request_id)
        if run.ticket:
            self.set_header(TICKET_REPLY_HEADER, run.ticket)

    def refuse(self, error: CallerError) -> None:
        """Answer a request that is wrong."""
        emit(
            CALLER_REFUSED,
            path=self.request.path[:200],
            status=error.status,
            code=str(error.code),
        )
        self.answer_error(error)

    def answer_error(self, error: CallerError) -> None:
        """Answer with an error in the shape that OpenAI clients read."""
        self.set_status(error.status)
        if error.outcome is not None:
            self.set_header(OUTCOME_HEADER, str(error.outcome))
        if error.retry_after_s > 0:
            self.set_header("Retry-After", str(math.ceil(error.retry_after_s)))
        if error.ticket:
            self.set_header(TICKET_REPLY_HEADER, error.ticket)
        self.finish(error_body(error))

    def write_error(self, status_code, **kwargs):
        """Answer an HTTP error of the server itself in the same shape."""
        code = {
            404: ErrorCode.UNKNOWN_PATH,
            405: ErrorCode.METHOD_NOT_ALLOWED,
        }.get(status_code, ErrorCode.INTERNAL_ERROR)
        message = f"{self.request.method} {self.request.path[:200]}: {self._reason}"
        outcome = Outcome.UNKNOWN if status_code >= 500 else None
        self.answer_error(
            CallerError(
                status=status_code,
                code=code,
                message=f"{message}; see the interface's reference",
                outcome=outcome,
            )
        )

    def checked(self, result):
        """Return a checked value, or answer the error and return None."""
        match result:
            case Ok(value):
                return value
            case Err(error):
                self.refuse(error)
                return None


class UnknownPathHandler(CallerHandler):
    """Answers paths that are not of the interface."""

    def prepare(self):
        """Answer 404."""
        raise tornado.web.HTTPError(404)


_TOO_LARGE = CallerError(
    status=502,
    code=ErrorCode.ANSWER_TOO_LARGE,
    message="the answer is too large to be sent whole; ask for a stream",
    outcome=Outcome.UNKNOWN,
)
