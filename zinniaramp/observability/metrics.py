"""HTTP handler of the metrics in the Prometheus text format."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.web import RequestHandler

__all__ = ["MetricsHandler"]


class MetricsHandler(RequestHandler):
    """``GET /metrics``: all metrics of the process."""

    def get(self) -> None:
        """Answer with the metrics in the Prometheus text format."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest())
