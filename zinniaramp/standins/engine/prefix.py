"""Prefix cache of the engine stand-in."""

import hashlib
import json
from collections import OrderedDict

__all__ = ["PrefixCache", "prompt_blocks"]

TOKEN_BYTES = 4
"""Bytes of prompt text that count as one token."""

BLOCK_TOKENS = 16
"""Tokens of one cached block."""


def prompt_blocks(messages: list[dict]) -> list[bytes]:
    """Return one digest for each prefix of a prompt that ends at a block.

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
    """The least recently used blocks go first when the cache is full.

    Parameters
    ----------
    capacity : int
        Blocks that the cache holds.
    """

    def __init__(self, *, capacity: int):
        self.capacity = capacity
        self.blocks: OrderedDict[bytes, None] = OrderedDict()

    def use(self, blocks: list[bytes]) -> int:
        """Count the leading blocks that are cached, then cache all of them.

        Parameters
        ----------
        blocks : list of bytes
            A prompt's blocks, from `prompt_blocks`.

        Returns
        -------
        int
            Tokens that need not be read again.
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
