"""Endpoints and the configuration in force, from published items."""

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
    "DecodeItem",
    "DecodedItem",
    "Endpoint",
    "EndpointState",
    "ItemError",
    "Registry",
]


class ItemError(Exception):
    """An item can't be used; the text names field, value and remedy."""


class EndpointState(Enum):
    """Whether an endpoint takes new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True, frozen=True)
class Endpoint:
    """One incarnation of an endpoint.

    Parameters
    ----------
    id : str
        Id that the endpoint compares with the one a request expects.
    started : int
        Unix milliseconds of its start; tells incarnations with one id apart.
    service, data_center : str
        Its service and place.
    address : Address
        Where it listens.
    slots : int
        Requests that it runs at once.
    state : EndpointState
        What it says of itself.
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
        """Name that no other start of an endpoint has."""
        return f"{self.id}@{self.started}"


DecodedItem = Endpoint | Configuration | None
"""What an item says; None if it is of a kind that the product does not use."""

DecodeItem = Callable[[Item], Result[DecodedItem, ItemError]]
"""Decodes an item that has a value."""


class Registry:
    """What the process believes; nothing in it is ever taken back.

    Parameters
    ----------
    decode : callable
        Decodes an item.
    lapse_grace : timedelta
        Time for which an endpoint whose entry lapsed while the store was away is
        still used.
    clock : Clock
        The process's clock.

    Attributes
    ----------
    configuration : Configuration or None
        The version in force.
    endpoints : dict of Endpoint
        Listed endpoints by the key of their item.
    on_change : list of callable
        Called after each change.
    refused : dict of str
        What is wrong with items that can't be read, by key.
    """

    __slots__ = (
        "decode",
        "lapse_grace",
        "clock",
        "cache",
        "configuration",
        "endpoints",
        "leaving",
        "missing",
        "returned_at",
        "by_service",
        "incarnations",
        "on_change",
        "refused",
    )

    def __init__(self, *, decode: DecodeItem, lapse_grace: timedelta, clock: Clock):
        self.decode = decode
        self.lapse_grace = lapse_grace
        self.clock = clock
        self.cache = ItemCache()
        self.configuration: Configuration | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self.leaving: set[str] = set()
        self.missing: dict[str, datetime] = {}
        self.returned_at: datetime | None = None
        self.by_service: dict[str, list[Endpoint]] = {}
        self.incarnations: dict[str, Endpoint] = {}
        self.on_change: list[Callable[[], None]] = []
        self.refused: dict[str, str] = {}

    def apply(self, snapshot: Snapshot) -> None:
        """Take in what a source gave."""
        for item in self.cache.apply(snapshot):
            if item.value is None:
                self._remove(item)
            else:
                self._decode(item)
        self._index()

    def note_store_returned(self) -> None:
        """Hold endpoints that lapse from now on for a while."""
        self.returned_at = self.clock()

    def ready(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new requests."""
        if self.missing:
            self._drop_missing()
        return self.by_service.get(service, [])

    def by_incarnation(self, name: str) -> Endpoint | None:
        """Return the listed endpoint of a name."""
        return self.incarnations.get(name)

    def _decode(self, item: Item) -> None:
        self.refused.pop(item.key, None)
        match self.decode(item):
            case Ok(Endpoint() as endpoint):
                self._list(item.key, endpoint)
            case Ok(Configuration() as configuration):
                self._put_in_force(configuration)
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

    def _list(self, key: str, endpoint: Endpoint) -> None:
        self.missing.pop(key, None)
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

    def _put_in_force(self, configuration: Configuration) -> None:
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            emit(
                CONFIGURATION_OLD,
                version=configuration.version,
                in_force=present.version,
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
        if self._may_have_lapsed(now) and endpoint.incarnation not in self.leaving:
            self.missing[item.key] = now + self.lapse_grace
            emit(ENDPOINT_MISSING, endpoint=endpoint.incarnation)
            return
        self._drop(item.key)

    def _may_have_lapsed(self, now: datetime) -> bool:
        if self.returned_at is None:
            return False
        return now < self.returned_at + self.lapse_grace

    def _drop_missing(self) -> None:
        now = self.clock()
        over = [key for key, until in self.missing.items() if now >= until]
        for key in over:
            self._drop(key)
        if over:
            self._index()

    def _drop(self, key: str) -> None:
        self.missing.pop(key, None)
        endpoint = self.endpoints.pop(key)
        emit(ENDPOINT_GONE, endpoint=endpoint.incarnation)

    def _index(self) -> None:
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            if endpoint.incarnation not in self.leaving:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self.by_service = by_service
        listed = self.endpoints.values()
        self.incarnations = {one.incarnation: one for one in listed}
        for listener in self.on_change:
            listener()
