"""Entry point of the command; `fire` turns the verbs into a command line."""

import fire

from .callers import send, ticket
from .explain import explain
from .files import check, publish_preview
from .load import load, report
from .operators import drain, status

__all__ = ["VERBS", "main"]

VERBS = {
    "check": check,
    "publish-preview": publish_preview,
    "status": status,
    "explain": explain,
    "drain": drain,
    "ticket": ticket,
    "send": send,
    "load": load,
    "report": report,
}
"""Function of each verb."""


def main() -> None:
    """Run ``zinniaramp VERB``."""
    fire.Fire(VERBS, name="zinniaramp")
