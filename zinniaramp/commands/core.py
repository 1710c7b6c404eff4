"""Entry point of the command; `fire` generates the command line from the verbs."""

import fire

from .callers import send, ticket
from .configurations import check_configuration
from .explain import explain
from .files import check, publish_preview
from .load import load, report
from .operators import drain, status

__all__ = ["VERBS", "main"]

VERBS = {
    "check": check,
    "check-configuration": check_configuration,
    "publish-preview": publish_preview,
    "status": status,
    "explain": explain,
    "drain": drain,
    "ticket": ticket,
    "send": send,
    "load": load,
    "report": report,
}
"""Functions of the verbs, by name of the verb."""


def main() -> None:
    """Run ``zinniaramp VERB``."""
    fire.Fire(VERBS, name="zinniaramp")
