"""HTTP handlers for operators."""

import tornado.web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

__all__ = ["make_application"]


class HealthHandler(tornado.web.RequestHandler):
    """``/healthz``: the process answers."""

    def get(self):
        """Answer 200."""
        self.write("ok\n")


class ReadyHandler(tornado.web.RequestHandler):
    """``/readyz``: the process can take requests."""

    def initialize(self, process):
        """Take the process that is asked about."""
        self.process = process

    def get(self):
        """Answer 200 if ready, else 503."""
        is_ready = self.process.is_ready()
        self.set_status(200 if is_ready else 503)
        self.write("ready\n" if is_ready else "not ready\n")


class MetricsHandler(tornado.web.RequestHandler):
    """``/metrics``, for Prometheus."""

    def get(self):
        """Answer with every metric."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(generate_latest())


def make_application(process) -> tornado.web.Application:
    """Return the HTTP application for operators."""
    return tornado.web.Application(
        [
            ("/healthz", HealthHandler),
            ("/readyz", ReadyHandler, {"process": process}),
            ("/metrics", MetricsHandler),
        ]
    )
