"""The address that shows all metrics as text."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.web import RequestHandler

__all__ = ["MetricsHandler"]


class MetricsHandler(RequestHandler):
    """Answers ``GET /metrics``, for Prometheus."""

    def get(self) -> None:
        """Answer with every metric."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest())
