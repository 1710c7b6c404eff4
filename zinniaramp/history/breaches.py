"""What must always hold, and a breach of it."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Breach", "Guarantee"]


class Guarantee(StrEnum):
    """What must always hold."""

    URGENT = "urgent work is never shed or preempted for a lower class"
    STARVATION = "every class is served"
    WHOLE = "every caller gets the whole answer to its own request"
    NOT_RUN = "not-run is true"
    AT_MOST_ONCE = "a non-repeatable request runs at most once"
    LEAVING = "an endpoint that is leaving receives nothing new"
    SHUTDOWN = "a graceful shutdown cuts off nothing"
    CONFIGURATION = "an accepted configuration is in force and never reverts"


@dataclass(slots=True, kw_only=True, frozen=True)
class Breach:
    """One breach.

    Parameters
    ----------
    promise : Guarantee
        What did not hold.
    subject : str
        The request, attempt or process.
    evidence : str
        What the history shows.
    """

    promise: Guarantee
    subject: str
    evidence: str

    def __str__(self) -> str:
        return f"breach of '{self.promise}': {self.subject}: {self.evidence}"
