"""One request of a caller, from its head to the end of its answer."""

import asyncio

from ..observability import emit
from .caller import CallerConnection, CallerGoneError
from .events import ANSWERED, CALLER_LEFT, REQUEST_REFUSED
from .fates import Fate, SendResult
from .matching import Incoming, Matched, RefusalError, match_request
from .metrics import ANSWERS, FIRST
from .pool import EndpointPool
from .sending import MILLISECOND, Sender

__all__ = ["RequestHandler"]

MAX_CONNECT_FAILURES = 3
"""Endpoints that are tried for one request while connections fail."""

OK = 200
"""Status of a stream that has begun."""


class RequestHandler:
    """Sees one request to its answer.

    Parameters
    ----------
    pool : EndpointPool
        What the process knows and shares among its requests.
    incoming : Incoming
        The request.
    caller : CallerConnection
        Where the answer goes.
    """

    __slots__ = ("pool", "incoming", "caller", "matched", "sender")

    def __init__(
        self, *, pool: EndpointPool, incoming: Incoming, caller: CallerConnection
    ):
        self.pool = pool
        self.incoming = incoming
        self.caller = caller
        self.matched: Matched | None = None
        self.sender: Sender | None = None

    async def run(self) -> None:
        """Handle the request; cancelling it ends what is under way."""
        try:
            self.matched = self._match()
            left = self.matched.until - self.pool.clock()
            async with asyncio.timeout(left.total_seconds()):
                await self._serve(self.matched)
        except RefusalError as refusal:
            await self._refuse(refusal.status, refusal.reason)
        except TimeoutError:
            await self._give_up()
        except (CallerGoneError, asyncio.CancelledError):
            emit(CALLER_LEFT, **self._summary())
            self.caller.abort()
        finally:
            if self.sender is not None:
                self.sender.end_send()

    def _match(self) -> Matched:
        if self.pool.is_refusing:
            raise RefusalError(503, "stopping")
        facts = self.pool.wire.read_request(self.incoming.headers)
        return match_request(self.incoming, facts, self.pool.registry.configuration)

    async def _serve(self, matched: Matched) -> None:
        self.pool.note_request(matched.service)
        self.sender = Sender(
            pool=self.pool,
            incoming=self.incoming,
            matched=matched,
            caller=self.caller,
        )
        connect_failures = 0
        while True:
            result = await self.sender.send_once()
            if self.caller.is_done:
                self._log_answer(result.status, is_whole=True)
                return
            if result.fate is Fate.NOT_SENT:
                connect_failures += 1
                if connect_failures < MAX_CONNECT_FAILURES:
                    continue
            if not self.sender.may_send_again(result):
                await self._settle(result)
                return

    async def _settle(self, result: SendResult) -> None:
        """Answer with the last send's result."""
        if self.caller.has_begun:
            self._log_answer(OK, is_whole=False)
            self.caller.abort()
            return
        if result.head is not None and result.fate is not Fate.NOT_RUN:
            await self.caller.answer(result.head, result.body)
            self._log_answer(result.head.status, is_whole=True)
            return
        if self.sender.may_have_run:
            raise RefusalError(502, "endpoint-failed")
        raise RefusalError(503, "not-run")

    async def _give_up(self) -> None:
        if self.caller.has_begun:
            self._log_answer(OK, is_whole=False)
            self.caller.abort()
            return
        if self.sender is not None and self.sender.may_have_run:
            await self._refuse(504, "time-over")
        else:
            await self._refuse(503, "time-over-not-run")

    async def _refuse(self, status: int, reason: str) -> None:
        retry_after = None
        if status == 503:
            left = self.matched.until - self.pool.clock() if self.matched else None
            retry_after = self.pool.retry_after(left)
        route = self.matched.route.name if self.matched else ""
        ANSWERS.labels(route, status, "gateway").inc()
        emit(
            REQUEST_REFUSED,
            status=status,
            reason=reason,
            retry_after=retry_after,
            **self._summary(),
        )
        try:
            await self.caller.refuse(status, reason, retry_after)
        except CallerGoneError:
            emit(CALLER_LEFT, **self._summary())

    def _log_answer(self, status: int, *, is_whole: bool) -> None:
        first = self.sender.first_at
        route = self.matched.route.name
        ANSWERS.labels(route, status, "endpoint").inc()
        waited = (first or self.pool.clock()) - self.incoming.received
        FIRST.labels(route).observe(waited.total_seconds())
        emit(
            ANSWERED,
            status=status,
            whole=is_whole,
            first_ms=(first - self.incoming.received) // MILLISECOND if first else None,
            gap_ms=self.sender.longest_gap // MILLISECOND if first else None,
            **self._summary(),
        )

    def _summary(self) -> dict:
        matched = self.matched
        return {
            "request": matched.facts.id if matched else "",
            "route": matched.route.name if matched else "",
            "sends": self.sender.sends if self.sender else 0,
            "after_ms": (self.pool.clock() - self.incoming.received) // MILLISECOND,
        }
