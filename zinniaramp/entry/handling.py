"""Base class of the HTTP handlers for callers."""

import asyncio
import math
from collections.abc import Coroutine

import tornado.web
from result import Err, Ok

from ..contracts import Outcome
from ..intake import Holder, Phase
from ..observability import emit
from .attempt import Sink
from .errors import CallerError, ErrorCode, error_body
from .events import CALLER_GONE, CALLER_REFUSED, REQUEST_ENDED
from .requests import Call
from .runs import RequestResult, RequestRun
from .sinks import AnswerTooLargeError

__all__ = ["CallerHandler", "UnknownPathHandler", "error_headers"]

MAX_HEADERS = 64
"""Maximum number of header lines of a request."""

REQUEST_ID_HEADER = "Zinniaramp-Request-Id"
OUTCOME_HEADER = "Zinniaramp-Outcome"
TICKET_REPLY_HEADER = "Zinniaramp-Ticket"


def error_headers(error: CallerError) -> dict[str, str]:
    """Return the response headers that describe an error."""
    headers = {}
    if error.outcome is not None:
        headers[OUTCOME_HEADER] = str(error.outcome)
    if error.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    if error.ticket:
        headers[TICKET_REPLY_HEADER] = error.ticket
    return headers


class CallerHandler(tornado.web.RequestHandler):
    """Base class of the handlers for callers.

    Attributes
    ----------
    process : EntryProcess
        The process that serves the request.
    holder : Holder
        Account of the caller's connection.
    task : asyncio.Task or None
        Task that processes the request; cancelled when the caller disconnects.
    time_limit : asyncio.Timeout or None
        Ends the processing when the process exits; None before it starts.
    """

    def initialize(self, process):
        """Set the entry process that serves the request."""
        self.process = process
        self.holder: Holder = self.request.connection.stream.holder
        self.task: asyncio.Task | None = None
        self.time_limit: asyncio.Timeout | None = None

    def prepare(self):
        """Reject requests that are too large; close connections while draining."""
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
        """Cancel the request's task when the caller disconnects."""
        if self.task is not None:
            self.task.cancel()

    async def run_task(self, coroutine: Coroutine) -> None:
        """Run a coroutine in a task that is cancelled when the caller disconnects."""
        self.task = asyncio.create_task(coroutine)
        self.process.request_tasks.add(self.task)
        try:
            await asyncio.wait({self.task})
        finally:
            self.process.request_tasks.discard(self.task)
        if not self.task.cancelled():
            self.task.result()

    def finish(self, chunk=None):
        """Write the rest of the answer; its caller may take its time to read it."""
        self.holder.enter(Phase.ANSWER)
        if isinstance(chunk, bytes):
            self.holder.charge(len(chunk))
        return super().finish(chunk)

    def stop(self) -> None:
        """End the request with an answer, because the process exits."""
        if self.time_limit is not None:
            self.time_limit.reschedule(asyncio.get_running_loop().time())

    async def run(self, call: Call, sink: Sink) -> RequestRun:
        """Run a request to its outcome and record it; send no response."""
        run = RequestRun(router=self.process.router, call=call, sink=sink)
        self.request_run = run
        self.process.handlers.add(self)
        try:
            async with asyncio.timeout(None) as self.time_limit:
                run.final_result = await run.run()
        except TimeoutError:
            if not self.time_limit.expired():
                raise
            run.final_result = run.result_at_exit()
        except AnswerTooLargeError:
            run.final_result = RequestResult(outcome=Outcome.UNKNOWN, error=_TOO_LARGE)
        except asyncio.CancelledError:
            attempts = len(run.attempts)
            emit(CALLER_GONE, request=run.first_id.request, attempts=attempts)
            self.record(run, outcome="abandoned", reason="caller_gone", status=499)
            raise
        finally:
            self.process.handlers.discard(self)
            self.time_limit = None
        error = run.final_result.error
        self.record(
            run,
            outcome=str(run.final_result.outcome or "refused"),
            reason=str(error.code) if error else "",
            status=error.status if error else 200,
        )
        return run

    def record(
        self, run: RequestRun, *, outcome: str, reason: str, status: int
    ) -> None:
        """Log a request's outcome and update the metrics."""
        elapsed = self.process.clock() - run.call.arrived
        run.timeline.record(outcome=outcome, reason=reason, elapsed=elapsed)
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
        """Set the response headers with the request's id and its ticket, if any."""
        self.set_header(REQUEST_ID_HEADER, run.request_id)
        if run.ticket:
            self.set_header(TICKET_REPLY_HEADER, run.ticket)

    def refuse(self, error: CallerError) -> None:
        """Log and reject an invalid request."""
        emit(
            CALLER_REFUSED,
            path=self.request.path[:200],
            status=error.status,
            code=str(error.code),
        )
        self.answer_error(error)

    def answer_error(self, error: CallerError) -> None:
        """Send an error response, in the format of the OpenAI API."""
        self.set_status(error.status)
        for name, value in error_headers(error).items():
            self.set_header(name, value)
        self.finish(error_body(error))

    def write_error(self, status_code, **kwargs):
        """Send an error raised by the HTTP server in the same format."""
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
                message=f"{message}; see the API reference",
                outcome=outcome,
            )
        )

    def checked(self, result):
        """Return the value of a result, or reject the request and return None."""
        match result:
            case Ok(value):
                return value
            case Err(error):
                self.refuse(error)
                return None


class UnknownPathHandler(CallerHandler):
    """Rejects requests for unknown paths."""

    def prepare(self):
        """Raise a 404 error."""
        raise tornado.web.HTTPError(404)


_TOO_LARGE = CallerError(
    status=502,
    code=ErrorCode.ANSWER_TOO_LARGE,
    message="the answer is too large for a single response, or for the memory that is "
    "left; request a stream",
    outcome=Outcome.UNKNOWN,
)
