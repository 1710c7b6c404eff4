"""Step-time law of model engines: how long prefill and decode steps take."""

from dataclasses import dataclass

__all__ = ["DEFAULT_LAW", "EngineLaw", "EngineTraits"]

GAP_SHARE = 0.55
"""Share of a gap target that uninterrupted prefill may take.  The rest is for decode
steps, for prompts that arrive meanwhile and for the network."""

SAFE_SHARE = 0.7
"""Share of a gap target below which an event meets it even if each of its steps has a
chunk.  Steps beside long prompts take longer than the law says."""


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineTraits:
    """Published properties of the engines of one service.

    Parameters
    ----------
    service : str
        Name of the service; its engines follow one law.
    kv_capacity_tokens : int
        Capacity of one engine's KV cache, in tokens.
    slots : int
        Requests in one batch; 0 if unknown.
    tokens_per_event : int
        Tokens in one event of a stream, each of which takes one step; 0 if unknown.
    """

    service: str
    kv_capacity_tokens: int
    slots: int = 0
    tokens_per_event: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineLaw:
    """Parameters of the step time of an engine, in milliseconds and tokens.

    Parameters
    ----------
    prefill_tokens_per_ms : float
        Effective prefill rate of prompts of the usual sizes, including the decode steps
        that run between two chunks.
    overhead_ms : float
        Part of the time to first token that does not depend on the prompt.
    decode_ms : float
        Time of a decode step of a single stream.
    decode_ms_per_stream : float
        Additional time of a decode step for each stream in the batch.
    chunk_tokens : float
        Prompt tokens that are prefilled in one step.
    """

    prefill_tokens_per_ms: float
    overhead_ms: float
    decode_ms: float
    decode_ms_per_stream: float
    chunk_tokens: float

    def prefill_ms(self, tokens: float) -> float:
        """Return the time to prefill a number of prompt tokens."""
        return tokens / self.prefill_tokens_per_ms

    def step_ms(self, streams: int) -> float:
        """Return the time of a decode step of some streams, without prefill."""
        return self.decode_ms + self.decode_ms_per_stream * streams

    def stall_limit_ms(
        self, gap_target_ms: float, tokens_per_event: int
    ) -> float | None:
        """Return how much prefill may run without a pause beside a stream.

        Parameters
        ----------
        gap_target_ms : float
            Longest acceptable gap between two events of the stream; 0 if there is no
            target.
        tokens_per_event : int
            Tokens in one event; 0 if unknown.

        Returns
        -------
        float or None
            None if there is no limit: the stream has no target, the size of its events
            is unknown, or the target is met even if each step of an event has a chunk.
        """
        step_ms = self.prefill_ms(self.chunk_tokens) + self.decode_ms
        if (
            not gap_target_ms
            or tokens_per_event * step_ms <= SAFE_SHARE * gap_target_ms
        ):
            return None
        return GAP_SHARE * gap_target_ms


DEFAULT_LAW = EngineLaw(
    prefill_tokens_per_ms=50.0,
    overhead_ms=15.0,
    decode_ms=6.0,
    decode_ms_per_stream=0.1,
    chunk_tokens=4096.0,
)
"""Law that is assumed until an engine's answers show another one; that of the largest
models on current accelerators, from the platform's specifications."""
