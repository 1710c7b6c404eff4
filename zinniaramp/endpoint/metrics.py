"""Prometheus metrics of the endpoint process."""

from prometheus_client import Counter, Gauge

__all__ = ["PLACEMENTS", "QUEUE_LENGTH", "TOKENS_GENERATED", "TOKENS_WASTED"]

TOKENS_GENERATED = Counter(
    "zinniaramp_tokens_generated_total",
    "Tokens that the engine has generated.",
    ["class"],
)
TOKENS_WASTED = Counter(
    "zinniaramp_tokens_wasted_total",
    "Tokens of attempts that ended without a complete answer.",
    ["class"],
)
QUEUE_LENGTH = Gauge(
    "zinniaramp_queue_length", "Attempts that wait for a slot.", ["class"]
)
PLACEMENTS = Counter(
    "zinniaramp_placements_total",
    "Placement decisions.",
    ["class", "decision", "reason"],
)
