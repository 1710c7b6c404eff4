"""The store's eras: what a snapshot of another one means."""

from ..observability import emit
from .events import STORE_ANSWER_OLD, STORE_RESTORED
from .items import Snapshot, StoreRevision

__all__ = ["check_era"]


def check_era(snapshot: Snapshot, *, known: StoreRevision) -> bool:
    """Return whether a snapshot shows that the store was restored; log what it shows.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot that was received.
    known : StoreRevision
        Revision up to which all changes are known.
    """
    received = snapshot.revision
    if received.era < known.era:
        emit(STORE_ANSWER_OLD, era=received.era, known=known.era)
    if received.era <= known.era or not known.number or not snapshot.is_complete:
        return False
    emit(
        STORE_RESTORED,
        era=received.era,
        before=known.era,
        revision=received.number,
        revision_before=known.number,
    )
    return True
