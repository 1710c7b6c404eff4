"""Engine of a model server's stand-in: batches, and the prompt parts that it keeps."""

import hashlib

from ...clock import monotonic_clock
from ...placement import PromptSegment
from ..engine.core import Engine, EngineRequest
from ..engine.prefix import BLOCK_TOKENS, PrefixCache
from ..serving import Controls

__all__ = ["PartEngine", "read_parts"]

DEFAULT_URGENCY = 5
"""Level of a request that names none."""

CACHE_BLOCKS = 4096
"""Blocks of prompt memory; some 65,000 tokens."""


def read_parts(text: str) -> list[PromptSegment]:
    """Return the parts of a prompt, from the header that lists them."""
    pairs = [one.strip().partition(":") for one in text.split(",") if one.strip()]
    return [PromptSegment(name=name, tokens=int(tokens)) for name, _, tokens in pairs]


def _part_blocks(running: "hashlib._Hash", part: PromptSegment) -> list[bytes]:
    blocks = []
    for _ in range(-(-part.tokens // BLOCK_TOKENS)):
        running.update(part.name.encode())
        blocks.append(running.digest())
    return blocks


class PartEngine:
    """Runs requests in batches and keeps the parts of their prompts.

    Parameters
    ----------
    model : str
        Model that it serves.
    slots : int
        Requests in a batch at most.

    Attributes
    ----------
    last_blocks : dict
        Last block of each part that was read, which the cache may have dropped.
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

    def take(
        self,
        *,
        request_id: str,
        urgency: str | None,
        parts: list[PromptSegment],
        events: list[str],
    ) -> EngineRequest:
        """Queue a request that makes some events."""
        running = hashlib.sha256()
        blocks = []
        for part in parts:
            blocks += _part_blocks(running, part)
            if blocks:
                self.last_blocks[part] = blocks[-1]
        return self.engine.take(
            request_id=request_id,
            mark=request_id,
            priority=int(urgency or DEFAULT_URGENCY),
            tokens=events,
            blocks=blocks,
        )

    def list_held(self) -> dict:
        """Return the body of ``GET /kv-list``."""
        cached = self.engine.cache.blocks
        held = [
            ["", part.name, part.tokens, self.model]
            for part, block in self.last_blocks.items()
            if block in cached
        ]
        return {"epoch": 1, "next": len(held), "held": held}

    def report(self) -> dict:
        """Return the body of ``GET /report``."""
        load = self.engine.current_load(0)
        used = sum(one.prompt_tokens for one in self.engine.running)
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
