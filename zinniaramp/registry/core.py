"""Registered endpoints and the active configuration, from the store's items."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

from result import Err, Ok, Result

from ..clock import Clock
from ..observability import emit
from ..routes import Configuration
from ..sockets import Address
from .events import (
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_OLD,
    ENDPOINT_GONE,
    ENDPOINT_LISTED,
    ENDPOINT_MISSING,
    ITEM_REFUSED,
)
from .items import Item, ItemCache, Snapshot

__all__ = [
    "DecodedItem",
    "Endpoint",
    "EndpointState",
    "ItemDecoder",
    "ItemError",
    "Registry",
]


class ItemError(Exception):
    """An item can't be decoded; the message names the field, its value and a remedy."""


class EndpointState(Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True, frozen=True)
class Endpoint:
    """One incarnation of an endpoint, from its start to its exit.

    Parameters
    ----------
    id : str
        Id of the endpoint, which it compares with the id that a request expects.
    started : int
        Time of its start in Unix milliseconds; distinguishes incarnations of one id.
    service : str
        Name of its service.
    data_center : str
        Name of its data centre.
    address : Address
        Address on which it listens.
    slots : int
        Number of requests that it runs concurrently.
    state : EndpointState
        State that it reports.
    """

    id: str
    started: int
    service: str
    data_center: str
    address: Address
    slots: int
    state: EndpointState

    @property
    def incarnation(self) -> str:
        """Name that is unique to this start of the endpoint."""
        return f"{self.id}@{self.started}"


DecodedItem = Endpoint | Configuration | None
"""Result of decoding an item; None if items of its kind are not used."""

ItemDecoder = Callable[[Item], Result[DecodedItem, ItemError]]
"""Function that decodes an item with a value."""


class Registry:
    """Endpoints and configuration of the process, updated from snapshots of the store.

    An older revision of an item or version of the configuration never replaces a newer
    one, and an incarnation that has reported that it is leaving stays so.

    Parameters
    ----------
    decode : callable
        Decodes an item.
    lapse_grace : timedelta
        Time for which an endpoint stays in use after its entry expired because of an
        outage of the store.  Entries that disappear within this time after the
        outage count as expired because of it.
    clock : Clock
        The process's clock.

    Attributes
    ----------
    cache : ItemCache
        Latest known revision of each item.
    configuration : Configuration or None
        The active configuration.
    endpoints : dict of Endpoint
        Registered endpoints by the key of their item.
    leaving : set of str
        Incarnations that have reported that they are leaving.
    lapsed_until : dict of datetime
        End of the grace period of endpoints whose entries expired because of an
        outage, by the key of their item.
    store_returned_at : datetime or None
        End of the last outage of the store.
    by_service : dict of list of Endpoint
        Registered endpoints that are not leaving, by service.
    incarnations : dict of Endpoint
        Registered endpoints by the name of their incarnation.
    on_change : list of callable
        Called after each applied snapshot, and when grace periods have ended.
    refused : dict of str
        Problems of the items that can't be decoded, by key.
    """

    __slots__ = (
        "decode",
        "lapse_grace",
        "clock",
        "cache",
        "configuration",
        "endpoints",
        "leaving",
        "lapsed_until",
        "store_returned_at",
        "by_service",
        "incarnations",
        "on_change",
        "refused",
    )

    def __init__(self, *, decode: ItemDecoder, lapse_grace: timedelta, clock: Clock):
        self.decode = decode
        self.lapse_grace = lapse_grace
        self.clock = clock
        self.cache = ItemCache()
        self.configuration: Configuration | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self.leaving: set[str] = set()
        self.lapsed_until: dict[str, datetime] = {}
        self.store_returned_at: datetime | None = None
        self.by_service: dict[str, list[Endpoint]] = {}
        self.incarnations: dict[str, Endpoint] = {}
        self.on_change: list[Callable[[], None]] = []
        self.refused: dict[str, str] = {}

    def apply(self, snapshot: Snapshot) -> None:
        """Apply the new items of a snapshot."""
        for item in self.cache.apply(snapshot):
            if item.value is None:
                self._remove(item)
            else:
                self._decode_and_apply(item)
        self._rebuild_indexes()

    def start_lapse_grace(self) -> None:
        """Start the grace period for endpoints whose entries expired in an outage."""
        self.store_returned_at = self.clock()

    def ready(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests."""
        if self.lapsed_until:
            self._remove_expired()
        return self.by_service.get(service, [])

    def by_incarnation(self, name: str) -> Endpoint | None:
        """Return the registered endpoint of an incarnation's name, or None."""
        return self.incarnations.get(name)

    def _decode_and_apply(self, item: Item) -> None:
        self.refused.pop(item.key, None)
        match self.decode(item):
            case Ok(Endpoint() as endpoint):
                self._register(item.key, endpoint)
            case Ok(Configuration() as configuration):
                self._activate(configuration)
            case Ok(_):
                return
            case Err(error):
                emit(
                    ITEM_REFUSED,
                    key=item.key,
                    revision=item.revision,
                    problem=str(error),
                )
                self.endpoints.pop(item.key, None)
                self.refused[item.key] = str(error)

    def _register(self, key: str, endpoint: Endpoint) -> None:
        self.lapsed_until.pop(key, None)
        if endpoint.state is EndpointState.LEAVING:
            self.leaving.add(endpoint.incarnation)
        if self.endpoints.get(key) == endpoint:
            return
        self.endpoints[key] = endpoint
        emit(
            ENDPOINT_LISTED,
            endpoint=endpoint.incarnation,
            service=endpoint.service,
            address=str(endpoint.address),
            state=endpoint.state.value,
        )

    def _activate(self, configuration: Configuration) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            emit(
                CONFIGURATION_OLD,
                version=configuration.version,
                in_force=current.version,
            )
            return
        self.configuration = configuration
        emit(CONFIGURATION_IN_FORCE, version=configuration.version)

    def _remove(self, item: Item) -> None:
        self.refused.pop(item.key, None)
        endpoint = self.endpoints.get(item.key)
        if endpoint is None:
            return
        now = self.clock()
        if self._is_in_lapse_grace(now) and endpoint.incarnation not in self.leaving:
            self.lapsed_until[item.key] = now + self.lapse_grace
            emit(ENDPOINT_MISSING, endpoint=endpoint.incarnation)
            return
        self._unregister(item.key)

    def _is_in_lapse_grace(self, now: datetime) -> bool:
        if self.store_returned_at is None:
            return False
        return now < self.store_returned_at + self.lapse_grace

    def _remove_expired(self) -> None:
        now = self.clock()
        expired = [key for key, until in self.lapsed_until.items() if now >= until]
        for key in expired:
            self._unregister(key)
        if expired:
            self._rebuild_indexes()

    def _unregister(self, key: str) -> None:
        self.lapsed_until.pop(key, None)
        endpoint = self.endpoints.pop(key)
        emit(ENDPOINT_GONE, endpoint=endpoint.incarnation)

    def _rebuild_indexes(self) -> None:
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            if endpoint.incarnation not in self.leaving:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self.by_service = by_service
        registered = self.endpoints.values()
        self.incarnations = {one.incarnation: one for one in registered}
        for listener in self.on_change:
            listener()
