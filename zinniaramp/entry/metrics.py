"""Metrics of the entry process."""

from datetime import timedelta

from prometheus_client import Counter, Histogram

from ..declarations import ClassDeclaration

__all__ = [
    "FIRST_TOKEN",
    "REQUESTS",
    "TARGETS",
    "TOKENS_DELIVERED",
    "Timeline",
]

REQUESTS = Counter(
    "zinniaramp_requests",
    "Requests that were given their final outcome.",
    ["class", "outcome", "reason"],
)
FIRST_TOKEN = Histogram(
    "zinniaramp_first_token_seconds",
    "Time from arrival to the first token.",
    ["class"],
    buckets=(0.05, 0.1, 0.2, 0.31, 0.5, 0.75, 1, 2, 5, 10, 30, 60, 300),
)
TARGETS = Counter(
    "zinniaramp_target",
    "Latency targets that were attained or missed.",
    ["class", "target", "attained"],
)
TOKENS_DELIVERED = Counter(
    "zinniaramp_tokens_delivered",
    "Tokens that were handed to callers.",
    ["class"],
)
GOOD_TOKENS = Counter(
    "zinniaramp_good_tokens",
    "Tokens of whole answers that met their first-token and finish targets.",
    ["class"],
)


class Timeline:
    """When the tokens of one answer came, against its class's targets.

    Parameters
    ----------
    class_declaration : ClassDeclaration
        Targets.

    Notes
    -----
    An answer without tokens, as plain services give, has its first token when
    it is whole.
    """

    __slots__ = (
        "declared",
        "between",
        "first_s",
        "last_s",
        "tokens",
        "gaps",
        "late_gaps",
    )

    def __init__(self, *, class_declaration: ClassDeclaration):
        self.declared = class_declaration
        self.between = class_declaration.between_tokens.total_seconds()
        self.first_s: float | None = None
        self.last_s = 0.0
        self.tokens = 0
        self.gaps = 0
        self.late_gaps = 0

    def add(self, at_s: float, tokens: int) -> None:
        """Note that tokens came, in seconds since the request's arrival."""
        self.tokens += tokens
        if self.first_s is None:
            self.first_s = at_s
        else:
            self.gaps += 1
            self.late_gaps += at_s - self.last_s > self.between * tokens
        self.last_s = at_s

    def record(self, *, outcome: str, reason: str, took: timedelta) -> None:
        """Count the request in the metrics."""
        name = self.declared.name
        REQUESTS.labels(name, outcome, reason).inc()
        is_done = outcome == "done"
        if self.first_s is None and is_done:
            self.first_s = took.total_seconds()
        if self.first_s is not None:
            FIRST_TOKEN.labels(name).observe(self.first_s)
        target_s = self.declared.first_token.total_seconds()
        is_first = self.first_s is not None and self.first_s <= target_s
        is_in_time = is_done and took <= self.declared.finish
        self._count("first_token", is_first, 1)
        self._count("finish", is_in_time, 1)
        self._count("between_tokens", True, self.gaps - self.late_gaps)
        self._count("between_tokens", False, self.late_gaps)
        TOKENS_DELIVERED.labels(name).inc(self.tokens)
        GOOD_TOKENS.labels(name).inc(self.tokens if is_first and is_in_time else 0)

    def _count(self, target: str, is_attained: bool, number: int) -> None:
        attained = "true" if is_attained else "false"
        TARGETS.labels(self.declared.name, target, attained).inc(number)
