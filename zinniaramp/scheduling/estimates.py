"""Estimates of output length and of engine speed, from observed tokens only."""

import math
from array import array

__all__ = ["LengthEstimates", "LengthSketch", "SpeedEstimate"]

BUCKETS_PER_OCTAVE = 2
"""Buckets for each doubling of the length."""

BUCKETS = 40
"""Buckets of a sketch; the last begins at 2**19.5 tokens."""

MAX_MASS = 256.0
"""Observations after which a sketch halves its counts, so that old ones fade."""

MIN_MASS = 8.0
"""Observations from which on a sketch is used rather than a coarser one."""

DEFAULT_TOKENS = 256
"""Assumed output length before anything has been observed."""

MAX_SKETCHES = 8192
"""Sketches held at most; 8 classes of 580 workspaces need 4640."""

LENGTH_QUANTILE = 0.75
"""Quantile of the output length by which waits are predicted."""

SPEED_MEMORY_S = 1.0
"""Time constant in seconds with which observations of speed fade."""

DEFAULT_TOKENS_PER_S = 20.0
"""Assumed speed of one slot before anything has been observed."""

MIN_TOKENS_PER_S = 0.01
"""Lowest speed of one slot that is assumed, so that predictions stay finite."""

DEFAULT_FIRST_TOKEN_S = 0.2
"""Assumed time from start to first token before anything has been observed."""

FIRST_TOKEN_GAIN = 0.25
"""Weight of the newest observation of the time to the first token."""


def _bucket_of(tokens: int) -> int:
    return min(BUCKETS - 1, int(BUCKETS_PER_OCTAVE * math.log2(max(1, tokens))))


UPPER_EDGES = [2 ** ((index + 1) / BUCKETS_PER_OCTAVE) for index in range(BUCKETS)]
"""Upper edges of the buckets, in tokens."""


class LengthSketch:
    """Quantiles of output lengths in 40 logarithmic buckets that fade."""

    __slots__ = ("counts", "mass")

    def __init__(self):
        self.counts = array("f", bytes(4 * BUCKETS))
        self.mass = 0.0

    def add(self, tokens: int) -> None:
        """Add the length of one finished answer."""
        self.counts[_bucket_of(tokens)] += 1
        self.mass += 1
        if self.mass > MAX_MASS:
            self.counts = array("f", (count / 2 for count in self.counts))
            self.mass /= 2

    def remaining(self, generated: int, quantile: float) -> float:
        """Return a quantile of the tokens to come after those generated.

        Notes
        -----
        Beyond every observed length the answer is assumed to double, which is
        what a heavy tail does.
        """
        first = 0 if generated == 0 else _bucket_of(generated) + 1
        tail = sum(self.counts[first:])
        if tail < 1e-6:
            return float(max(1, generated))
        passed = 0.0
        for index in range(first, BUCKETS):
            passed += self.counts[index]
            if passed >= quantile * tail:
                return max(1.0, UPPER_EDGES[index] - generated)
        return max(1.0, UPPER_EDGES[-1] - generated)


class LengthEstimates:
    """Sketches for each class and for each class and workspace.

    Notes
    -----
    The least recently created sketch is dropped when there are too many; its
    workspace falls back on its class until it is learnt again.
    """

    def __init__(self):
        self.by_class: dict[str, LengthSketch] = {}
        self.by_workspace: dict[str, dict[str, LengthSketch]] = {}
        self.size = 0

    def add(self, class_name: str, workspace: str, tokens: int) -> None:
        """Add the length of one finished answer."""
        self.by_class.setdefault(class_name, LengthSketch()).add(tokens)
        sketches = self.by_workspace.setdefault(class_name, {})
        if workspace not in sketches:
            self._make_room()
            sketches[workspace] = LengthSketch()
            self.size += 1
        sketches[workspace].add(tokens)

    def _make_room(self) -> None:
        if self.size < MAX_SKETCHES:
            return
        largest = max(self.by_workspace.values(), key=len)
        largest.pop(next(iter(largest)))
        self.size -= 1

    def remaining(
        self,
        class_name: str,
        workspace: str,
        generated: int = 0,
        quantile: float = LENGTH_QUANTILE,
    ) -> float:
        """Return a quantile of the tokens still to come."""
        sketch = self.by_workspace.get(class_name, {}).get(workspace)
        if sketch is None or sketch.mass < MIN_MASS:
            sketch = self.by_class.get(class_name)
        if sketch is None or sketch.mass < MIN_MASS:
            return float(max(DEFAULT_TOKENS - generated, generated, 1))
        return sketch.remaining(generated, quantile)


class SpeedEstimate:
    """Speed of one slot, and the time from start to first token.

    Notes
    -----
    Tokens and the slot-seconds in which they were generated both fade with the
    same time constant; their ratio is the speed.  Slots that generate nothing
    still add slot-seconds, so silence lowers the estimate too.
    """

    def __init__(self):
        self.slot_seconds = 0.5
        self.tokens = self.slot_seconds * DEFAULT_TOKENS_PER_S
        self.generating = 0
        self.updated_at: float | None = None
        self.first_token_s = DEFAULT_FIRST_TOKEN_S

    def advance(self, now: float) -> None:
        """Account for the time since the last call."""
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        if self.generating == 0 or elapsed <= 0:
            return
        kept = math.exp(-elapsed / SPEED_MEMORY_S)
        self.tokens *= kept
        self.slot_seconds *= kept
        self.slot_seconds += self.generating * SPEED_MEMORY_S * (1 - kept)

    def add_tokens(self, count: int) -> None:
        """Account for tokens generated now."""
        self.tokens += count

    def add_first_token(self, seconds: float) -> None:
        """Account for one observed time from start to first token."""
        self.first_token_s += FIRST_TOKEN_GAIN * (seconds - self.first_token_s)

    def tokens_per_s(self) -> float:
        """Return the speed of one slot."""
        if self.slot_seconds <= 0:
            return DEFAULT_TOKENS_PER_S
        return max(MIN_TOKENS_PER_S, self.tokens / self.slot_seconds)
