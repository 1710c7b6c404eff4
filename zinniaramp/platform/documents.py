"""Decoding of the store's documents: the configuration and the endpoint entries."""

import json
from collections.abc import Generator
from datetime import timedelta
from math import isfinite

from result import Err, Ok, Result

from ..registry.endpoints import DecodedItem, Endpoint, EndpointState, ItemError
from ..registry.evacuations import Evacuation
from ..registry.items import Item
from ..routes import (
    ClientLimits,
    Configuration,
    RetryPolicy,
    Route,
    Service,
    ServiceShare,
    Workspace,
    priority_pairs,
)
from ..sockets import parse_address

__all__ = ["ENDPOINT_PREFIX", "decode_in_parts", "decode_item"]

CONFIGURATION_KEY = "op/config"
"""Key of the current configuration."""

ENDPOINT_PREFIX = "servers/"
"""Prefix of the keys of endpoint entries; the endpoint's id follows it."""

EVACUATION_PREFIX = "op/evacuate/"
"""Prefix of the keys of evacuations; the name of the data centre follows it."""

ENDPOINT_STATES = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}
"""State of an endpoint, by the value of ``state`` in its entry."""

ROUTE_TYPES = ("safe", "unsafe", "streaming")
"""Valid values of ``route_type``."""


MAX_NAME_CHARACTERS = 200
"""Largest number of characters in a name; the store's keys have at most 200 bytes."""

MAX_COLD = timedelta(hours=1)
"""Longest warm-up that is believed; engines are warm within seconds or minutes."""

ROUTES_AT_ONCE = 50
"""Routes that are parsed before other work may run; they take 1 to 2 ms of a core."""

MAX_WHOLE = 2**63 - 1
"""Largest whole number: the one of a signed integer with 64 bits."""


def _shorten(value: object) -> str:
    """Return the start of a value as text, for error messages."""
    try:
        return str(value)[:80]
    except RecursionError:
        return f"a {type(value).__name__} nested too deeply"


class _Document:
    """JSON object whose accessors check the type and range of a field.

    Each accessor raises `ItemError` if the value is not valid.

    Parameters
    ----------
    fields : object
        Parsed JSON; anything but a dict is refused.
    path : str
        Location of the object, for error messages.
    """

    __slots__ = ("fields", "path")

    def __init__(self, *, fields: object, path: str):
        if not isinstance(fields, dict):
            raise ItemError(f"{path} = {_shorten(fields)!r} is not an object")
        self.fields = fields
        self.path = path

    def text(self, name: str) -> str:
        value = self.fields.get(name)
        if not isinstance(value, str) or not value:
            raise self.wrong(name, "a non-empty string")
        return value

    def name(self, name: str) -> str:
        """Return a text that is fit for headers, messages to peers and the log."""
        value = self.text(name)
        if len(value) > MAX_NAME_CHARACTERS or not value.isprintable():
            expected = f"a text of at most {MAX_NAME_CHARACTERS} printable characters"
            raise self.wrong(name, expected)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        value = self.fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise self.wrong(name, "a number >= 0")
        return value

    def optional(self, name: str) -> float:
        """Return a finite number; 0 if it is absent or null."""
        if self.fields.get(name) is None:
            return 0.0
        value = self.number(name)
        if not isfinite(value):
            raise self.wrong(name, "a finite number")
        return value

    def whole(self, name: str, default: int | None = None) -> int:
        value = self.fields.get(name, default)
        if type(value) is not int or not 0 <= value <= MAX_WHOLE:
            raise self.wrong(name, f"an integer from 0 to {MAX_WHOLE}")
        return value

    def duration(self, name: str, default: float | None = None) -> timedelta:
        """Return a field that holds milliseconds."""
        try:
            return timedelta(milliseconds=self.number(name, default))
        except (OverflowError, ValueError):
            raise self.wrong(name, "a duration") from None

    def boolean(self, name: str) -> bool:
        value = self.fields.get(name, False)
        if not isinstance(value, bool):
            raise self.wrong(name, "true or false")
        return value

    def parts(self, name: str) -> list["_Document"]:
        values = self.fields.get(name, [])
        if not isinstance(values, list):
            raise self.wrong(name, "a list")
        return [
            _Document(fields=value, path=f"{self.path}.{name}[{index}]")
            for index, value in enumerate(values)
        ]

    def strings(self, name: str) -> list[str]:
        values = self.fields.get(name, [])
        if not isinstance(values, list) or not all(
            isinstance(value, str) for value in values
        ):
            raise self.wrong(name, "a list of strings")
        return values

    def regions(self, name: str) -> frozenset[str] | None:
        """Return a list of regions; None if it is absent or empty."""
        if self.fields.get(name) is None:
            return None
        return frozenset(self.strings(name)) or None

    def wrong(self, name: str, expected: str) -> ItemError:
        value = _shorten(self.fields.get(name))
        return ItemError(
            f"{self.path}.{name} = {value!r} is not {expected}; correct it"
        )


def _parse_shares(route: _Document) -> tuple[ServiceShare, ...]:
    if "service" in route.fields:
        return (ServiceShare(service=route.text("service"), weight=1),)
    shares = tuple(
        ServiceShare(service=share.text("service"), weight=share.whole("weight"))
        for share in route.parts("split")
    )
    if not shares:
        raise route.wrong("split", "a list of at least one service")
    return shares


def _parse_retry_policy(kind: str, route: _Document) -> RetryPolicy:
    if kind == "safe":
        return RetryPolicy.ANY
    if kind == "streaming" and route.boolean("resumable"):
        return RetryPolicy.RESUME
    return RetryPolicy.NEVER


def _parse_route(route: _Document) -> Route:
    kind = route.text("route_type")
    if kind not in ROUTE_TYPES:
        raise route.wrong("route_type", f"one of {', '.join(ROUTE_TYPES)}")
    return Route(
        name=route.text("name"),
        host=route.text("hostname").lower(),
        prefix=route.text("prefix"),
        shares=_parse_shares(route),
        repeat=_parse_retry_policy(kind, route),
        streams=kind == "streaming",
        timeout=route.duration("timeout_ms"),
        target=route.duration("target_latency_ms", 0),
        gap_target=route.duration("target_gap_ms", 0),
        max_attempts=max(1, route.whole("max_attempts", 1)),
        priority=route.whole("priority", 0),
        public=route.boolean("public"),
        allowed_regions=route.regions("allowed_regions"),
    )


def _route_text(route: _Document) -> str:
    """Return the fields as text, which tells 1 from true; empty if nested too deep."""
    try:
        return repr(route.fields)
    except RecursionError:
        return ""


def _parse_routes(
    document: _Document, known: dict[str, Route]
) -> Generator[None, None, dict[str, tuple[Route, ...]]]:
    """Parse the routes; those that are known by their text are not parsed again."""
    by_host: dict[str, list[Route]] = {}
    for number, route_document in enumerate(document.parts("routes")):
        if number % ROUTES_AT_ONCE == 0:
            yield
        text = _route_text(route_document)
        route = known.get(text)
        if route is None:
            route = _parse_route(route_document)
            if text:
                known[text] = route
        by_host.setdefault(route.host, []).append(route)
    # The longest prefix is matched first.
    for routes in by_host.values():
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return {host: tuple(routes) for host, routes in by_host.items()}


def _parse_service(service: _Document) -> Service:
    name = service.text("name")
    cold_start = min(service.optional("cold_start_s"), MAX_COLD.total_seconds())
    cold_start = timedelta(seconds=cold_start)
    cold_rate = service.optional("cold_per_s")
    if service.fields.get("engine") is None:
        return Service(name=name, cold_start=cold_start, cold_rate=cold_rate)
    engine = _Document(fields=service.fields["engine"], path=f"{service.path}.engine")
    return Service(
        name=name,
        kv_capacity_tokens=engine.whole("kv_capacity_tokens"),
        slots=engine.whole("slots", 0),
        tokens_per_event=engine.whole("stride", 0),
        cold_start=cold_start,
        cold_rate=cold_rate,
    )


def _parse_workspaces(document: _Document) -> dict[str, Workspace]:
    workspaces = {}
    for tenant in document.parts("tenants"):
        priority = tenant.fields.get("priority")
        workspace = Workspace(
            name=tenant.text("name"),
            priority=None if priority is None else tenant.whole("priority"),
            allowed_regions=tenant.regions("allowed_regions"),
        )
        workspaces.update(dict.fromkeys(tenant.strings("api_keys"), workspace))
    return workspaces


def _parse_limits(document: _Document) -> ClientLimits:
    limits = _Document(fields=document.fields.get("limits"), path="limits")
    return ClientLimits(
        header_bytes=limits.whole("max_header_bytes"),
        body_bytes=limits.whole("max_body_bytes"),
        idle_timeout=limits.duration("idle_timeout_ms"),
    )


def _parse_configuration(
    document: _Document, known: dict[str, Route]
) -> Generator[None, None, Configuration]:
    services = [_parse_service(part) for part in document.parts("services")]
    routes = yield from _parse_routes(document, known)
    workspaces = _parse_workspaces(document)
    all_routes = [route for host_routes in routes.values() for route in host_routes]
    return Configuration(
        version=document.whole("version"),
        routes=routes,
        services={service.name: service for service in services},
        workspaces=workspaces,
        priority_pairs=priority_pairs(all_routes, workspaces.values()),
        needs_key="tenants" in document.fields,
        limits=_parse_limits(document),
    )


def _parse_cold_remaining(entry: _Document) -> timedelta:
    """Return how much longer an endpoint is cold; 0 if the entry does not say so.

    An odd value must not take the endpoint out of use.
    """
    value = entry.fields.get("cold_remaining_ms")
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        return timedelta()
    return timedelta(milliseconds=min(value, MAX_COLD / timedelta(milliseconds=1)))


def _parse_endpoint(name: str, entry: _Document) -> Endpoint:
    # The id is sent in a header.
    if not (name.isascii() and name.isprintable()) or " " in name:
        raise ItemError(f"{name!r} is not an id of visible ASCII characters")
    state = ENDPOINT_STATES.get(entry.text("state"))
    if state is None:
        raise entry.wrong("state", f"one of {', '.join(ENDPOINT_STATES)}")
    # This field is required, but its value is not used.
    entry.whole("sequence")
    try:
        address = parse_address(entry.text("address"))
    except ValueError:
        raise entry.wrong("address", "IPv4:PORT") from None
    return Endpoint(
        id=name,
        started=entry.whole("born", 0),
        service=entry.name("service"),
        version=entry.name("version"),
        data_center=entry.name("zone"),
        address=address,
        slots=entry.whole("slots"),
        state=state,
        cold_remaining=_parse_cold_remaining(entry),
    )


def decode_item(item: Item) -> Result[DecodedItem, ItemError]:
    """Decode an item of the store, which must not be a tombstone.

    Returns
    -------
    Result
        A `Configuration`, an `Endpoint` or an `Evacuation`; None if the key belongs to
        none of them; or an `ItemError` if the document is not valid.
    """
    parts = decode_in_parts(item, {})
    while True:
        try:
            next(parts)
        except StopIteration as end:
            return end.value


def decode_in_parts(
    item: Item, known: dict[str, Route]
) -> Generator[None, None, Result[DecodedItem, ItemError]]:
    """Decode an item like `decode_item`, and yield where other work may run.

    Parameters
    ----------
    item : Item
        Item with a value.
    known : dict of Route
        Parsed routes by their text; those of the item are added.
    """
    if item.key.startswith(EVACUATION_PREFIX):
        # Its existence counts, whatever its value is.
        data_center = item.key.removeprefix(EVACUATION_PREFIX)
        return Ok(Evacuation(data_center=data_center) if data_center else None)
    is_configuration = item.key == CONFIGURATION_KEY
    name = item.key.removeprefix(ENDPOINT_PREFIX)
    if not is_configuration and (name == item.key or not name):
        return Ok(None)
    try:
        fields = json.loads(item.value or b"")
    except (ValueError, RecursionError) as error:
        return Err(ItemError(f"{item.key} is not JSON: {error}; publish it again"))
    try:
        document = _Document(fields=fields, path=item.key)
        if is_configuration:
            return Ok((yield from _parse_configuration(document, known)))
        return Ok(_parse_endpoint(name, document))
    except ItemError as error:
        return Err(error)
