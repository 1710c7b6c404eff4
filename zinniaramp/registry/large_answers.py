"""Log of the large answers of the store."""

from datetime import datetime, timedelta

from ..observability import emit
from ..reads import Transfer
from .events import LARGE_ANSWER_BEGAN, LARGE_ANSWER_ENDED
from .items import StoreRevision

__all__ = ["LargeAnswers"]


class LargeAnswers:
    """Logs how large answers of the store arrive.

    Parameters
    ----------
    transfer : Transfer
        Progress of the answers.

    Attributes
    ----------
    began_at : datetime or None
        Time at which the headers of the answer arrived; None if there is none.
    """

    __slots__ = ("transfer", "began_at")

    def __init__(self, *, transfer: Transfer):
        self.transfer = transfer
        self.began_at: datetime | None = None

    def begin(self, watched: StoreRevision | None) -> None:
        """Record that the headers of a large answer have arrived.

        Parameters
        ----------
        watched : StoreRevision or None
            Revision of the watch that it answers; None if it is a page of all items.
        """
        self.began_at = self.transfer.clock()
        emit(
            LARGE_ANSWER_BEGAN,
            era=watched.era if watched else 0,
            revision=watched.number if watched else 0,
            bytes=self.transfer.size,
        )

    def end(self, problem: str) -> None:
        """Record that the call has ended; do nothing if its answer was not large."""
        began_at, self.began_at = self.began_at, None
        if began_at is None:
            return
        emit(
            LARGE_ANSWER_ENDED,
            bytes=self.transfer.size,
            received=self.transfer.received,
            took_ms=(self.transfer.clock() - began_at) // timedelta(milliseconds=1),
            problem=problem,
        )
