"""Software versions that the endpoints of each service have or lately had."""

from collections.abc import Iterable
from datetime import datetime, timedelta

from result import Ok

from ..clock import Clock
from .endpoints import Endpoint, ItemDecoder
from .items import History

__all__ = ["ServedVersions", "find_served_versions"]


class ServedVersions:
    """Which software versions serve, and until when others served.

    Parameters
    ----------
    clock : Clock
        The process's clock.

    Attributes
    ----------
    present : dict of set
        Versions of the registered endpoints, by service.
    gone_at : dict of datetime
        When an endpoint of a service and version was last registered or removed, by
        this pair.
    known_since : datetime or None
        Time from which all versions are known; None before the first full read.
    """

    __slots__ = ("clock", "present", "gone_at", "known_since")

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.present: dict[str, set[str]] = {}
        self.gone_at: dict[tuple[str, str], datetime] = {}
        self.known_since: datetime | None = None

    def record(self, service: str, version: str) -> None:
        """Record the entry of an endpoint, which may be removed at once."""
        self.gone_at[service, version] = self.clock()

    def record_gap(self) -> None:
        """Record that endpoints may have come and gone unknown until now."""
        if self.known_since is not None:
            self.known_since = self.clock()

    def update(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Replace the services and versions of the registered endpoints.

        Parameters
        ----------
        pairs : iterable of tuple
            Service and version of each registered endpoint.
        """
        present: dict[str, set[str]] = {}
        for service, version in pairs:
            present.setdefault(service, set()).add(version)
        now = self.clock()
        for service, versions in self.present.items():
            for version in versions - present.get(service, set()):
                self.gone_at[service, version] = now
        self.present = present

    def add_history(self, pairs: Iterable[tuple[str, str]], *, since: datetime) -> None:
        """Add what endpoints had before this process knew of them.

        Parameters
        ----------
        pairs : iterable of tuple
            Service and version of each endpoint whose entry has changed since then.
        since : datetime
            Time from which these are all.
        """
        now = self.clock()
        for service, version in pairs:
            if version not in self.present.get(service, ()):
                self.gone_at[service, version] = now
        if self.known_since is not None:
            self.known_since = min(self.known_since, since)

    def lately(self, service: str, max_age: timedelta) -> set[str]:
        """Return the versions that have served in the last `max_age`, as known here."""
        oldest = self.clock() - max_age
        gone = {
            version
            for (of_service, version), at in self.gone_at.items()
            if of_service == service and at >= oldest
        }
        return gone | self.present.get(service, set())

    def is_known(self, max_age: timedelta) -> bool:
        """Return whether all versions of the last `max_age` are known."""
        if self.known_since is None:
            return False
        return self.known_since <= self.clock() - max_age


def find_served_versions(
    history: History, decode: ItemDecoder, *, known: set[str]
) -> list[tuple[str, str]] | None:
    """Return the service and version of each endpoint whose entry a history has.

    Parameters
    ----------
    history : History
        Changes of the endpoints' entries.
    decode : callable
        Decodes an item.
    known : set of str
        Keys of the endpoints that are registered.

    Returns
    -------
    list of tuple or None
        None if an entry was removed that is neither known nor in the history.
    """
    pairs, written = [], set(known)
    for item in history.items:
        if item.value is None:
            if item.key not in written:
                return None
            continue
        match decode(item):
            case Ok(Endpoint() as endpoint):
                pairs.append((endpoint.service, endpoint.version))
        written.add(item.key)
    return pairs
