"""Checks of a configuration document before it is published, and its differences.

The document is decoded like the one in the store.  Values of API keys appear in no
result.
"""

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from ..registry.endpoints import ItemError
from ..registry.items import Item
from ..routes import Configuration, RetryPolicy, Route
from .documents import CONFIGURATION_KEY, decode_item

__all__ = [
    "CheckedConfiguration",
    "DocumentChange",
    "Finding",
    "configuration_changes",
    "find_mistakes",
    "find_notices",
    "read_configuration",
]

SECRET_FIELD = "api_keys"
"""Field of a workspace whose values are never printed."""

NAMED_LISTS = {"route": "routes", "service": "services", "workspace": "tenants"}
"""Lists of the document whose entries have names, by the kind of the entry."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Finding:
    """Something in a configuration that is wrong or has no effect.

    Parameters
    ----------
    place : str
        Entry that it is about.
    problem : str
        What is wrong.
    remedy : str
        What to do.
    """

    place: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}; {self.remedy}"


@dataclass(slots=True, kw_only=True, frozen=True)
class DocumentChange:
    """Difference between two configurations.

    Parameters
    ----------
    kind : str
        ``added``, ``removed`` or ``changed``.
    place : str
        Entry that differs.
    field : str
        Field that changed; empty if the entry was added or removed.
    old, new : str
        Values of the field as JSON, or the number of API keys; empty if absent.
    """

    kind: str
    place: str
    field: str = ""
    old: str = ""
    new: str = ""

    def __str__(self) -> str:
        if self.kind == "changed":
            old, new = self.old or "(absent)", self.new or "(absent)"
            return f"~ {self.place} {self.field} = {old} -> {new}"
        return f"{'+' if self.kind == 'added' else '-'} {self.place}"


@dataclass(slots=True, kw_only=True, frozen=True)
class CheckedConfiguration:
    """A configuration that gateways would accept.

    Parameters
    ----------
    document : dict
        Parsed JSON.
    decoded : Configuration
        The configuration as gateways decode it.
    """

    document: dict
    decoded: Configuration

    def routes(self) -> list[Route]:
        """Return all routes."""
        return [one for routes in self.decoded.routes.values() for one in routes]

    def entries(self, name: str) -> list[dict]:
        """Return the entries of a list of the document."""
        return self.document.get(name, [])


def read_configuration(text: bytes) -> Result[CheckedConfiguration, Finding]:
    """Decode a configuration document.

    Parameters
    ----------
    text : bytes
        JSON as it is published.

    Returns
    -------
    Result
        The configuration; or the first error for which gateways would refuse it.
    """
    item = Item(key=CONFIGURATION_KEY, revision=0, value=text)
    match decode_item(item):
        case Ok(decoded):
            document = json.loads(text)
            return Ok(CheckedConfiguration(document=document, decoded=decoded))
        case Err(error):
            return Err(_refusal(error))


def _refusal(error: ItemError) -> Finding:
    problem = str(error)
    if "tenants" in problem:
        # The refused value may contain API keys.
        problem = re.sub(r" = .* is not ", " is not ", problem, flags=re.DOTALL)
    remedy = "gateways would refuse the document"
    return Finding(place=CONFIGURATION_KEY, problem=problem, remedy=remedy)


def find_mistakes(configuration: CheckedConfiguration) -> list[Finding]:
    """Return entries that never match or are ambiguous, and contradictory limits."""
    return [
        *_unreachable_routes(configuration),
        *_unknown_services(configuration),
        *_shared_keys(configuration),
        *_duplicate_names(configuration),
        *_contradictory_routes(configuration),
        *_contradictory_limits(configuration),
    ]


def find_notices(configuration: CheckedConfiguration) -> list[Finding]:
    """Return entries that are harmless and have no effect."""
    findings = []
    used = {share.service for one in configuration.routes() for share in one.shares}
    for name in configuration.decoded.services:
        if name not in used:
            problem, remedy = "no route leads to it", "add a route or remove it"
            findings.append(
                Finding(place=f"service {name}", problem=problem, remedy=remedy)
            )
    for tenant in configuration.entries("tenants"):
        if not tenant.get(SECRET_FIELD):
            place = f"workspace {tenant['name']}"
            problem = "it has no keys, so that no request belongs to it"
            remedy = "add a key or remove it"
            findings.append(Finding(place=place, problem=problem, remedy=remedy))
    for route in configuration.routes():
        if route.repeat is RetryPolicy.NEVER and route.max_attempts > 1:
            place = f"route {route.name}"
            problem = (
                f"max_attempts = {route.max_attempts}, but its requests are repeated "
                "only if they have not run"
            )
            remedy = "set it to 1 unless that is meant"
            findings.append(Finding(place=place, problem=problem, remedy=remedy))
    return findings


def _unreachable_routes(configuration: CheckedConfiguration) -> Iterable[Finding]:
    for host, routes in configuration.decoded.routes.items():
        first_by_prefix: dict[str, Route] = {}
        for route in routes:
            place = f"route {route.name}"
            first = first_by_prefix.setdefault(route.prefix, route)
            if first is not route:
                problem = f"route {first.name} has the same host and prefix and wins"
                remedy = "remove one of them or change its prefix"
                yield Finding(place=place, problem=problem, remedy=remedy)
            if not route.prefix.startswith("/"):
                problem = f"no path begins with its prefix {route.prefix!r}"
                remedy = "begin the prefix with /"
                yield Finding(place=place, problem=problem, remedy=remedy)
            if ":" in host:
                problem = f"hosts are compared without a port, unlike {host!r}"
                yield Finding(place=place, problem=problem, remedy="remove the port")


def _unknown_services(configuration: CheckedConfiguration) -> Iterable[Finding]:
    for route in configuration.routes():
        place = f"route {route.name}"
        for share in route.shares:
            if share.service not in configuration.decoded.services:
                problem = f"service {share.service} does not exist"
                remedy = "add the service or correct the name"
                yield Finding(place=place, problem=problem, remedy=remedy)
            if not share.weight:
                problem = f"its share for service {share.service} has the weight 0"
                remedy = "remove the share or give it a weight"
                yield Finding(place=place, problem=problem, remedy=remedy)


def _shared_keys(configuration: CheckedConfiguration) -> Iterable[Finding]:
    owners = defaultdict(list)
    for tenant in configuration.entries("tenants"):
        for key in set(tenant.get(SECRET_FIELD, ())):
            owners[key].append(tenant["name"])
    shared = Counter(tuple(names) for names in owners.values() if len(names) > 1)
    for names, count in shared.items():
        place = f"workspaces {', '.join(names)}"
        problem = f"they have {count} API keys in common, which count for {names[-1]}"
        yield Finding(place=place, problem=problem, remedy="give each its own keys")


def _duplicate_names(configuration: CheckedConfiguration) -> Iterable[Finding]:
    for kind, field in NAMED_LISTS.items():
        names = Counter(entry["name"] for entry in configuration.entries(field))
        for name, count in names.items():
            if count > 1:
                place, problem = f"{kind} {name}", f"{count} entries have this name"
                remedy = "rename or remove all but one"
                yield Finding(place=place, problem=problem, remedy=remedy)


def _contradictory_routes(configuration: CheckedConfiguration) -> Iterable[Finding]:
    for route in configuration.routes():
        for name, target in (
            ("target_latency_ms", route.target),
            ("target_gap_ms", route.gap_target),
        ):
            if target > route.timeout:
                yield Finding(
                    place=f"route {route.name}",
                    problem=f"{name} is above timeout_ms",
                    remedy="lower the target or raise the timeout",
                )


def _contradictory_limits(configuration: CheckedConfiguration) -> Iterable[Finding]:
    limits = configuration.document["limits"]
    header_ms = _number(limits, "header_timeout_ms")
    if limits["idle_timeout_ms"] < header_ms:
        yield Finding(
            place="limits",
            problem="idle_timeout_ms is below header_timeout_ms",
            remedy="raise the one or lower the other",
        )
    for service in configuration.entries("services"):
        is_limited = _number(service, "cold_per_s") > 0
        if is_limited and not _number(service, "cold_start_s"):
            yield Finding(
                place=f"service {service['name']}",
                problem="cold_per_s has no effect without cold_start_s",
                remedy="set cold_start_s, or cold_per_s to 0",
            )


def _number(fields: dict, name: str) -> float:
    """Return a number that older decoders don't check; 0 if it is absent or none."""
    value = fields.get(name, 0)
    return value if isinstance(value, int | float) else 0


def configuration_changes(
    old: CheckedConfiguration, new: CheckedConfiguration
) -> list[DocumentChange]:
    """Return the differences from one configuration to another.

    Parameters
    ----------
    old : CheckedConfiguration
        Configuration in force.
    new : CheckedConfiguration
        Configuration to publish.
    """
    changes = []
    for kind, field in NAMED_LISTS.items():
        before = {entry["name"]: entry for entry in old.entries(field)}
        after = {entry["name"]: entry for entry in new.entries(field)}
        for name in dict.fromkeys([*before, *after]):
            place = f"{kind} {name}"
            if name not in before:
                changes.append(DocumentChange(kind="added", place=place))
            elif name not in after:
                changes.append(DocumentChange(kind="removed", place=place))
            else:
                changes += _field_changes(place, before[name], after[name])
    limits = (old.document["limits"], new.document["limits"])
    return changes + _field_changes("limits", *limits)


def _field_changes(place: str, old: dict, new: dict) -> list[DocumentChange]:
    changes = []
    for name in dict.fromkeys([*old, *new]):
        if old.get(name) == new.get(name) and (name in old) == (name in new):
            continue
        if name == SECRET_FIELD:
            before, after = set(old.get(name, ())), set(new.get(name, ()))
            old_text = f"{len(before)} keys"
            new_text = f"{len(after - before)} added, {len(before - after)} removed"
        else:
            old_text = json.dumps(old[name]) if name in old else ""
            new_text = json.dumps(new[name]) if name in new else ""
        changes.append(
            DocumentChange(
                kind="changed", place=place, field=name, old=old_text, new=new_text
            )
        )
    return changes
