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
    "Requests that ended, by outcome.",
    ["class", "outcome", "reason"],
)
FIRST_TOKEN = Histogram(
    "zinniaramp_first_token_seconds",
    "Time from arrival to the first token, in seconds.",
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
    "Tokens that were delivered to callers.",
    ["class"],
)
GOOD_TOKENS = Counter(
    "zinniaramp_good_tokens",
    "Tokens of complete answers that met the first-token and finish targets.",
    ["class"],
)


class Timeline:
    """Records the token times of one answer and compares them with the targets.

    Parameters
    ----------
    class_declaration : ClassDeclaration
        The request's class, with its latency targets.

    Attributes
    ----------
    first_token_s, last_token_s : float
        Time from arrival to the first and latest tokens, in seconds.
    tokens : int
        Tokens so far.
    gaps, late_gaps : int
        Inter-token gaps so far, and those that exceeded the target.

    Notes
    -----
    The first token of an answer without tokens, such as that of a plain service,
    counts as received when the answer is complete.
    """

    __slots__ = (
        "declaration",
        "inter_token_target_s",
        "first_token_s",
        "last_token_s",
        "tokens",
        "gaps",
        "late_gaps",
    )

    def __init__(self, *, class_declaration: ClassDeclaration):
        self.declaration = class_declaration
        self.inter_token_target_s = class_declaration.between_tokens.total_seconds()
        self.first_token_s: float | None = None
        self.last_token_s = 0.0
        self.tokens = 0
        self.gaps = 0
        self.late_gaps = 0

    def record_tokens(self, at_s: float, tokens: int) -> None:
        """Record tokens received `at_s` seconds after the request's arrival."""
        self.tokens += tokens
        if self.first_token_s is None:
            self.first_token_s = at_s
        else:
            self.gaps += 1
            self.late_gaps += (
                at_s - self.last_token_s > self.inter_token_target_s * tokens
            )
        self.last_token_s = at_s

    def record(self, *, outcome: str, reason: str, elapsed: timedelta) -> None:
        """Update the metrics with the ended request."""
        name = self.declaration.name
        REQUESTS.labels(name, outcome, reason).inc()
        is_done = outcome == "done"
        if self.first_token_s is None and is_done:
            self.first_token_s = elapsed.total_seconds()
        if self.first_token_s is not None:
            FIRST_TOKEN.labels(name).observe(self.first_token_s)
        target_s = self.declaration.first_token.total_seconds()
        is_first_token_in_time = (
            self.first_token_s is not None and self.first_token_s <= target_s
        )
        is_finished_in_time = is_done and elapsed <= self.declaration.finish
        self._count("first_token", is_first_token_in_time, 1)
        self._count("finish", is_finished_in_time, 1)
        self._count("between_tokens", True, self.gaps - self.late_gaps)
        self._count("between_tokens", False, self.late_gaps)
        TOKENS_DELIVERED.labels(name).inc(self.tokens)
        GOOD_TOKENS.labels(name).inc(
            self.tokens if is_first_token_in_time and is_finished_in_time else 0
        )

    def _count(self, target: str, is_attained: bool, number: int) -> None:
        attained = "true" if is_attained else "false"
        TARGETS.labels(self.declaration.name, target, attained).inc(number)
