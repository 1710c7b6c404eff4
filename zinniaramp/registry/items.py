"""Items of the store by key, ordered by the store's eras and revisions."""

from dataclasses import dataclass

__all__ = ["History", "Item", "ItemCache", "Snapshot", "StoreRevision"]


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class StoreRevision:
    """Position in the store's history, ordered by the era and then by the number.

    Parameters
    ----------
    era : int
        Rises by one each time the store is restored from an older copy; 0 if the store
        reports none.
    number : int
        Revision within the era.  After a restore, the numbers since the copy are
        assigned again to other changes.
    """

    era: int
    number: int


NO_REVISION = StoreRevision(era=0, number=0)
"""Revision before the first read."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Item:
    """One revision of an item: its value, or its removal.

    Parameters
    ----------
    key : str
        Key of the item.
    revision : int
        Revision number at which the item changed, within the era of its snapshot.
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
    revision : StoreRevision
        Revision after which a watch continues.
    items : tuple of Item
        Items and removals.
    is_complete : bool
        Whether this is a full read, so that keys not in it have been removed.
    """

    revision: StoreRevision
    items: tuple[Item, ...]
    is_complete: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class History:
    """Changes of the endpoints' entries that the store still has.

    Parameters
    ----------
    revision : StoreRevision
        Revision of the store.
    items : tuple of Item
        Entries and removals in the order of their revisions.
    is_full : bool
        Whether the history begins with the store itself.
    is_empty : bool
        Whether nothing at all has changed since the history begins.
    """

    revision: StoreRevision
    items: tuple[Item, ...]
    is_full: bool
    is_empty: bool


class ItemCache:
    """Latest known revision of each item, including removals as tombstones.

    Attributes
    ----------
    items : dict of Item
        Items and removals by key, all of the era of `revision`.
    revision : StoreRevision
        Revision up to which all changes are known.
    era_start : int
        Revision number of the first snapshot of the era.  Items with a higher number
        were written after the store was restored.
    """

    __slots__ = ("items", "revision", "era_start")

    def __init__(self):
        self.items: dict[str, Item] = {}
        self.revision = NO_REVISION
        self.era_start = 0

    def apply(self, snapshot: Snapshot) -> list[Item]:
        """Apply a snapshot and return its new items in the order of their revisions.

        Notes
        -----
        An older revision of an item never replaces a newer one, nor does a snapshot of
        an older era.  Snapshots may therefore arrive in any order and from several
        sources.  An era is entered only by a complete snapshot, because changes alone
        do not tell which items the copy lacks.
        """
        era = snapshot.revision.era
        if era < self.revision.era:
            return []
        if era > self.revision.era:
            return self._enter_era(snapshot) if snapshot.is_complete else []
        items = list(snapshot.items)
        if snapshot.is_complete:
            items += self._removals(snapshot)
        new_items = [item for item in items if self._is_newer(item)]
        new_items.sort(key=lambda item: item.revision)
        for item in new_items:
            self.items[item.key] = item
        self.revision = max(self.revision, snapshot.revision)
        return new_items

    def changes_since(self, revision: StoreRevision) -> Snapshot:
        """Return the items that changed after a revision, for a peer.

        A peer in an older era, or without any item, gets a complete snapshot.
        """
        if revision.era < self.revision.era or revision == NO_REVISION:
            items = tuple(one for one in self.items.values() if one.value is not None)
            return Snapshot(revision=self.revision, items=items, is_complete=True)
        newer = (one for one in self.items.values() if one.revision > revision.number)
        ordered = tuple(sorted(newer, key=lambda item: item.revision))
        return Snapshot(revision=self.revision, items=ordered, is_complete=False)

    def _enter_era(self, snapshot: Snapshot) -> list[Item]:
        """Replace all items; return those with another value, and the removals."""
        removals = self._missing_items(snapshot)
        items = sorted([*snapshot.items, *removals], key=lambda item: item.revision)
        changed = [item for item in items if not self.has_value(item)]
        self.items = {item.key: item for item in items}
        self.revision = snapshot.revision
        self.era_start = snapshot.revision.number
        return changed

    def has_value(self, item: Item) -> bool:
        """Return whether the known value of an item is the same."""
        known = self.items.get(item.key)
        return known is not None and known.value == item.value

    def _is_newer(self, item: Item) -> bool:
        current = self.items.get(item.key)
        # An unknown item with an older revision has been removed since.
        known = current.revision if current else self.revision.number
        return known < item.revision

    def _removals(self, snapshot: Snapshot) -> list[Item]:
        return [
            item
            for item in self._missing_items(snapshot)
            if self.items[item.key].revision <= snapshot.revision.number
        ]

    def _missing_items(self, snapshot: Snapshot) -> list[Item]:
        """Return a removal for each known item that a complete snapshot lacks."""
        snapshot_keys = {item.key for item in snapshot.items}
        return [
            Item(key=item.key, revision=snapshot.revision.number, value=None)
            for item in self.items.values()
            if item.key not in snapshot_keys and item.value is not None
        ]
