"""HTTP handlers for operators."""

import json

import tornado.web

from ..observability.metrics import MetricsHandler
from .view import ProcessView

__all__ = ["make_application"]


class HealthHandler(tornado.web.RequestHandler):
    """``/healthz``: the process answers."""

    def get(self):
        """Answer 200."""
        self.write("ok\n")


class OperatorHandler(tornado.web.RequestHandler):
    """Base of the handlers that ask about the process."""

    def initialize(self, view: ProcessView):
        """Take what is asked about."""
        self.view = view


class ReadyHandler(OperatorHandler):
    """``/readyz``: the process can take requests."""

    def get(self):
        """Answer 200 if ready, else 503."""
        is_ready = self.view.is_ready()
        self.set_status(200 if is_ready else 503)
        self.write("ready\n" if is_ready else "not ready\n")


class StatusHandler(OperatorHandler):
    """``/status``: what the process does now, as JSON."""

    def get(self):
        """Answer with the process's status."""
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(self.view.status(), default=str))


class DrainHandler(OperatorHandler):
    """``POST /drain``: finish what is in flight, then exit."""

    def post(self):
        """Start the shutdown and answer at once."""
        self.view.shutdown.request("operator")
        self.set_status(202)
        self.write({"leaving": True})


def make_application(view: ProcessView) -> tornado.web.Application:
    """Return the HTTP application for operators."""
    given = {"view": view}
    return tornado.web.Application(
        [
            ("/healthz", HealthHandler),
            ("/readyz", ReadyHandler, given),
            ("/metrics", MetricsHandler),
            ("/status", StatusHandler, given),
            ("/drain", DrainHandler, given),
        ]
    )
