"""Metrics of the placement."""

from prometheus_client import Counter

__all__ = ["SPEED_CHANGES"]

SPEED_CHANGES = Counter(
    "zinniaramp_placement_speed_changes",
    "Changes of an engine's estimated speed by 1.3 times or more, by service.",
    ["service"],
)
