"""The balancer's health check."""

from collections.abc import Callable

from tornado.web import Application, RequestHandler

__all__ = ["make_readiness"]

ReadinessCheck = Callable[[], str]
"""Returns why the process isn't ready; empty if it is."""

ListProblems = Callable[[], list[str]]
"""Returns what was refused: settings, or published items."""


class ReadyHandler(RequestHandler):
    """Answers ``GET /readyz``."""

    def initialize(self, check: ReadinessCheck, problems: ListProblems) -> None:
        """Take the check and the list."""
        self.check = check
        self.problems = problems

    def get(self) -> None:
        """Answer 200, or 503 with what is missing."""
        reason = self.check()
        self.set_status(503 if reason else 200)
        problems = self.problems()
        self.finish({"ready": not reason, "reason": reason, "problems": problems})


def make_readiness(check: ReadinessCheck, problems: ListProblems) -> Application:
    """Return the application that answers the balancer."""
    arguments = {"check": check, "problems": problems}
    return Application([("/readyz", ReadyHandler, arguments)])
