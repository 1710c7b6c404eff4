"""Published items by key, in the order of the store's revisions."""

from dataclasses import dataclass

__all__ = ["Item", "ItemCache", "Snapshot"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Item:
    """One item as it was written, or its removal.

    Parameters
    ----------
    key : str
        Key.
    revision : int
        The store's revision of the change.
    value : bytes or None
        Content; None if the item was removed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(slots=True, kw_only=True, frozen=True)
class Snapshot:
    """Items that a source gave in one answer.

    Parameters
    ----------
    revision : int
        Revision to go on from.
    items : tuple of Item
        Items and removals.
    is_complete : bool
        Whether keys that are missing have been removed.
    """

    revision: int
    items: tuple[Item, ...]
    is_complete: bool


class ItemCache:
    """The newest known item of each key, removals included.

    Attributes
    ----------
    items : dict of Item
        Items and removals by key.
    revision : int
        Highest revision up to which nothing is missing; 0 before the first read.
    """

    __slots__ = ("items", "revision")

    def __init__(self):
        self.items: dict[str, Item] = {}
        self.revision = 0

    def apply(self, snapshot: Snapshot) -> list[Item]:
        """Take a snapshot in and return what was new in it, in order.

        Notes
        -----
        An item of an older revision never replaces a newer one, so answers may
        come in any order and from several sources.
        """
        items = list(snapshot.items)
        if snapshot.is_complete:
            items += self._removals(snapshot)
        fresh = [item for item in items if self._is_newer(item)]
        fresh.sort(key=lambda item: item.revision)
        for item in fresh:
            self.items[item.key] = item
        self.revision = max(self.revision, snapshot.revision)
        return fresh

    def changes_since(self, revision: int) -> Snapshot:
        """Return what is newer than a revision, for another process."""
        newer = (item for item in self.items.values() if item.revision > revision)
        ordered = tuple(sorted(newer, key=lambda item: item.revision))
        return Snapshot(revision=self.revision, items=ordered, is_complete=False)

    def _is_newer(self, item: Item) -> bool:
        present = self.items.get(item.key)
        return present is None or present.revision < item.revision

    def _removals(self, snapshot: Snapshot) -> list[Item]:
        listed = {item.key for item in snapshot.items}
        return [
            Item(key=item.key, revision=snapshot.revision, value=None)
            for item in self.items.values()
            if item.key not in listed
            and item.value is not None
            and item.revision <= snapshot.revision
        ]
