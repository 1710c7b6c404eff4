"""Metrics of the gateway."""

from prometheus_client import Counter, Gauge, Histogram
from tornado.web import Application

from ..listeners import IntakeMetrics
from ..observability.metrics import MetricsHandler

__all__ = [
    "ADDED_SECONDS",
    "ANSWERS",
    "COLD",
    "COLD_SENDS",
    "CONFIGURATION",
    "CUT_ANSWERS",
    "EVACUATED",
    "FIRST_EVENT_SECONDS",
    "HELD",
    "HELD_SECONDS",
    "HOLDS",
    "INTAKE",
    "IN_FLIGHT",
    "LIMITED",
    "PROMPT_REFUSALS",
    "QUARANTINED",
    "RESUMPTIONS",
    "RETRIES",
    "SENDS",
    "STORE_AGE",
    "STORE_LOST",
    "make_metrics",
]

ANSWERS = Counter(
    "zinniaramp_gateway_answers",
    "Final answers, by route, status and origin.",
    ["route", "status", "by"],
)
CUT_ANSWERS = Counter(
    "zinniaramp_gateway_cut_answers",
    "Answers that were cut off after they had started, by route and cause.",
    ["route", "cause"],
)
SENDS = Counter("zinniaramp_gateway_sends", "Sends to endpoints, by outcome.", ["fate"])
RESUMPTIONS = Counter(
    "zinniaramp_gateway_resumed_streams",
    "Streams that callers resume, by how their software version is known and whether "
    "an endpoint of it is ready.",
    ["known_by", "ready"],
)
RETRIES = Counter(
    "zinniaramp_gateway_repeats",
    "Retries requested from the retry budget, by its decision.",
    ["allowed"],
)
FIRST_EVENT_SECONDS = Histogram(
    "zinniaramp_gateway_first_seconds",
    "Time from a request to its first event, or to its complete answer.",
    ["route"],
    buckets=(0.05, 0.1, 0.2, 0.31, 0.4, 0.5, 0.8, 1, 2, 4, 8, 16),
)
ADDED_SECONDS = Histogram(
    "zinniaramp_gateway_added_seconds",
    "Time from a request's headers to its first send to an endpoint.",
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1),
)
HELD = Gauge("zinniaramp_gateway_held", "Prompts that wait for room at an engine.")
HOLDS = Counter(
    "zinniaramp_gateway_holds", "Prompts that have waited, by outcome.", ["outcome"]
)
HELD_SECONDS = Histogram(
    "zinniaramp_gateway_held_seconds",
    "Time for which a prompt has waited for room at an engine.",
    buckets=(0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 2, 4, 8),
)
PROMPT_REFUSALS = Counter(
    "zinniaramp_gateway_prompt_refusals",
    "Prompts that were refused because engines are short, by reason.",
    ["reason"],
)
IN_FLIGHT = Gauge("zinniaramp_gateway_in_flight", "Requests in flight.")
CONFIGURATION = Gauge(
    "zinniaramp_gateway_configuration_version", "Version of the configuration in force."
)
QUARANTINED = Gauge(
    "zinniaramp_gateway_quarantined_segments",
    "Prompt segments whose requests are refused because engines crash under them.",
)
LIMITED = Gauge(
    "zinniaramp_gateway_limited_endpoints",
    "Endpoints that take a limited number of requests per second.",
)
COLD = Gauge(
    "zinniaramp_gateway_cold_endpoints",
    "Endpoints that have started recently and get few requests.",
)
COLD_SENDS = Counter(
    "zinniaramp_gateway_cold_sends", "Sends of this process to cold endpoints."
)
EVACUATED = Gauge(
    "zinniaramp_gateway_evacuated_data_centers",
    "Data centres to whose endpoints nothing is sent.",
)
STORE_AGE = Gauge(
    "zinniaramp_gateway_store_confirmed_seconds",
    "Time since the store was last known to have no later change.",
)
STORE_LOST = Gauge(
    "zinniaramp_gateway_store_lost", "1 while the store gives no valid response."
)

INTAKE = IntakeMetrics(prefix="zinniaramp_gateway")
"""Metrics of the account of memory and descriptors."""


def make_metrics() -> Application:
    """Return the application that serves ``/metrics``."""
    return Application([("/metrics", MetricsHandler)])
