"""HTTP handler for the load balancer's readiness checks."""

from collections.abc import Callable

from tornado.web import Application, RequestHandler

__all__ = ["make_readiness"]

ReadinessCheck = Callable[[], str]
"""Returns why the process is not ready; empty if it is ready."""

ListProblems = Callable[[], list[str]]
"""Returns the errors in the settings file and in published items."""


class ReadyHandler(RequestHandler):
    """Handles ``GET /readyz``."""

    def initialize(self, check: ReadinessCheck, problems: ListProblems) -> None:
        """Store the functions that supply the answer's fields."""
        self.check = check
        self.problems = problems

    def get(self) -> None:
        """Answer 200 if the process is ready, else 503 with the reason."""
        reason = self.check()
        self.set_status(503 if reason else 200)
        problems = self.problems()
        self.finish({"ready": not reason, "reason": reason, "problems": problems})


def make_readiness(check: ReadinessCheck, problems: ListProblems) -> Application:
    """Return the application that serves ``/readyz``."""
    arguments = {"check": check, "problems": problems}
    return Application([("/readyz", ReadyHandler, arguments)])
