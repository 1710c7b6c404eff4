"""The sends of one request: choosing an endpoint, sending, and passing on."""

import asyncio
from datetime import datetime, timedelta

from result import Err

from ..observability import emit
from ..registry import Endpoint
from ..routes import RetryPolicy
from .caller import CallerConnection
from .events import ENDPOINT_CHOSEN, SEND_ENDED
from .fates import Fate, SendResult, judge
from .hops import end_to_end
from .matching import Incoming, Matched
from .messages import SendOrders
from .metrics import ADDED, SENDS
from .pool import EndpointPool, Picked
from .streams import EventRelay
from .upstream import Answer, AnswerEnd, AnswerHead, AnswerPart, Outgoing, start_send

__all__ = ["Sender"]

CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Longest wait for a connection: endpoints take 1 ms and the farthest data centre
another, and a lost packet is sent again after a second."""

SILENT_SHARE = 0.5
"""Share of the time left after which a plain call that may be repeated is sent to
another endpoint; half leaves the second one as much as the first had."""

SILENT_TARGETS = 2
"""Targets after which a stream that may be resumed is, without its first event."""

SILENT_GAPS = 4
"""Longest pauses that are on time after which a stream is resumed elsewhere; callers
wait for eight."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of the times in the log."""

LEAST_TIME = timedelta(milliseconds=20)
"""Time below which a request is not sent any more; no answer comes so soon."""


class Sender:
    """Sends one request to endpoints, one at a time.

    Parameters
    ----------
    pool : EndpointPool
        What the process knows and shares among its requests.
    incoming : Incoming
        The request.
    matched : Matched
        What it is for.
    caller : CallerConnection
        Where a stream is passed on to.

    Attributes
    ----------
    sends : int
        Sends so far.
    may_have_run : bool
        Whether one of them may have run.
    first_at, last_at : datetime or None
        When the first event and the latest one were passed on.
    longest_gap : timedelta
        Longest pause between events.
    """

    __slots__ = (
        "pool",
        "incoming",
        "matched",
        "caller",
        "relay",
        "sends",
        "may_have_run",
        "tried",
        "has_repeat",
        "first_at",
        "last_at",
        "longest_gap",
        "answer",
        "picked",
    )

    def __init__(
        self,
        *,
        pool: EndpointPool,
        incoming: Incoming,
        matched: Matched,
        caller: CallerConnection,
    ):
        self.pool = pool
        self.incoming = incoming
        self.matched = matched
        self.caller = caller
        self.relay: EventRelay | None = None
        if matched.route.streams:
            self.relay = EventRelay(last_event=matched.facts.last_event)
        self.sends = 0
        self.may_have_run = False
        self.tried: set[str] = set()
        self.has_repeat = False
        self.first_at: datetime | None = None
        self.last_at: datetime | None = None
        self.longest_gap = timedelta()
        self.answer: Answer | None = None
        self.picked: Picked | None = None

    async def send_once(self) -> SendResult:
        """Send to the next endpoint and see the send to its end.

        Raises
        ------
        TimeoutError
            There is no time for an answer.
        """
        if self.matched.until - self.pool.clock() < LEAST_TIME:
            raise TimeoutError
        picked = self._pick()
        if picked is None:
            return SendResult(fate=Fate.NOT_SENT, problem="no endpoint")
        self.picked = picked
        self.tried.add(picked.endpoint.incarnation)
        began = self.pool.clock()
        try:
            result = await self._send(picked.endpoint)
        finally:
            self.end_send()
        self.pool.note_result(picked, result)
        SENDS.labels(result.fate.value).inc()
        emit(
            SEND_ENDED,
            request=self.matched.facts.id,
            endpoint=picked.endpoint.incarnation,
            send=self.sends,
            fate=result.fate.value,
            status=result.status,
            after_ms=(self.pool.clock() - began) // MILLISECOND,
            problem=result.problem,
        )
        return result

    def _pick(self) -> Picked | None:
        matched = self.matched
        picked = self.pool.pick(
            service=matched.service, facts=matched.facts, tried=self.tried
        )
        if picked is None:
            return None
        emit(
            ENDPOINT_CHOSEN,
            request=matched.facts.id,
            route=matched.route.name,
            endpoint=picked.endpoint.incarnation,
            send=self.sends + 1,
            version=matched.configuration.version,
            revision=self.pool.registry.cache.revision,
            ready=picked.ready,
            waited_ms=(self.pool.clock() - self.incoming.received) // MILLISECOND,
            left_ms=(matched.until - self.pool.clock()) // MILLISECOND,
            wait_ms=picked.wait // MILLISECOND,
            to_read=picked.prefill_tokens,
        )
        return picked

    async def _send(self, endpoint: Endpoint) -> SendResult:
        left = self.matched.until - self.pool.clock()
        sending = await start_send(
            endpoint.address,
            self._outgoing(endpoint, left),
            connect_timeout=min(CONNECT_TIMEOUT, left),
        )
        if isinstance(sending, Err):
            return SendResult(fate=Fate.NOT_SENT, problem=str(sending.err_value))
        self.answer = sending.ok_value
        self.sends += 1
        if self.sends == 1:
            waited = self.pool.clock() - self.incoming.received
            ADDED.observe(waited.total_seconds())
        was_known = self.may_have_run
        self.may_have_run = True
        result = await self._receive(self.answer)
        if result.fate is Fate.NOT_RUN:
            self.may_have_run = was_known
        return result

    def _outgoing(self, endpoint: Endpoint, left: timedelta) -> Outgoing:
        matched = self.matched
        orders = SendOrders(
            endpoint_id=endpoint.id,
            time_left=left,
            workspace=matched.workspace.name if matched.workspace else "",
            urgency=matched.urgency if matched.facts.demand else None,
            last_event=self.relay.last_event if self.relay else None,
        )
        passed = end_to_end(self.incoming.headers, keep=self.pool.wire.kept_headers)
        headers = self.pool.wire.write_request(passed, orders)
        if self.incoming.body or self.incoming.start_line.method != "GET":
            headers["Content-Length"] = str(len(self.incoming.body))
        return Outgoing(
            method=self.incoming.start_line.method,
            target=self.incoming.start_line.path,
            headers=headers,
            body=self.incoming.body,
        )

    async def _receive(self, answer: Answer) -> SendResult:
        message = await self._next(answer)
        if not isinstance(message, AnswerHead):
            problem = getattr(message, "problem", "body before head")
            return SendResult(fate=Fate.UNKNOWN, problem=problem)
        facts = self.pool.wire.read_answer(message.status, message.headers)
        result = judge(message, facts, self.matched.facts.id)
        if result.fate is Fate.ANSWERED and self.relay is not None:
            return await self._relay_stream(answer, result)
        if result.head is None:
            return result
        return await self._collect(answer, result)

    async def _next(self, answer: Answer) -> AnswerHead | AnswerPart | AnswerEnd:
        """Return the next message; a silence ends a send that may be repeated."""
        patience = self._patience()
        if patience is None:
            return await answer.next()
        try:
            async with asyncio.timeout(patience.total_seconds()):
                return await answer.next()
        except TimeoutError:
            self.has_repeat = self.pool.take_repeat(self.matched.service)
        if self.has_repeat:
            return AnswerEnd(is_whole=False, problem=f"silent for {patience}")
        return await answer.next()

    def _patience(self) -> timedelta | None:
        """Return how long to wait for the next message; None waits to the end."""
        route = self.matched.route
        if route.repeat is RetryPolicy.NEVER or self.sends >= route.max_attempts:
            return None
        if not route.streams:
            return (self.matched.until - self.pool.clock()) * SILENT_SHARE
        has_begun = self.first_at is not None
        if has_begun:
            return route.gap_target * SILENT_GAPS or None
        return route.target * SILENT_TARGETS or None

    async def _collect(self, answer: Answer, result: SendResult) -> SendResult:
        parts = []
        while True:
            message = await self._next(answer)
            if isinstance(message, AnswerPart):
                parts.append(message.data)
                continue
            if isinstance(message, AnswerEnd) and message.is_whole:
                result.body = b"".join(parts)
                return result
            return self._broken(result, message)

    def _broken(self, result: SendResult, message) -> SendResult:
        problem = getattr(message, "problem", "second head")
        if result.fate is Fate.NOT_RUN:
            return SendResult(fate=Fate.NOT_RUN, problem=problem)
        return SendResult(fate=Fate.UNKNOWN, problem=problem)

    async def _relay_stream(self, answer: Answer, result: SendResult) -> SendResult:
        self.relay.restart()
        while True:
            message = await self._next(answer)
            if isinstance(message, AnswerPart):
                await self._pass_events(message.data, result.head)
                if not self.relay.in_order:
                    return SendResult(fate=Fate.UNKNOWN, problem="events out of order")
                continue
            if message.is_whole and not self.relay.pending:
                await self._finish_stream(result.head)
                return result
            return SendResult(
                fate=Fate.UNKNOWN, problem=message.problem or "torn event"
            )

    async def _pass_events(self, data: bytes, head: AnswerHead) -> None:
        whole = self.relay.take(data)
        if not whole or not self.relay.in_order:
            return
        self._note_events()
        if not self.caller.has_begun:
            await self.caller.begin(head, None)
        await self.caller.write(whole)

    def _note_events(self) -> None:
        now = self.pool.clock()
        if self.first_at is None:
            self.first_at = now
            self.pool.note_begun(self.picked)
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_at)
        self.last_at = now

    async def _finish_stream(self, head: AnswerHead) -> None:
        if not self.caller.has_begun:
            await self.caller.begin(head, None)
        self.caller.finish()

    def may_send_again(self, result: SendResult) -> bool:
        """Whether a result allows one more send; takes a repeat from the budget."""
        route = self.matched.route
        if result.fate in (Fate.ANSWERED, Fate.NOT_SENT):
            return False
        if self.sends >= route.max_attempts:
            return False
        if result.fate is not Fate.NOT_RUN and route.repeat is RetryPolicy.NEVER:
            return False
        if self.has_repeat:
            self.has_repeat = False
            return True
        return self.pool.take_repeat(self.matched.service)

    def end_send(self) -> None:
        """End the send under way, if there is one."""
        if self.answer is not None:
            self.answer.close()
            self.answer = None
        if self.picked is not None:
            self.pool.note_ended(self.picked)
            self.picked = None
