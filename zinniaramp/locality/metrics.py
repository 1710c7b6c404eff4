"""Metrics of the traffic between data centres."""

from prometheus_client import Counter, Gauge

__all__ = ["PRESSURE", "REMOTE_BYTES", "REMOTE_SENDS"]

REMOTE_SENDS = Counter(
    "zinniaramp_locality_remote_sends",
    "Sends to endpoints in another data centre, by service and data centre.",
    ["service", "data_center"],
)
REMOTE_BYTES = Counter(
    "zinniaramp_locality_remote_bytes",
    "Bytes of bodies sent to and received from endpoints in another data centre, by "
    "service and direction.",
    ["service", "direction"],
)
PRESSURE = Gauge(
    "zinniaramp_locality_pressure",
    "Share of a service's requests that may leave this data centre.",
    ["service", "data_center"],
)
