"""Sends of one request: endpoint selection, sending, and forwarding the answer.

A *send* is one attempt to have one endpoint run the request.
"""

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta

from result import Err, Ok

from ..listeners import announced_length
from ..observability import emit
from ..registry import Endpoint
from ..routes import RetryPolicy
from .body_collector import BodyCollector
from .caller import CallerConnection
from .continuation import find_end_problem, find_head_problem
from .events import SEND_ENDED
from .matching import CallerRequest, MatchedRequest
from .metrics import ADDED_SECONDS, SENDS
from .outcomes import (
    SendOutcome,
    SendResult,
    classify_answer,
    make_incomplete,
    may_repeat,
)
from .pool import EndpointPool, Selection
from .selection_log import MILLISECOND, log_selection
from .silence import find_silence_timeout
from .streams import EventRelay
from .upstream import (
    READ_BYTES,
    Answer,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    send_request,
)
from .upstream_request import build_request

__all__ = ["Sender"]

CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Timeout of a connection attempt.  Connecting takes 1 ms, and 1 ms more to the
farthest data centre; a lost packet is retransmitted only after a second."""

MAX_BUFFERED_BYTES = 8 * 1024 * 1024
"""Largest body that is forwarded only when it is complete, in bytes.  A host with
200 MB holds a dozen of them; the platform's bodies have a few kilobytes."""

MIN_TIME_LEFT = timedelta(milliseconds=20)
"""Remaining time below which nothing is sent; no answer arrives in so short a time."""


class Sender:
    """Sends one request to endpoints, one send at a time.

    Parameters
    ----------
    pool : EndpointPool
        Endpoints, load and retry budgets that all requests share.
    request : CallerRequest
        The request.
    matched : MatchedRequest
        Its route, workspace and service.
    caller : CallerConnection
        Connection that a stream is forwarded to.
    version : str or None
        Software version that began the stream, at which alone it may go on; None before
        its first event.

    Attributes
    ----------
    sends : int
        Sends so far; failed connections are not counted.
    may_have_run : bool
        Whether an endpoint may have run the request.
    tried : set of str
        Incarnations of the endpoints selected so far.
    has_retry_allowance : bool
        Whether the next retry was already withdrawn from the budget.
    first_at, last_at : datetime or None
        When the first and the latest events were received.
    longest_gap : timedelta
        Longest time between events.
    is_closed : bool
        Whether the endpoint closed the connection of the latest send.
    events : int
        Reads of the latest send that completed events of its stream.
    answer_bytes : int
        Bytes of the latest send's answer so far.
    """

    __slots__ = (
        "pool",
        "request",
        "matched",
        "caller",
        "relay",
        "sends",
        "may_have_run",
        "tried",
        "version",
        "has_retry_allowance",
        "first_at",
        "last_at",
        "longest_gap",
        "events",
        "answer_bytes",
        "is_closed",
        "answer",
        "selection",
    )

    def __init__(
        self,
        *,
        pool: EndpointPool,
        request: CallerRequest,
        matched: MatchedRequest,
        caller: CallerConnection,
        version: str | None,
    ):
        self.pool = pool
        self.request = request
        self.matched = matched
        self.caller = caller
        self.relay: EventRelay | None = None
        if matched.route.streams:
            self.relay = EventRelay(last_event_id=matched.metadata.last_event_id)
        self.sends = 0
        self.may_have_run = False
        self.tried: set[str] = set()
        self.version = version
        self.has_retry_allowance = False
        self.first_at: datetime | None = None
        self.last_at: datetime | None = None
        self.longest_gap = timedelta()
        self.events = 0
        self.answer_bytes = 0
        self.is_closed = False
        self.answer: Answer | None = None
        self.selection: Selection | None = None

    async def send_once(self, check: Callable[[], None]) -> SendResult:
        """Send the request to the next endpoint and return the result.

        Parameters
        ----------
        check : callable
            Raises a `RefusalError` if the request may not be sent any more; called
            again after it was held until an engine has room.

        Raises
        ------
        TimeoutError
            Too little time is left for an answer.
        RefusalError
            The request is refused, and has not been sent.
        """
        if self.matched.deadline - self.pool.clock() < MIN_TIME_LEFT:
            raise TimeoutError
        selection = await self._select_endpoint(check)
        if selection is None:
            return SendResult(outcome=SendOutcome.NOT_SENT, problem="no endpoint")
        self.selection = selection
        self.tried.add(selection.endpoint.incarnation)
        self.events = 0
        self.answer_bytes = 0
        self.is_closed = False
        began = self.pool.clock()
        try:
            result = await self._send(selection.endpoint)
            result.is_closed = self.is_closed
            result.answer_bytes = self.answer_bytes
        finally:
            self.end_send()
        self.pool.record_result(selection, result)
        SENDS.labels(result.outcome.value).inc()
        emit(
            SEND_ENDED,
            request=self.matched.metadata.id,
            endpoint=selection.endpoint.incarnation,
            send=self.sends,
            fate=result.outcome.value,
            status=result.status,
            after_ms=(self.pool.clock() - began) // MILLISECOND,
            events=self.events,
            problem=result.problem,
        )
        return result

    async def _select_endpoint(self, check: Callable[[], None]) -> Selection | None:
        matched = self.matched
        if self.sends or matched.is_resumed:
            # It may have run, or its caller has a part of the answer.
            selection = self.pool.select(matched, self.tried, self.version)
        else:
            selection = await self.pool.holder.select(
                matched, self.tried, self.version, check
            )
        if selection is None:
            return None
        log_selection(
            self.pool,
            self.request,
            matched,
            selection,
            send=self.sends + 1,
            after_event=self.relay.last_event_id if self.relay else None,
        )
        return selection

    async def _send(self, endpoint: Endpoint) -> SendResult:
        began = self.pool.clock()
        left = self.matched.deadline - began
        sent = await send_request(
            endpoint.address,
            build_request(
                self.pool.codec,
                self.request,
                self.matched,
                endpoint,
                left=left,
                last_event_id=self.relay.last_event_id if self.relay else None,
            ),
            connect_timeout=min(CONNECT_TIMEOUT, left),
            receive_buffer=self.caller.send_buffer(),
        )
        self.pool.record_written(self.selection)
        # A refusal is about the endpoint, and says nothing about the path to it.
        if isinstance(sent, Ok) or not sent.err_value.is_refused:
            self.pool.record_connect(endpoint, self.pool.clock() - began)
        if isinstance(sent, Err):
            return SendResult(outcome=SendOutcome.NOT_SENT, problem=str(sent.err_value))
        self.answer = sent.ok_value
        self.sends += 1
        if self.sends == 1:
            waited = self.pool.clock() - self.request.received
            ADDED_SECONDS.observe(waited.total_seconds())
        may_have_run_before = self.may_have_run
        self.may_have_run = True
        result = await self._receive(self.answer)
        if result.outcome is SendOutcome.NOT_RUN:
            self.may_have_run = may_have_run_before
        return result

    async def _receive(self, answer: Answer) -> SendResult:
        may_repeat = self.matched.route.repeat is not RetryPolicy.NEVER
        gone_watch, endpoint = self.pool.gone_watch, self.selection.endpoint
        gone_watch.add(answer, endpoint, may_repeat=may_repeat)
        try:
            message = await self._next_message(answer)
        finally:
            gone_watch.remove(answer)
        if not isinstance(message, AnswerHead):
            problem = getattr(message, "problem", "body before headers")
            return SendResult(outcome=SendOutcome.UNKNOWN, problem=problem)
        metadata = self.pool.codec.read_answer(message.status, message.headers)
        request_id = self.matched.metadata.id
        self.pool.apply_hints(self.selection.endpoint, metadata, request_id)
        result = classify_answer(message, metadata, request_id)
        if result.outcome is SendOutcome.ANSWERED:
            self.pool.record_head(self.selection)
            if self.relay is not None:
                return await self._relay_stream(answer, result)
        if result.head is None:
            return result
        return await self._read_body(answer, result)

    async def _next_message(
        self, answer: Answer
    ) -> AnswerHead | AnswerChunk | AnswerEnd:
        """Return the next message, or an `AnswerEnd` after too long a silence.

        The timeout applies only if the request can be retried: an endpoint that is
        silent may still answer.  Otherwise this waits until a message arrives.
        """
        message = await self._next_or_silence(answer)
        if isinstance(message, AnswerEnd):
            self.is_closed = message.is_closed
        elif isinstance(message, AnswerChunk):
            self.answer_bytes += len(message.data)
        return message

    async def _next_or_silence(
        self, answer: Answer
    ) -> AnswerHead | AnswerChunk | AnswerEnd:
        silence_timeout = find_silence_timeout(
            self.matched.route,
            sends=self.sends,
            left=self.matched.deadline - self.pool.clock(),
            has_started=self.first_at is not None,
        )
        if silence_timeout is None:
            return await answer.next()
        is_retry_possible = False
        while not is_retry_possible:
            try:
                async with asyncio.timeout(silence_timeout.total_seconds()):
                    return await answer.next()
            except TimeoutError:
                is_retry_possible = self.pool.may_send(self.matched, self.version)
        self.has_retry_allowance = self.pool.withdraw_retry(self.matched.service)
        if self.has_retry_allowance:
            return AnswerEnd(
                is_complete=False, problem=f"no message for {silence_timeout}"
            )
        return await answer.next()

    async def _read_body(self, answer: Answer, result: SendResult) -> SendResult:
        length = announced_length(result.head.headers)
        collector = BodyCollector(hold=self.caller.hold)
        await collector.expect(min(length, MAX_BUFFERED_BYTES))
        while True:
            message = await self._next_message(answer)
            if isinstance(message, AnswerEnd) and message.is_complete:
                result.body = collector.body.take()
                return result
            if not isinstance(message, AnswerChunk):
                return make_incomplete(result, message)
            await collector.add(message.data)
            if collector.body.filled > MAX_BUFFERED_BYTES:
                problem = f"body with more than {MAX_BUFFERED_BYTES} bytes"
                return SendResult(outcome=SendOutcome.UNKNOWN, problem=problem)

    async def _relay_stream(self, answer: Answer, result: SendResult) -> SendResult:
        has_begun = self.relay.last_event_id is not None or self.caller.has_started
        problem = find_head_problem(result.head) if has_begun else ""
        self.relay.begin_answer()
        while not problem:
            message = await self._next_message(answer)
            if isinstance(message, AnswerChunk):
                await self._forward_events(message.data, result.head)
                problem = self.relay.problem or self._charge_event()
                continue
            problem = find_end_problem(
                message, pending=self.relay.pending, events=self.events
            )
            if not problem:
                if not self.caller.has_started:
                    await self.caller.send_head(result.head, None)
                self.caller.finish()
                return result
        return SendResult(outcome=SendOutcome.UNKNOWN, problem=problem)

    def _charge_event(self) -> str:
        """Charge the beginning of an event; return why it can't be kept, or nothing."""
        size = len(self.relay.pending)
        if self.caller.hold_event(size if size > READ_BYTES else 0):
            return ""
        return f"no memory for an event with over {size} bytes"

    async def _forward_events(self, data: bytes, head: AnswerHead) -> None:
        whole = self.relay.feed(data)
        if not whole:
            return
        if self.first_at is None:
            self.version = self.selection.endpoint.version
            self.pool.resumption.record_began(self.matched, self.version)
        self._record_events()
        if not self.caller.has_started:
            await self.caller.send_head(head, None)
        await self.caller.write(whole)

    def _record_events(self) -> None:
        now = self.pool.clock()
        self.events += 1
        if self.first_at is None:
            self.first_at = now
            self.pool.record_first_event(self.selection)
        else:
            gap = now - self.last_at
            self.longest_gap = max(self.longest_gap, gap)
            self.pool.record_event(self.selection, gap)
        self.last_at = now

    def may_retry(self, result: SendResult) -> bool:
        """Return whether to retry after a result; if so, take it from the budget."""
        if not may_repeat(result, self.matched.route, sends=self.sends):
            return False
        if self.has_retry_allowance:
            self.has_retry_allowance = False
            return True
        return self.pool.withdraw_retry(self.matched.service)

    def end_send(self) -> None:
        """Close the connection of the send in progress, if any, and record its end."""
        if self.answer is not None:
            self.answer.close()
            self.answer = None
        if self.selection is not None:
            self.pool.record_end(self.selection)
            self.selection = None
