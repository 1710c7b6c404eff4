"""Engine of a model server's stand-in, with batches and cached prompt segments."""

import hashlib

from ...clock import monotonic_clock
from ...placement import PromptSegment
from ..engine.core import Engine, EngineRequest
from ..engine.prefix import BLOCK_TOKENS, PrefixCache
from ..serving import Controls

__all__ = ["SegmentEngine", "parse_segments"]

DEFAULT_URGENCY = 5
"""Urgency level of a request without one."""

CACHE_BLOCKS = 4096
"""Capacity of the KV cache, in blocks; about 65,000 tokens."""


def parse_segments(text: str) -> list[PromptSegment]:
    """Parse a ``Zinniaramp-Prefix-Hash`` header, comma-separated ``NAME:TOKENS``."""
    pairs = [item.strip().partition(":") for item in text.split(",") if item.strip()]
    return [PromptSegment(name=name, tokens=int(tokens)) for name, _, tokens in pairs]


def _segment_blocks(running: "hashlib._Hash", segment: PromptSegment) -> list[bytes]:
    """Return the digests of a segment's blocks, and add them to the running hash."""
    blocks = []
    for _ in range(-(-segment.tokens // BLOCK_TOKENS)):
        running.update(segment.name.encode())
        blocks.append(running.digest())
    return blocks


class SegmentEngine:
    """Runs requests in batches and caches the segments of their prompts.

    Parameters
    ----------
    model : str
        Name of the served model.
    slots : int
        Largest number of requests in a batch.

    Attributes
    ----------
    last_blocks : dict
        Last block of each submitted segment.  The segment is cached while the cache
        contains this block.
    """

    __slots__ = ("model", "engine", "last_blocks")

    def __init__(self, *, model: str, slots: int):
        self.model = model
        self.engine = Engine(
            width=slots,
            models=[model],
            cache=PrefixCache(capacity=CACHE_BLOCKS),
            controls=Controls(),
            clock=monotonic_clock(),
        )
        self.last_blocks: dict[PromptSegment, bytes] = {}

    def submit(
        self,
        *,
        request_id: str,
        urgency: str | None,
        parts: list[PromptSegment],
        events: list[str],
    ) -> EngineRequest:
        """Queue a request.

        Parameters
        ----------
        request_id : str
            Identity of the request, also its label in the log.
        urgency : str or None
            Urgency level, which becomes the engine's priority; None for the default.
        parts : list of PromptSegment
            Segments of the prompt.
        events : list of str
            Events of the answer, one per output token.
        """
        running = hashlib.sha256()
        blocks = []
        for segment in parts:
            blocks += _segment_blocks(running, segment)
            if blocks:
                self.last_blocks[segment] = blocks[-1]
        return self.engine.submit(
            request_id=request_id,
            mark=request_id,
            priority=int(urgency or DEFAULT_URGENCY),
            tokens=events,
            blocks=blocks,
        )

    def list_cached(self) -> dict:
        """Return the body of ``GET /kv-list``, the list of cached segments."""
        cached = self.engine.cache.blocks
        held = [
            ["", segment.name, segment.tokens, self.model]
            for segment, block in self.last_blocks.items()
            if block in cached
        ]
        return {"epoch": 1, "next": len(held), "held": held}

    def report(self) -> dict:
        """Return the body of ``GET /report``, the engine's load and capacity."""
        load = self.engine.current_load(0)
        used = sum(request.prompt_tokens for request in self.engine.running)
        return {
            "stage": "both",
            "models": [{"name": self.model, "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": load.waiting,
            "running": load.running,
            "kv_used": used,
            "kv_total": CACHE_BLOCKS * BLOCK_TOKENS,
            "kv_handles": 0,
        }
