"""Replacement of the one class that the gateway imports from ``sortedcontainers``."""

from bisect import insort
from collections.abc import Callable, Iterable

__all__ = ["SortedKeyList"]


class SortedKeyList(list):
    """List that stays sorted by a key of its elements."""

    def __init__(self, iterable: Iterable = (), key: Callable = lambda one: one):
        super().__init__(sorted(iterable, key=key))
        self.key = key

    def add(self, value: object) -> None:
        """Add an element at its place."""
        insort(self, value, key=self.key)
