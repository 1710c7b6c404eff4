"""Requests whose endpoint is gone before anything of the answer was received."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from result import Err

from ..observability import emit
from ..registry import Endpoint, Registry
from ..sockets import open_stream
from .admission_events import ENDPOINT_GONE_WAITED
from .upstream import Answer, AnswerEnd

__all__ = ["GoneWatch"]

CONNECT_ATTEMPTS = 2
"""Connection attempts that have to fail.  A single one fails when a packet is lost."""

CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Timeout of an attempt; connecting takes 1 ms, and 1 ms more to the farthest data
centre."""

ATTEMPT_INTERVAL = timedelta(milliseconds=100)
"""Time between two attempts."""

PROBLEM = "endpoint is gone"
"""Cause of the failed send, for the log."""


@dataclass(slots=True, kw_only=True, frozen=True)
class _Waiting:
    """A send of which nothing of the answer was received.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint.
    may_repeat : bool
        Whether the request may run again.
    """

    endpoint: Endpoint
    may_repeat: bool


class GoneWatch:
    """Ends sends to endpoints that are gone, so that they needn't wait any longer.

    Silence alone is no evidence: an endpoint that is silent may still answer.  A
    request that may not be repeated is ended only if the endpoint's entry was removed
    and connections to it fail.  One that may be repeated is ended as well if another
    process has taken the endpoint's place, or if connections are refused.

    Parameters
    ----------
    registry : Registry
        Known endpoints.

    Attributes
    ----------
    waiting : dict
        Sends that wait for the first part of an answer, by their `Answer`.
    checks : dict of asyncio.Task
        Connection attempts in progress, by the endpoint's incarnation.
    """

    __slots__ = ("registry", "waiting", "checks")

    def __init__(self, *, registry: Registry):
        self.registry = registry
        self.waiting: dict[Answer, _Waiting] = {}
        self.checks: dict[str, asyncio.Task] = {}

    def add(self, answer: Answer, endpoint: Endpoint, *, may_repeat: bool) -> None:
        """Watch the endpoint of a send until `remove` is called."""
        self.waiting[answer] = _Waiting(endpoint=endpoint, may_repeat=may_repeat)

    def remove(self, answer: Answer) -> None:
        """Stop watching: a part of the answer was received, or the send ended."""
        self.waiting.pop(answer, None)

    def apply_endpoints(self) -> None:
        """Check the endpoints of waiting sends whose entries were removed."""
        awaited = {one.endpoint.incarnation: one.endpoint for one in self._sends()}
        for name, endpoint in awaited.items():
            if self.registry.by_incarnation(name) is None:
                self.check(endpoint)

    def check(self, endpoint: Endpoint) -> None:
        """Check whether an endpoint whose entry or connections fail is gone."""
        name = endpoint.incarnation
        is_awaited = any(one.endpoint.incarnation == name for one in self._sends())
        # One that leaves may close its listener and still complete its answers.
        if not is_awaited or name in self.checks or name in self.registry.leaving:
            return
        task = asyncio.create_task(self._check(endpoint))
        self.checks[name] = task
        task.add_done_callback(lambda _: self.checks.pop(name, None))

    def _sends(self) -> list[_Waiting]:
        return list(self.waiting.values())

    async def _check(self, endpoint: Endpoint) -> None:
        name, is_refused = endpoint.incarnation, True
        is_reachable = False
        for attempt in range(CONNECT_ATTEMPTS):
            if attempt:
                await asyncio.sleep(ATTEMPT_INTERVAL.total_seconds())
            opened = await open_stream(endpoint.address, timeout=CONNECT_TIMEOUT)
            if not isinstance(opened, Err):
                opened.ok_value.close()
                is_reachable = True
                break
            is_refused = is_refused and opened.err_value.is_refused
        is_removed = self.registry.by_incarnation(name) is None
        if name in self.registry.leaving:
            return
        if is_reachable:
            self._end(endpoint, is_certain=False, is_likely=self._is_replaced(endpoint))
        else:
            is_likely = is_removed or is_refused
            self._end(endpoint, is_certain=is_removed, is_likely=is_likely)

    def _is_replaced(self, endpoint: Endpoint) -> bool:
        """Return whether a later start of the endpoint is registered."""
        return any(
            one.id == endpoint.id and one.started > endpoint.started
            for one in self.registry.ready(endpoint.service)
        )

    def _end(self, endpoint: Endpoint, *, is_certain: bool, is_likely: bool) -> None:
        ended = 0
        for answer, one in list(self.waiting.items()):
            if one.endpoint.incarnation != endpoint.incarnation:
                continue
            if not (is_certain or (is_likely and one.may_repeat)):
                continue
            if answer.queue.empty():
                answer.queue.put_nowait(AnswerEnd(is_complete=False, problem=PROBLEM))
                ended += 1
            self.remove(answer)
        if ended:
            emit(
                ENDPOINT_GONE_WAITED,
                endpoint=endpoint.incarnation,
                sends=ended,
                is_removed=is_certain,
            )
