"""Types of what the store's items are decoded into."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from result import Result

from ..routes import Configuration
from ..sockets import Address
from .evacuations import Evacuation
from .items import Item, Snapshot

__all__ = [
    "DecodedItem",
    "Endpoint",
    "EndpointState",
    "ItemDecoder",
    "ItemError",
    "PrepareItems",
    "prepare_nothing",
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
    version : str
        Version of its software.
    data_center : str
        Name of its data centre.
    address : Address
        Address on which it listens.
    slots : int
        Number of requests that it runs concurrently.
    state : EndpointState
        State that it reports.
    cold_remaining : timedelta
        How much longer it is cold, as of its entry.  It changes with each write of the
        entry, and does not distinguish endpoints.
    """

    id: str
    started: int
    service: str
    version: str
    data_center: str
    address: Address
    slots: int
    state: EndpointState
    cold_remaining: timedelta = field(default=timedelta(), compare=False)

    @property
    def incarnation(self) -> str:
        """Name that is unique to this start of the endpoint."""
        return f"{self.id}@{self.started}"


DecodedItem = Endpoint | Configuration | Evacuation | None
"""Result of decoding an item; None if items of its kind are not used."""

ItemDecoder = Callable[[Item], Result[DecodedItem, ItemError]]
"""Function that decodes an item with a value."""

PrepareItems = Callable[[Snapshot], Awaitable[None]]
"""Decodes the large items of a snapshot without making other work wait for long."""


async def prepare_nothing(_: Snapshot) -> None:
    """Leave all decoding to the application of a snapshot."""
