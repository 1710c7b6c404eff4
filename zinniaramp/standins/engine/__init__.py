"""Stand-in for a model engine with continuous batching."""

from .speed import prefill_seconds, step_seconds, tokens_per_second

__all__ = ["prefill_seconds", "step_seconds", "tokens_per_second"]
