"""Metrics of the account of memory and descriptors."""

from prometheus_client import Counter, Gauge

from ..intake import Account, Kind

__all__ = ["IntakeMetrics"]


class IntakeMetrics:
    """Metrics of one process's account.

    Parameters
    ----------
    prefix : str
        Beginning of the metrics' names.
    """

    __slots__ = ("held_bytes", "budget_bytes", "connections", "evictions")

    def __init__(self, *, prefix: str):
        self.held_bytes = Gauge(
            f"{prefix}_held_bytes",
            "Memory charged for the connections of callers and peers and for their "
            "requests.",
        )
        self.budget_bytes = Gauge(
            f"{prefix}_held_limit_bytes",
            "Memory that may be charged now; less than usual while the process is "
            "large.",
        )
        self.connections = Gauge(
            f"{prefix}_connections", "Accepted connections, by listener.", ["kind"]
        )
        self.evictions = Counter(
            f"{prefix}_evictions",
            "Connections closed because memory or descriptors ran short, by listener, "
            "phase and cause.",
            ["kind", "phase", "cause"],
        )

    def show(self, account: Account) -> None:
        """Take the values of the gauges from an account."""
        self.held_bytes.set_function(lambda: account.held)
        self.budget_bytes.set_function(lambda: account.budget)
        for kind in Kind:
            gauge = self.connections.labels(kind.value)
            gauge.set_function(lambda kind=kind: account.counts[kind])
