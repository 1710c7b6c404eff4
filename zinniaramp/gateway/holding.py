"""Holding of prompts in the gateway until an engine has room for them."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

from ..admission import Admission, HeldRequest, Hold, Refuse, Send
from ..observability import emit
from ..placement import Demand, EngineTraits
from .admission_events import HOLD_ENDED, PROMPT_HELD, PROMPT_REFUSED
from .matching import MatchedRequest, RefusalError
from .metrics import HELD_SECONDS, HOLDS, PROMPT_REFUSALS

if TYPE_CHECKING:
    from .pool import EndpointPool, Selection

__all__ = ["RequestHolder"]

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Largest ``Retry-After`` as a share of the caller's remaining time.  Callers honour it
up to this share."""

RETRY_SPREAD = 0.3
"""Share by which the ``Retry-After`` of refused callers is spread beyond the predicted
wait, so that they don't all return at that moment."""

MILLISECOND = timedelta(milliseconds=1)
"""Unit of durations in the log."""


class RequestHolder:
    """Waits for room at the engines on behalf of the requests of one process.

    Parameters
    ----------
    pool : EndpointPool
        Endpoints and load that all requests share.
    random : Random
        Source of jitter.
    is_enabled : callable
        Returns whether requests are held at all; if not, each is sent at once.

    Attributes
    ----------
    admission : Admission
        Decides which prompts are sent, held or refused.
    waiting : dict of asyncio.Future
        Held requests; the result is the selection, once there is one.
    timers : dict of asyncio.TimerHandle
        Next examination of the held requests, by service.
    """

    __slots__ = ("pool", "random", "is_enabled", "admission", "waiting", "timers")

    def __init__(
        self, *, pool: "EndpointPool", random: Random, is_enabled: Callable[[], bool]
    ):
        self.pool = pool
        self.random = random
        self.is_enabled = is_enabled
        self.admission = Admission(
            law=lambda service: pool.placement.estimator(service).law, random=random
        )
        self.waiting: dict[HeldRequest, asyncio.Future] = {}
        self.timers: dict[str, asyncio.TimerHandle] = {}

    async def select(
        self,
        matched: MatchedRequest,
        tried: set[str],
        version: str | None,
        check: Callable[[], None],
    ) -> "Selection | None":
        """Select an endpoint for a request that has not been sent yet.

        Parameters
        ----------
        matched, tried, version
            As for `EndpointPool.select`.
        check : callable
            Raises a `RefusalError` if the request may not be sent any more; called
            before the send of a request that was held.

        Raises
        ------
        RefusalError
            The request is refused; nothing was sent.
        """
        traits = self.pool.engine_traits(matched.service)
        is_prompt = matched.metadata.demand is not None and traits is not None
        if not is_prompt or not self.is_enabled():
            return self.pool.select(matched, tried, version)
        request = self._make_request(matched, traits, tried, version, check)
        verdict = self.admission.offer(request, self.pool.clock())
        if isinstance(verdict, Send):
            return request.owner(verdict)
        if isinstance(verdict, Refuse):
            raise self._refuse(request, matched, verdict)
        return await self._hold(request, matched, verdict)

    def _make_request(
        self,
        matched: MatchedRequest,
        traits: EngineTraits,
        tried: set[str],
        version: str | None,
        check: Callable[[], None],
    ) -> HeldRequest:
        pool, demand = self.pool, matched.metadata.demand
        ready = {}

        def list_engines() -> list[str]:
            ready.clear()
            for one in pool.candidates(matched, tried, version):
                ready[one.incarnation] = one
            return list(ready)

        def select(verdict: Send) -> "Selection | None":
            if request in self.waiting:
                check()
            if verdict.choice is None:
                return pool.select(matched, tried, version)
            return pool.select_chosen(matched, traits, verdict.choice, len(ready))

        request = HeldRequest(
            demand=demand,
            traits=traits,
            deadline=matched.deadline,
            since=pool.clock(),
            engines=list_engines,
            choose=lambda names: pool.choose_engine(
                traits, demand, [ready[name] for name in names]
            ),
            owner=select,
        )
        return request

    async def _hold(
        self, request: HeldRequest, matched: MatchedRequest, verdict: Hold
    ) -> "Selection | None":
        service = request.traits.service
        emit(
            PROMPT_HELD,
            **self._log_fields(request, matched),
            endpoint=verdict.engine,
            lacks=verdict.reason,
            in_flight=self.admission.service(service).usage.count(verdict.engine),
            slots=request.traits.slots,
            held=self._held(service),
            needed_ms=round(request.needed_ms),
            left_ms=(request.deadline - self.pool.clock()) // MILLISECOND,
        )
        future = asyncio.get_running_loop().create_future()
        self.waiting[request] = future
        outcome, selection = "left", None
        try:
            self._evict(service)
            self._wake(service, "timer")
            selection = await future
            outcome = "sent"
            return selection
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                # The caller left at the moment in which its request was released.
                self.pool.withdraw(future.result())
            raise
        except RefusalError:
            outcome = "refused"
            raise
        except _RefusedError as refused:
            outcome = "refused"
            raise self._refuse(request, matched, refused.verdict) from None
        finally:
            del self.waiting[request]
            self.admission.remove(request)
            self._log_end(request, matched, outcome, selection)

    def _log_end(
        self,
        request: HeldRequest,
        matched: MatchedRequest,
        outcome: str,
        selection: "Selection | None",
    ) -> None:
        held_for = self.pool.clock() - request.since
        HOLDS.labels(outcome).inc()
        HELD_SECONDS.observe(held_for.total_seconds())
        emit(
            HOLD_ENDED,
            **self._log_fields(request, matched),
            outcome=outcome,
            endpoint=selection.endpoint.incarnation if selection else None,
            held_ms=held_for // MILLISECOND,
            passed=request.passed,
            held=self._held(request.traits.service),
        )

    def record_start(
        self,
        key: object,
        service: str,
        engine: str,
        demand: Demand,
        prefill: timedelta,
    ) -> None:
        """Record a send by this or another gateway; see `Admission.record_start`."""
        if self.is_enabled():
            now = self.pool.clock()
            self.admission.record_start(key, service, engine, demand, now, prefill)

    def record_end(self, key: object, *, is_own: bool) -> None:
        """Record the end of a send, which may have made room for held requests."""
        service = self.admission.record_end(key, self.pool.clock())
        if service is not None:
            self._wake(service, "own" if is_own else "peer")

    def apply_endpoints(self, names: Iterable[str]) -> None:
        """Apply a change of the known endpoints, given the names of all of them."""
        self.admission.keep(names)
        for service in {one.traits.service for one in self.waiting}:
            self._wake(service, "peer")

    def refuse_all(self) -> None:
        """Refuse all held requests, because the process is about to exit."""
        verdict = Refuse(reason="stopping", wait_ms=0.0, needed_ms=0.0)
        for request in list(self.waiting):
            self._resolve(request, verdict)

    def _evict(self, service: str) -> None:
        evicted = self.admission.evict(service, self.pool.clock())
        if evicted is not None:
            self._resolve(*evicted)

    def _wake(self, service: str, cause: str) -> None:
        """Examine the held requests of a service soon, or earlier if that is due."""
        loop = asyncio.get_running_loop()
        wait_s = self.admission.wake_after_s(cause=cause, service=service)
        timer = self.timers.get(service)
        if timer is not None:
            if timer.when() <= loop.time() + wait_s:
                return
            timer.cancel()
        self.timers[service] = loop.call_later(wait_s, self._drain, service)

    def _drain(self, service: str) -> None:
        self.timers.pop(service, None)
        while released := self.admission.drain(service, self.pool.clock()):
            self._resolve(*released)
        if self._held(service):
            self._wake(service, "timer")

    def _resolve(self, request: HeldRequest, verdict: Send | Refuse) -> None:
        """Tell the waiting request what becomes of it; selects the endpoint here.

        The next decision already counts the send.
        """
        future = self.waiting.get(request)
        if future is None or future.done():
            return
        if isinstance(verdict, Refuse):
            future.set_exception(_RefusedError(verdict))
            return
        try:
            future.set_result(request.owner(verdict))
        except Exception as error:
            # The one request gets it; the other held ones are still to be examined.
            future.set_exception(error)

    def _refuse(
        self, request: HeldRequest, matched: MatchedRequest, verdict: Refuse
    ) -> RefusalError:
        """Return the refusal of a request, and log it."""
        service = request.traits.service
        left = max(timedelta(), request.deadline - self.pool.clock())
        wait_s = max(verdict.wait_ms / 1000, self.pool.retry_after(matched, None))
        wait_s *= self.random.uniform(1, 1 + RETRY_SPREAD)
        wait_s = min(wait_s, left.total_seconds() * MAX_RETRY_AFTER_SHARE)
        PROMPT_REFUSALS.labels(verdict.reason).inc()
        emit(
            PROMPT_REFUSED,
            **self._log_fields(request, matched),
            reason=verdict.reason,
            wait_ms=round(verdict.wait_ms),
            needed_ms=round(verdict.needed_ms),
            left_ms=left // MILLISECOND,
            held=self._held(service),
            retry_after=round(wait_s, 3),
        )
        reason = "stopping" if verdict.reason == "stopping" else "over-capacity"
        return RefusalError(503, reason, retry_after=timedelta(seconds=wait_s))

    def _held(self, service: str) -> int:
        return self.admission.service(service).queue.count

    @staticmethod
    def _log_fields(request: HeldRequest, matched: MatchedRequest) -> dict:
        return {
            "request": matched.metadata.id,
            "service": request.traits.service,
            "workspace": request.demand.workspace,
            "urgency": request.demand.urgency,
        }


class _RefusedError(Exception):
    """A held request is refused.

    Attributes
    ----------
    verdict : Refuse
        Why.
    """

    def __init__(self, verdict: Refuse):
        super().__init__(verdict.reason)
        self.verdict = verdict
