"""The balancer's health check."""

from collections.abc import Callable

from tornado.web import Application, RequestHandler

__all__ = ["make_readiness"]

ReadinessCheck = Callable[[], str]
"""Returns why the process isn't ready; empty if it is."""


class ReadyHandler(RequestHandler):
    """Answers ``GET /readyz``."""

    def initialize(self, check: ReadinessCheck) -> None:
        """Take the check."""
        self.check = check

    def get(self) -> None:
        """Answer 200, or 503 with what is missing."""
        reason = self.check()
        self.set_status(503 if reason else 200)
        self.finish({"ready": not reason, "reason": reason})


def make_readiness(check: ReadinessCheck) -> Application:
    """Return the application that answers the balancer."""
    return Application([("/readyz", ReadyHandler, {"check": check})])
