"""Handling of one caller's request, from its headers to the end of the answer."""

import asyncio
import traceback
from dataclasses import replace
from datetime import timedelta

from ..observability import emit
from ..resumption import StreamOrigin
from .caller import CallerConnection, CallerGoneError
from .events import (
    ANSWERED,
    CALLER_LEFT,
    REQUEST_FAILED,
    REQUEST_REFUSED,
    STREAM_RESUMED,
)
from .matching import CallerRequest, MatchedRequest, RefusalError, match_request
from .metrics import ANSWERS, CUT_ANSWERS, FIRST_EVENT_SECONDS, RESUMPTIONS
from .outcomes import SendOutcome, SendResult
from .pool import EndpointPool
from .selection_log import MILLISECOND
from .sending import Sender

__all__ = ["RequestHandler"]

MAX_CONNECT_FAILURES = 3
"""Number of failed connection attempts after which a request fails.  An attempt for
which no endpoint is ready counts as failed."""

OK = 200
"""Status that is logged for an answer that was aborted after it had started."""


class RequestHandler:
    """Matches one request, runs its sends and answers the caller.

    Parameters
    ----------
    pool : EndpointPool
        Endpoints, load and retry budgets that all requests share.
    request : CallerRequest
        The request.
    caller : CallerConnection
        Connection for the answer.

    Attributes
    ----------
    time_limit : asyncio.Timeout or None
        Time limit of the request while it is served; None before and after.
    is_stopped : bool
        Whether the process exits before the request has ended.
    """

    __slots__ = (
        "pool",
        "request",
        "caller",
        "matched",
        "sender",
        "time_limit",
        "is_stopped",
    )

    def __init__(
        self, *, pool: EndpointPool, request: CallerRequest, caller: CallerConnection
    ):
        self.pool = pool
        self.request = request
        self.caller = caller
        self.matched: MatchedRequest | None = None
        self.sender: Sender | None = None
        self.time_limit: asyncio.Timeout | None = None
        self.is_stopped = False

    async def run(self) -> None:
        """Handle the request.

        Cancellation ends the send in progress and closes the caller's connection.
        """
        try:
            self.matched = self._match()
            left = self.matched.deadline - self.pool.clock()
            async with asyncio.timeout(left.total_seconds()) as time_limit:
                self.time_limit = time_limit
                try:
                    await self._serve(self.matched)
                finally:
                    self.time_limit = None
        except RefusalError as refusal:
            await self._end_without_answer(refusal)
        except TimeoutError:
            await self._end_without_answer(self._timeout_refusal())
        except (CallerGoneError, asyncio.CancelledError):
            emit(CALLER_LEFT, **self._log_fields())
            self.caller.abort()
        except Exception as error:
            # Whatever goes wrong, the caller gets an end; the request may have run.
            self._log_failure(error)
            await self._end_without_answer(RefusalError(502, "internal-error"))
        finally:
            if self.sender is not None:
                self.sender.end_send()

    def stop(self) -> None:
        """End the request now, with an answer, because the process exits."""
        self.is_stopped = True
        if self.time_limit is not None:
            self.time_limit.reschedule(asyncio.get_running_loop().time())

    def find_refusal(self) -> RefusalError | None:
        """Return why the request will be refused whatever its body is, or None."""
        try:
            self._match()
        except RefusalError as refusal:
            return refusal
        return None

    async def refuse(self, refusal: RefusalError) -> None:
        """Refuse the request without handling it."""
        try:
            await self._end_without_answer(refusal)
        except asyncio.CancelledError:
            self.caller.abort()

    def _match(self) -> MatchedRequest:
        if self.pool.is_refusing:
            raise RefusalError(503, "stopping")
        metadata = self.pool.codec.read_request(self.request.headers)
        return match_request(self.request, metadata, self.pool.registry.configuration)

    async def _serve(self, matched: MatchedRequest) -> None:
        version = None
        if matched.is_resumed:
            origin = await self._find_origin(matched)
            matched = self.matched = replace(matched, service=origin.service)
            version = origin.version
        self.pool.record_request(matched.service)
        self.sender = Sender(
            pool=self.pool,
            request=self.request,
            matched=matched,
            caller=self.caller,
            version=version,
        )
        connect_failures = 0
        while True:
            self._check_quarantine(matched)
            result = await self.sender.send_once(
                lambda: self._check_quarantine(matched)
            )
            if self.caller.is_done:
                self._log_answer(result.status, is_complete=True)
                return
            if result.outcome is SendOutcome.NOT_SENT:
                connect_failures += 1
                if connect_failures < MAX_CONNECT_FAILURES:
                    continue
            if not self.sender.may_retry(result):
                await self._send_final_answer(result)
                return
            if result.is_closed:
                # The retry would end the next endpoint if this request ended the last.
                await self.pool.crash_watch.finish_checks()

    async def _find_origin(self, matched: MatchedRequest) -> StreamOrigin:
        """Return the service and the software version at which a stream goes on.

        Raises
        ------
        RefusalError
            They are not known, the route no longer has the service, or no endpoint of
            the version is ready.
        """
        began_at = self.pool.clock()
        found = await self.pool.resumption.find(matched)
        origin, age = found.origin, found.age
        is_ready = origin is not None and self._is_served(matched, origin)
        RESUMPTIONS.labels(found.known_by.value, "yes" if is_ready else "no").inc()
        emit(
            STREAM_RESUMED,
            request=matched.metadata.id,
            resumes=matched.metadata.resumes,
            after_event=matched.metadata.last_event_id,
            service=origin and origin.service,
            software=origin and origin.version,
            known_by=found.known_by.value,
            age_ms=None if age is None else age // MILLISECOND,
            waited_ms=(self.pool.clock() - began_at) // MILLISECOND,
        )
        if origin is None:
            raise RefusalError(503, "stream-version-unknown")
        if not is_ready:
            raise RefusalError(503, "stream-version-gone")
        return origin

    def _is_served(self, matched: MatchedRequest, origin: StreamOrigin) -> bool:
        """Return whether the route leads to a ready endpoint of an origin."""
        if all(share.service != origin.service for share in matched.route.shares):
            return False
        ready = self.pool.registry.ready(origin.service)
        return any(endpoint.version == origin.version for endpoint in ready)

    def _check_quarantine(self, matched: MatchedRequest) -> None:
        """Raise a `RefusalError` if the request or a segment crashes endpoints."""
        quarantine = self.pool.find_quarantine(matched)
        if quarantine is None:
            return
        is_request = quarantine.name == matched.fingerprint
        reason = "request-quarantined" if is_request else "segment-quarantined"
        if self.sender.may_have_run:
            raise RefusalError(502, reason)
        left = quarantine.until - self.pool.clock()
        raise RefusalError(503, reason, retry_after=left)

    async def _send_final_answer(self, result: SendResult) -> None:
        """Answer with the last send's result.

        Raises
        ------
        RefusalError
            The last send has no answer that may be forwarded.
        """
        is_answer = (
            result.head is not None and result.outcome is not SendOutcome.NOT_RUN
        )
        if is_answer and not self.caller.has_started:
            await self.caller.answer(result.head, result.body)
            self._log_answer(result.head.status, is_complete=True)
            return
        if self.sender.may_have_run:
            raise RefusalError(502, "endpoint-failed")
        raise RefusalError(503, "not-run")

    def _timeout_refusal(self) -> RefusalError:
        """Return the refusal of a request whose time is over."""
        if self.sender is not None and self.sender.may_have_run:
            return RefusalError(504, "stopping" if self.is_stopped else "time-over")
        if self.is_stopped:
            return RefusalError(503, "stopping")
        return RefusalError(503, "time-over-not-run")

    async def _end_without_answer(self, refusal: RefusalError) -> None:
        """Refuse the request, or cut off its answer if that has started.

        Every failure ends here, because a refusal that follows the start of an answer
        would be read as a part of it.
        """
        if self.caller.has_started:
            CUT_ANSWERS.labels(self.matched.route.name, refusal.reason).inc()
            self._log_answer(OK, is_complete=False, problem=refusal.reason)
            self.caller.abort()
            return
        await self._refuse(refusal.status, refusal.reason, refusal.retry_after)

    async def _refuse(
        self, status: int, reason: str, wait: timedelta | None = None
    ) -> None:
        retry_after = wait.total_seconds() if wait is not None else None
        if status == 503 and wait is None:
            matched = self.matched
            left = matched.deadline - self.pool.clock() if matched else None
            retry_after = self.pool.retry_after(matched, left)
        route = self.matched.route.name if self.matched else ""
        ANSWERS.labels(route, status, "gateway").inc()
        emit(
            REQUEST_REFUSED,
            status=status,
            reason=reason,
            retry_after=retry_after,
            **self._log_fields(),
        )
        try:
            await self.caller.refuse(status, reason, retry_after)
        except CallerGoneError:
            emit(CALLER_LEFT, **self._log_fields())

    def _log_answer(self, status: int, *, is_complete: bool, problem: str = "") -> None:
        first = self.sender.first_at
        route = self.matched.route.name
        ANSWERS.labels(route, status, "endpoint").inc()
        waited = (first or self.pool.clock()) - self.request.received
        FIRST_EVENT_SECONDS.labels(route).observe(waited.total_seconds())
        emit(
            ANSWERED,
            status=status,
            whole=is_complete,
            problem=problem,
            first_ms=(first - self.request.received) // MILLISECOND if first else None,
            gap_ms=self.sender.longest_gap // MILLISECOND if first else None,
            **self._log_fields(),
        )

    def _log_failure(self, error: Exception) -> None:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        emit(
            REQUEST_FAILED,
            error=repr(error),
            where=f"{frame.filename}:{frame.lineno}",
            **self._log_fields(),
        )

    def _log_fields(self) -> dict:
        matched = self.matched
        return {
            "request": matched.metadata.id if matched else "",
            "route": matched.route.name if matched else "",
            "sends": self.sender.sends if self.sender else 0,
            "after_ms": (self.pool.clock() - self.request.received) // MILLISECOND,
        }
