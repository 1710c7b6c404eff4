"""Estimates of output length and engine speed, from observed tokens only."""

import math
from array import array

__all__ = ["LengthEstimates", "LengthSketch", "SpeedEstimate"]

BUCKETS_PER_OCTAVE = 2
"""Number of buckets per doubling of the length."""

BUCKETS = 40
"""Number of buckets of a sketch; the last begins at 2**19.5 tokens."""

MAX_OBSERVATIONS = 256.0
"""Observations above which a sketch halves its counts to discount old ones."""

MIN_OBSERVATIONS = 8.0
"""Minimum observations of a sketch; below, a coarser estimate is used."""

DEFAULT_TOKENS = 256
"""Assumed output length before anything has been observed."""

MAX_SKETCHES = 8192
"""Maximum number of workspace sketches; 8 classes x 580 workspaces need 4640."""

LENGTH_QUANTILE = 0.75
"""Quantile of the output length that is used to predict waits."""

SPEED_TIME_CONSTANT_S = 1.0
"""Time constant in seconds of the decay of speed observations."""

DEFAULT_TOKENS_PER_S = 20.0
"""Assumed decode speed of one slot before anything has been observed."""

MIN_TOKENS_PER_S = 0.01
"""Lower bound of the estimated speed of one slot; keeps predictions finite."""

DEFAULT_FIRST_TOKEN_S = 0.2
"""Assumed time from start to first token before anything has been observed."""

FIRST_TOKEN_GAIN = 0.25
"""Weight of a new observation in the moving average of the time to first token."""


def _bucket_of(tokens: int) -> int:
    return min(BUCKETS - 1, int(BUCKETS_PER_OCTAVE * math.log2(max(1, tokens))))


UPPER_EDGES = [2 ** ((index + 1) / BUCKETS_PER_OCTAVE) for index in range(BUCKETS)]
"""Upper bounds of the buckets, in tokens."""


class LengthSketch:
    """Quantile sketch of output lengths: decaying, with 40 logarithmic buckets."""

    __slots__ = ("counts", "observations")

    def __init__(self):
        self.counts = array("f", bytes(4 * BUCKETS))
        self.observations = 0.0

    def add(self, tokens: int) -> None:
        """Add the length of one finished answer."""
        self.counts[_bucket_of(tokens)] += 1
        self.observations += 1
        if self.observations > MAX_OBSERVATIONS:
            self.counts = array("f", (count / 2 for count in self.counts))
            self.observations /= 2

    def remaining(self, generated: int, quantile: float) -> float:
        """Return a quantile of the tokens still to be generated.

        Notes
        -----
        An answer that is longer than every observed length is assumed to double,
        as in a heavy-tailed distribution.
        """
        first_bucket = 0 if generated == 0 else _bucket_of(generated) + 1
        tail_count = sum(self.counts[first_bucket:])
        if tail_count < 1e-6:
            return float(max(1, generated))
        cumulative_count = 0.0
        for index in range(first_bucket, BUCKETS):
            cumulative_count += self.counts[index]
            if cumulative_count >= quantile * tail_count:
                return max(1.0, UPPER_EDGES[index] - generated)
        return max(1.0, UPPER_EDGES[-1] - generated)


class LengthEstimates:
    """Estimates of output length per class and per class and workspace.

    Notes
    -----
    At `MAX_SKETCHES` the oldest workspace sketch of the class with the most
    sketches is evicted.  Its workspace then uses the sketch of the class until it
    has enough observations again.
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
            self._evict_if_full()
            sketches[workspace] = LengthSketch()
            self.size += 1
        sketches[workspace].add(tokens)

    def _evict_if_full(self) -> None:
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
        """Return a quantile of the tokens still to be generated.

        Uses the sketch of the workspace if it has enough observations, otherwise
        that of the class, otherwise `DEFAULT_TOKENS`.
        """
        sketch = self.by_workspace.get(class_name, {}).get(workspace)
        if sketch is None or sketch.observations < MIN_OBSERVATIONS:
            sketch = self.by_class.get(class_name)
        if sketch is None or sketch.observations < MIN_OBSERVATIONS:
            return float(max(DEFAULT_TOKENS - generated, generated, 1))
        return sketch.remaining(generated, quantile)


class SpeedEstimate:
    """Estimates of the speed of one slot and of the time to first token.

    Notes
    -----
    Tokens and the slot-seconds in which they were generated decay with the same
    time constant; their ratio is the speed.  A stalled slot still adds
    slot-seconds, so a stall lowers the estimate too.

    Attributes
    ----------
    generating : int
        Number of running jobs that have generated a token.
    """

    def __init__(self):
        self.slot_seconds = 0.5
        self.tokens = self.slot_seconds * DEFAULT_TOKENS_PER_S
        self.generating = 0
        self.updated_at: float | None = None
        self.first_token_s = DEFAULT_FIRST_TOKEN_S

    def advance(self, now: float) -> None:
        """Decay the observations and add the slot-seconds since the last call."""
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        if self.generating == 0 or elapsed <= 0:
            return
        decay = math.exp(-elapsed / SPEED_TIME_CONSTANT_S)
        self.tokens *= decay
        self.slot_seconds *= decay
        self.slot_seconds += self.generating * SPEED_TIME_CONSTANT_S * (1 - decay)

    def add_tokens(self, count: int) -> None:
        """Add tokens that were generated now, over all slots."""
        self.tokens += count

    def add_first_token(self, seconds: float) -> None:
        """Add one observed time from the start of a job to its first token."""
        self.first_token_s += FIRST_TOKEN_GAIN * (seconds - self.first_token_s)

    def tokens_per_s(self) -> float:
        """Return the estimated tokens per second of one slot."""
        if self.slot_seconds <= 0:
            return DEFAULT_TOKENS_PER_S
        return max(MIN_TOKENS_PER_S, self.tokens / self.slot_seconds)
