"""HTTP handlers for operators."""

import json

import tornado.web

from ..observability.metrics import MetricsHandler
from .view import ProcessView

__all__ = ["make_application"]


class HealthHandler(tornado.web.RequestHandler):
    """``GET /healthz``: liveness of the process."""

    def get(self):
        """Answer 200; it shows that the event loop runs."""
        self.write("ok\n")


class OperatorHandler(tornado.web.RequestHandler):
    """Base of the handlers that need the state of the process."""

    def initialize(self, view: ProcessView):
        """Store the view of the process."""
        self.view = view


class ReadyHandler(OperatorHandler):
    """``GET /readyz``: readiness to accept requests."""

    def get(self):
        """Answer 200 if ready, else 503."""
        is_ready = self.view.is_ready()
        self.set_status(200 if is_ready else 503)
        self.write("ready\n" if is_ready else "not ready\n")


class StatusHandler(OperatorHandler):
    """``GET /status``: the current state of the process, as JSON."""

    def get(self):
        """Answer with the process's status."""
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(self.view.status(), default=str))


class DrainHandler(OperatorHandler):
    """``POST /drain``: start a graceful shutdown."""

    def post(self):
        """Start the shutdown and answer 202 before it ends."""
        self.view.shutdown.request("operator")
        self.set_status(202)
        self.write({"leaving": True})


def make_application(view: ProcessView) -> tornado.web.Application:
    """Return the HTTP application for operators."""
    view_arguments = {"view": view}
    return tornado.web.Application(
        [
            ("/healthz", HealthHandler),
            ("/readyz", ReadyHandler, view_arguments),
            ("/metrics", MetricsHandler),
            ("/status", StatusHandler, view_arguments),
            ("/drain", DrainHandler, view_arguments),
        ]
    )
