"""Scheduler and step loop of the engine stand-in."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from ...clock import Clock
from ..history import History
from ..serving import Controls, Execution
from .prefix import BLOCK_TOKENS, PrefixCache
from .speed import prefill_seconds, step_seconds

__all__ = ["Engine", "EngineRequest", "FinishReason", "LoadReport", "Token"]

CATCH_UP_SECONDS = 0.1
"""Largest delay of the step loop that shorter sleeps compensate, in seconds."""


class FinishReason(StrEnum):
    """Reason for which an answer ended."""

    STOP = "stop"
    CANCELLED = "cancelled"


@dataclass(slots=True, kw_only=True, frozen=True)
class Token:
    """One token of an answer."""

    text: str


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadReport:
    """Load of the engine at one time.

    Parameters
    ----------
    running, waiting : int
        Number of requests in the batch and in the queue.
    width : int
        Largest number of requests in a batch.
    tokens_per_s : float
        Output tokens per second over the whole batch, in the current step.
    """

    running: int
    waiting: int
    width: int
    tokens_per_s: float


@dataclass(slots=True, kw_only=True, eq=False)
class EngineRequest:
    """A request in the engine: waiting, running or paused.

    Parameters
    ----------
    number : int
        Position in the order of arrival.
    priority : int
        Priority; lower values run first.
    tokens : list of str
        Every token of the answer, determined at submission.
    blocks : list of bytes
        Digests of the prompt's blocks, from `prompt_blocks`.
    execution : Execution
        Log entry of the request.
    cached_tokens : int
        Prompt tokens that were cached at prefill.
    is_prefilled : bool
        Whether prefill has started.
    answer : asyncio.Queue
        Tokens generated so far, and then the reason of the answer's end.
    """

    number: int
    priority: int
    tokens: list[str]
    blocks: list[bytes]
    execution: Execution
    cached_tokens: int = 0
    is_prefilled: bool = False
    answer: asyncio.Queue[Token | FinishReason] = field(default_factory=asyncio.Queue)

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt in tokens, rounded up to whole blocks."""
        return len(self.blocks) * BLOCK_TOKENS

    def queue_key(self) -> tuple[int, int]:
        """Return the sort key of the waiting queue: priority, then arrival."""
        return self.priority, self.number


class Engine:
    """Simulates an engine with continuous batching.

    Requests join and leave the batch between steps.

    Parameters
    ----------
    width : int
        Largest number of requests in a batch.
    models : list of str
        Names of the models that it serves.
    cache : PrefixCache
        Prompt prefixes that need no prefill.
    controls : Controls
        Faults and request log.
    clock : Clock
        The process's clock.
    """

    def __init__(
        self,
        *,
        width: int,
        models: list[str],
        cache: PrefixCache,
        controls: Controls,
        clock: Clock,
    ):
        self.width = width
        self.models = models
        self.cache = cache
        self.controls = controls
        self.clock = clock
        self.requests: dict[str, EngineRequest] = {}
        self.waiting: list[EngineRequest] = []
        self.running: list[EngineRequest] = []
        self.has_work = asyncio.Event()
        self.load = History(initial=self.current_load(0), clock=clock)

    def now(self) -> float:
        """Return the time in Unix seconds."""
        return self.clock().timestamp()

    def current_load(self, tokens_per_s: float) -> LoadReport:
        """Return the current load, with a given decode rate."""
        return LoadReport(
            running=len(self.running),
            waiting=len(self.waiting),
            width=self.width,
            tokens_per_s=tokens_per_s,
        )

    def submit(
        self,
        *,
        request_id: str,
        mark: str,
        priority: int,
        tokens: list[str],
        blocks: list[bytes],
    ) -> EngineRequest:
        """Queue a new request and add it to the log.

        Parameters
        ----------
        request_id : str
            Identity of the request, unique among those in the engine.
        mark : str
            Label for the log.
        priority : int
            Priority; lower values run first.
        tokens : list of str
            Every token of the answer.
        blocks : list of bytes
            Digests of the prompt's prefixes that end at a block boundary.
        """
        execution = Execution(mark=mark, request_id=request_id)
        self.controls.log.append(execution)
        request = EngineRequest(
            number=len(self.controls.log),
            priority=priority,
            tokens=tokens,
            blocks=blocks,
            execution=execution,
        )
        self.requests[request_id] = request
        self.enqueue(request)
        return request

    def enqueue(self, request: EngineRequest) -> None:
        """Insert a request into the queue by its priority and arrival."""
        self.waiting.append(request)
        self.waiting.sort(key=EngineRequest.queue_key)
        self.has_work.set()

    def dequeue(self, request: EngineRequest) -> None:
        """Remove a request from the batch or the queue, if it is in one."""
        for requests in (self.running, self.waiting):
            if request in requests:
                requests.remove(request)

    def pause(self, request: EngineRequest) -> None:
        """Free a request's slot in the batch and keep its state."""
        self.dequeue(request)

    def resume(self, request: EngineRequest) -> None:
        """Queue a paused request again; others are unchanged."""
        if request not in self.running and request not in self.waiting:
            self.enqueue(request)

    def cancel(self, request: EngineRequest) -> None:
        """End a request as cancelled, unless it has already ended."""
        if request.execution.request_id in self.requests:
            request.execution.cancelled = True
            self.end(request, FinishReason.CANCELLED)

    def end(self, request: EngineRequest, finish_reason: FinishReason) -> None:
        """Remove a request from the engine and end its answer."""
        self.dequeue(request)
        del self.requests[request.execution.request_id]
        request.execution.finished = self.now()
        request.answer.put_nowait(finish_reason)

    def fill_batch(self) -> float:
        """Admit waiting requests while slots are free.

        Returns
        -------
        float
            Time of their prefill, in seconds.
        """
        seconds = 0.0
        while self.waiting and len(self.running) < self.width:
            request = self.waiting.pop(0)
            self.running.append(request)
            if not request.is_prefilled:
                seconds += self.prefill(request)
        return seconds

    def prefill(self, request: EngineRequest) -> float:
        """Prefill a request's prompt and return the time it takes, in seconds."""
        request.is_prefilled = True
        request.execution.started = self.now()
        request.cached_tokens = self.cache.match_and_insert(request.blocks)
        return prefill_seconds(request.prompt_tokens, request.cached_tokens)

    def generate(self) -> None:
        """Generate the next token of each request of the batch."""
        for request in list(self.running):
            text = request.tokens[request.execution.tokens]
            request.execution.tokens += 1
            request.answer.put_nowait(Token(text=text))
            if request.execution.tokens == len(request.tokens):
                self.end(request, FinishReason.STOP)

    def report(self, tokens_per_s: float) -> None:
        """Record the load if it has changed."""
        load = self.current_load(tokens_per_s)
        if load != self.load.latest():
            self.load.record(load)

    async def run(self) -> None:
        """Run steps while requests are waiting or running, and wait for them otherwise.

        The average step time is accurate: if the loop wakes late from one step, it
        sleeps less in the next ones.  Delays above `CATCH_UP_SECONDS` are not made up.
        """
        loop = asyncio.get_running_loop()
        step_end = loop.time()
        while True:
            prefill_time = self.fill_batch()
            if not self.running:
                self.report(0)
                self.has_work.clear()
                await self.has_work.wait()
                step_end = loop.time()
                continue
            batch = len(self.running)
            seconds = (step_seconds(batch) + prefill_time) * self.controls.faults.slow
            self.report(batch / seconds)
            step_end = max(step_end + seconds, loop.time() - CATCH_UP_SECONDS)
            await asyncio.sleep(step_end - loop.time())
            self.generate()
