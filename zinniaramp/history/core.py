"""Runs all checks on a history."""

from .answers import check_at_most_once, check_not_run, check_whole
from .breaches import Breach
from .fleet_refusals import check_fleet_refusals
from .leaving import check_leaving, check_shutdown
from .progress import check_progress
from .records import History, Limits
from .revisions import check_revisions
from .urgency import check_urgency

__all__ = ["check_history"]

CHECKS = (
    check_urgency,
    check_fleet_refusals,
    check_progress,
    check_whole,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_shutdown,
    check_revisions,
)


def check_history(history: History, limits: Limits | None = None) -> list[Breach]:
    """Return all breaches that a history shows.

    Parameters
    ----------
    history : History
        The recorded run.
    limits : Limits or None
        Bounds that the checks apply; None for the defaults.

    Returns
    -------
    list of Breach
        Grouped by check; empty if every guarantee held.
    """
    bounds = limits or Limits()
    return [breach for check in CHECKS for breach in check(history, bounds)]
