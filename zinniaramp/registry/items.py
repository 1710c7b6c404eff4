"""Items of the store by key, ordered by the store's revisions."""

from dataclasses import dataclass

__all__ = ["Item", "ItemCache", "Snapshot"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Item:
    """One revision of an item: its value, or its removal.

    Parameters
    ----------
    key : str
        Key of the item.
    revision : int
        Revision of the store at which the item changed.
    value : bytes or None
        Value; None if the item was removed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(slots=True, kw_only=True, frozen=True)
class Snapshot:
    """Items in one response of the store or of a peer.

    Parameters
    ----------
    revision : int
        Revision after which a watch continues.
    items : tuple of Item
        Items and removals.
    is_complete : bool
        Whether this is a full read, so that keys not in it have been removed.
    """

    revision: int
    items: tuple[Item, ...]
    is_complete: bool


class ItemCache:
    """Latest known revision of each item, including removals as tombstones.

    Attributes
    ----------
    items : dict of Item
        Items and removals by key.
    revision : int
        Revision up to which all changes are known; 0 before the first read.
    """

    __slots__ = ("items", "revision")

    def __init__(self):
        self.items: dict[str, Item] = {}
        self.revision = 0

    def apply(self, snapshot: Snapshot) -> list[Item]:
        """Apply a snapshot and return its new items in the order of their revisions.

        Notes
        -----
        An older revision of an item never replaces a newer one.  Snapshots may
        therefore arrive in any order and from several sources.
        """
        items = list(snapshot.items)
        if snapshot.is_complete:
            items += self._removals(snapshot)
        new_items = [item for item in items if self._is_newer(item)]
        new_items.sort(key=lambda item: item.revision)
        for item in new_items:
            self.items[item.key] = item
        self.revision = max(self.revision, snapshot.revision)
        return new_items

    def changes_since(self, revision: int) -> Snapshot:
        """Return the items that changed after a revision, for a peer."""
        newer = (item for item in self.items.values() if item.revision > revision)
        ordered = tuple(sorted(newer, key=lambda item: item.revision))
        return Snapshot(revision=self.revision, items=ordered, is_complete=False)

    def _is_newer(self, item: Item) -> bool:
        current = self.items.get(item.key)
        return current is None or current.revision < item.revision

    def _removals(self, snapshot: Snapshot) -> list[Item]:
        snapshot_keys = {item.key for item in snapshot.items}
        return [
            Item(key=item.key, revision=snapshot.revision, value=None)
            for item in self.items.values()
            if item.key not in snapshot_keys
            and item.value is not None
            and item.revision <= snapshot.revision
        ]
