"""Guarantees of the system and the record of a breach."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Breach", "Guarantee"]


class Guarantee(StrEnum):
    """Guarantees that the checker tests, each with its text in reports."""

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
    """One breach of a guarantee.

    Parameters
    ----------
    guarantee : Guarantee
        The guarantee that was breached.
    subject : str
        Identifier of the request, attempt or process concerned.
    evidence : str
        What the history shows, for the report.
    """

    guarantee: Guarantee
    subject: str
    evidence: str

    def __str__(self) -> str:
        return f"breach of '{self.guarantee}': {self.subject}: {self.evidence}"
