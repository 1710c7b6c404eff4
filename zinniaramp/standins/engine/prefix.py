"""Prefix cache of the engine stand-in."""

import hashlib
import json
from collections import OrderedDict

__all__ = ["PrefixCache", "prompt_blocks"]

TOKEN_BYTES = 4
"""Bytes of prompt text, which is ASCII, that count as one token."""

BLOCK_TOKENS = 16
"""Number of tokens in one cached block."""


def prompt_blocks(messages: list[dict]) -> list[bytes]:
    """Return one digest for each prefix of a prompt that ends at a block boundary.

    Each digest covers its block and all blocks before it, so a block is found in the
    cache only after the same prefix.

    Parameters
    ----------
    messages : list of dict
        ``messages`` of a chat request.
    """
    text = "".join(json.dumps(message, sort_keys=True) for message in messages)
    size = BLOCK_TOKENS * TOKEN_BYTES
    running = hashlib.sha256()
    digests = []
    for start in range(0, len(text), size):
        running.update(text[start : start + size].encode())
        digests.append(running.digest())
    return digests


class PrefixCache:
    """Simulates the KV cache with least-recently-used eviction of blocks.

    Parameters
    ----------
    capacity : int
        Largest number of cached blocks.
    """

    def __init__(self, *, capacity: int):
        self.capacity = capacity
        self.blocks: OrderedDict[bytes, None] = OrderedDict()

    def match_and_insert(self, blocks: list[bytes]) -> int:
        """Count the cached leading blocks of a prompt, then cache all its blocks.

        Parameters
        ----------
        blocks : list of bytes
            Digests of the prompt's blocks, from `prompt_blocks`.

        Returns
        -------
        int
            Tokens of the cached leading blocks, which need no prefill.
        """
        hits = 0
        for block in blocks:
            if block not in self.blocks:
                break
            hits += 1
        for block in blocks:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)
        return hits * BLOCK_TOKENS
