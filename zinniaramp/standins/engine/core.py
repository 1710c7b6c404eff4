"""State of the engine stand-in and its step loop."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from ...clock import Clock
from ..history import History
from ..serving import Controls, Execution
from .prefix import BLOCK_TOKENS, PrefixCache
from .speed import prefill_seconds, step_seconds

__all__ = ["Engine", "EngineRequest", "Ending", "LoadReport", "Token"]

CATCH_UP_SECONDS = 0.1
"""Longest delay of the step loop that later steps make up for, in seconds."""


class Ending(StrEnum):
    """How an answer ended."""

    STOP = "stop"
    CANCELLED = "cancelled"


@dataclass(slots=True, kw_only=True, frozen=True)
class Token:
    """One token of an answer."""

    text: str


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadReport:
    """How busy the engine is."""

    running: int
    waiting: int
    width: int
    tokens_per_s: float


@dataclass(slots=True, kw_only=True, eq=False)
class EngineRequest:
    """A request that the engine has taken and not ended."""

    number: int
    priority: int
    tokens: list[str]
    blocks: list[bytes]
    execution: Execution
    cached_tokens: int = 0
    is_prefilled: bool = False
    answer: asyncio.Queue[Token | Ending] = field(default_factory=asyncio.Queue)

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt in tokens."""
        return len(self.blocks) * BLOCK_TOKENS

    def rank(self) -> tuple[int, int]:
        """Return the sort key of the waiting queue."""
        return self.priority, self.number


class Engine:
    """Batches continuously: requests join and leave the batch between steps.

    Parameters
    ----------
    width : int
        Requests in a batch at most.
    models : list of str
        Models that it serves.
    cache : PrefixCache
        Prompt prefixes that need not be read again.
    controls : Controls
        Faults and log.
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
        self.work = asyncio.Event()
        self.load = History(initial=self.current_load(0), clock=clock)

    def now(self) -> float:
        """Return the time in Unix seconds."""
        return self.clock().timestamp()

    def current_load(self, tokens_per_s: float) -> LoadReport:
        """Return how busy the engine is now."""
        return LoadReport(
            running=len(self.running),
            waiting=len(self.waiting),
            width=self.width,
            tokens_per_s=tokens_per_s,
        )

    def take(
        self,
        *,
        request_id: str,
        mark: str,
        priority: int,
        tokens: list[str],
        blocks: list[bytes],
    ) -> EngineRequest:
        """Queue a new request; `blocks` are its prompt's, each with all before it."""
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
        self.queue(request)
        return request

    def queue(self, request: EngineRequest) -> None:
        """Put a request where its priority and its arrival place it."""
        self.waiting.append(request)
        self.waiting.sort(key=EngineRequest.rank)
        self.work.set()

    def release(self, request: EngineRequest) -> None:
        """Take a request out of the batch or the queue."""
        for place in (self.running, self.waiting):
            if request in place:
                place.remove(request)

    def pause(self, request: EngineRequest) -> None:
        """Free a request's slot and retain its state."""
        self.release(request)

    def resume(self, request: EngineRequest) -> None:
        """Queue a paused request again; any other stays as it is."""
        if request not in self.running and request not in self.waiting:
            self.queue(request)

    def cancel(self, request: EngineRequest) -> None:
        """End a request that has not ended."""
        if request.execution.request_id in self.requests:
            request.execution.cancelled = True
            self.end(request, Ending.CANCELLED)

    def end(self, request: EngineRequest, ending: Ending) -> None:
        """Forget a request and close its answer."""
        self.release(request)
        del self.requests[request.execution.request_id]
        request.execution.finished = self.now()
        request.answer.put_nowait(ending)

    def fill_batch(self) -> float:
        """Admit waiting requests and return the time to read their prompts."""
        seconds = 0.0
        while self.waiting and len(self.running) < self.width:
            request = self.waiting.pop(0)
            self.running.append(request)
            if not request.is_prefilled:
                seconds += self.prefill(request)
        return seconds

    def prefill(self, request: EngineRequest) -> float:
        """Read a request's prompt and return the time that this takes."""
        request.is_prefilled = True
        request.execution.started = self.now()
        request.cached_tokens = self.cache.use(request.blocks)
        return prefill_seconds(request.prompt_tokens, request.cached_tokens)

    def generate(self) -> None:
        """Give each request of the batch its next token."""
        for request in list(self.running):
            text = request.tokens[request.execution.tokens]
            request.execution.tokens += 1
            request.answer.put_nowait(Token(text=text))
            if request.execution.tokens == len(request.tokens):
                self.end(request, Ending.STOP)

    def report(self, tokens_per_s: float) -> None:
        """Note how busy the engine is, if that has changed."""
        load = self.current_load(tokens_per_s)
        if load != self.load.latest():
            self.load.record(load)

    async def run(self) -> None:
        """Run steps for as long as there is work."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            prefill = self.fill_batch()
            if not self.running:
                self.report(0)
                self.work.clear()
                await self.work.wait()
                due = loop.time()
                continue
            batch = len(self.running)
            seconds = (step_seconds(batch) + prefill) * self.controls.faults.slow
            self.report(batch / seconds)
            due = max(due + seconds, loop.time() - CATCH_UP_SECONDS)
            await asyncio.sleep(due - loop.time())
            self.generate()
