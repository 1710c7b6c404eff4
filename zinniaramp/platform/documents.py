"""The store's documents: the configuration, and one entry for each endpoint."""

import json
from datetime import timedelta

from result import Err, Ok, Result

from ..registry.core import DecodedItem, Endpoint, EndpointState, ItemError
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

__all__ = ["decode_item"]

CONFIGURATION_KEY = "op/config"
"""Key of the newest configuration."""

ENDPOINT_PREFIX = "servers/"
"""Prefix of the keys of endpoints; the endpoint's id follows."""

STATES = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}
"""States that an entry may name."""

KINDS = ("safe", "unsafe", "streaming")
"""Kinds of a route."""


class _Document:
    """Checked access to the fields of one JSON object."""

    __slots__ = ("fields", "path")

    def __init__(self, *, fields: object, path: str):
        if not isinstance(fields, dict):
            raise ItemError(f"{path} = {str(fields)[:80]!r} is not an object")
        self.fields = fields
        self.path = path

    def text(self, name: str) -> str:
        value = self.fields.get(name)
        if not isinstance(value, str) or not value:
            raise self.wrong(name, "a text that is not empty")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        value = self.fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise self.wrong(name, "a number of 0 or more")
        return value

    def whole(self, name: str, default: int | None = None) -> int:
        value = self.fields.get(name, default)
        if type(value) is not int or value < 0:
            raise self.wrong(name, "a whole number of 0 or more")
        return value

    def span(self, name: str, default: float | None = None) -> timedelta:
        """Return a field in milliseconds as a time."""
        return timedelta(milliseconds=self.number(name, default))

    def truth(self, name: str) -> bool:
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

    def texts(self, name: str) -> list[str]:
        values = self.fields.get(name, [])
        if not isinstance(values, list) or not all(isinstance(v, str) for v in values):
            raise self.wrong(name, "a list of texts")
        return values

    def wrong(self, name: str, wanted: str) -> ItemError:
        value = str(self.fields.get(name))[:80]
        return ItemError(f"{self.path}.{name} = {value!r} is not {wanted}; correct it")


def _shares(route: _Document) -> tuple[ServiceShare, ...]:
    if "service" in route.fields:
        return (ServiceShare(service=route.text("service"), weight=1),)
    shares = tuple(
        ServiceShare(service=part.text("service"), weight=part.whole("weight"))
        for part in route.parts("split")
    )
    if not shares:
        raise route.wrong("split", "a list with a service")
    return shares


def _repeat(kind: str, route: _Document) -> RetryPolicy:
    if kind == "safe":
        return RetryPolicy.ANY
    if kind == "streaming" and route.truth("resumable"):
        return RetryPolicy.RESUME
    return RetryPolicy.NEVER


def _route(route: _Document) -> Route:
    kind = route.text("route_type")
    if kind not in KINDS:
        raise route.wrong("route_type", f"one of {', '.join(KINDS)}")
    return Route(
        name=route.text("name"),
        host=route.text("hostname").lower(),
        prefix=route.text("prefix"),
        shares=_shares(route),
        repeat=_repeat(kind, route),
        streams=kind == "streaming",
        timeout=route.span("timeout_ms"),
        target=route.span("target_latency_ms", 0),
        gap_target=route.span("target_gap_ms", 0),
        max_attempts=max(1, route.whole("max_attempts", 1)),
        priority=route.whole("priority", 0),
        public=route.truth("public"),
    )


def _routes(document: _Document) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for part in document.parts("routes"):
        route = _route(part)
        by_host.setdefault(route.host, []).append(route)
    for routes in by_host.values():
        routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return {host: tuple(routes) for host, routes in by_host.items()}


def _service(service: _Document) -> Service:
    name = service.text("name")
    if service.fields.get("engine") is None:
        return Service(name=name)
    engine = _Document(fields=service.fields["engine"], path=f"{service.path}.engine")
    return Service(
        name=name,
        kv_capacity_tokens=engine.whole("kv_capacity_tokens"),
        tokens_per_event=engine.whole("stride", 0),
    )


def _workspaces(document: _Document) -> dict[str, Workspace]:
    workspaces = {}
    for tenant in document.parts("tenants"):
        priority = tenant.fields.get("priority")
        workspace = Workspace(
            name=tenant.text("name"),
            priority=None if priority is None else tenant.whole("priority"),
        )
        workspaces.update(dict.fromkeys(tenant.texts("api_keys"), workspace))
    return workspaces


def _limits(document: _Document) -> ClientLimits:
    limits = _Document(fields=document.fields.get("limits"), path="limits")
    return ClientLimits(
        header_bytes=limits.whole("max_header_bytes"),
        body_bytes=limits.whole("max_body_bytes"),
        idle_timeout=limits.span("idle_timeout_ms"),
    )


def _configuration(document: _Document) -> Configuration:
    services = [_service(part) for part in document.parts("services")]
    routes = _routes(document)
    workspaces = _workspaces(document)
    every_route = [route for one in routes.values() for route in one]
    return Configuration(
        version=document.whole("version"),
        routes=routes,
        services={service.name: service for service in services},
        workspaces=workspaces,
        priority_pairs=priority_pairs(every_route, workspaces.values()),
        needs_key="tenants" in document.fields,
        limits=_limits(document),
    )


def _endpoint(name: str, entry: _Document) -> Endpoint:
    state = STATES.get(entry.text("state"))
    if state is None:
        raise entry.wrong("state", f"one of {', '.join(STATES)}")
    entry.whole("sequence")
    entry.text("version")
    try:
        address = parse_address(entry.text("address"))
    except ValueError:
        raise entry.wrong("address", "IPv4:PORT") from None
    return Endpoint(
        id=name,
        started=entry.whole("born", 0),
        service=entry.text("service"),
        data_center=entry.text("zone"),
        address=address,
        slots=entry.whole("slots"),
        state=state,
    )


def decode_item(item: Item) -> Result[DecodedItem, ItemError]:
    """Decode an item of the store that has a value.

    Returns
    -------
    Result
        A `Configuration`, an `Endpoint` or, for keys of other kinds, None.
    """
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
            return Ok(_configuration(document))
        return Ok(_endpoint(name, document))
    except ItemError as error:
        return Err(error)
