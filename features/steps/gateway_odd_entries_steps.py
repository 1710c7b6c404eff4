"""Steps for entries of other writers among those of the servers."""

import json
import sys
from datetime import timedelta
from functools import partial

from behave import then, when
from result import Err, Ok

from features.gateway.configurations import configuration
from features.gateway.rig import LOOPBACK, store_revision
from zinniaramp.platform.documents import decode_item
from zinniaramp.registry import Item
from zinniaramp.sockets import Address

FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_remaining_ms",
    "sequence",
    "born",
)
"""Fields of an entry."""

SERVER_ADDRESS = "address of s-1"
"""Stands for the address of a server, at which requests would arrive."""

NUMBER_FIELDS = ("slots", "sequence", "born")
"""Fields that hold whole numbers and are used."""

TEXT_FIELDS = ("service", "zone", "version", "state")
"""Fields that hold texts."""

DEEP_LEVELS = 20_000
"""Levels of nesting that no parser of the standard library accepts."""

NEAR_LEVELS = range(sys.getrecursionlimit() - 80, sys.getrecursionlimit() + 1)
"""Levels of nesting that may be parsed, but can fail in what is done next."""

LONG_TEXT = json.dumps("v" * 500_000)
"""A text, as JSON, that fills half of the largest value."""


def entry_with(field, text):
    """Return an entry that is sound but for one field, given as JSON text."""
    fields = {
        "service": "plain",
        "address": SERVER_ADDRESS,
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1000,
        field: "@",
    }
    return json.dumps(fields).replace('"@"', text).encode()


def nested(levels):
    """Return JSON texts with lists, objects and both, nested within each other."""
    pairs = (("[", "]"), ('{"a":', "}"), ('[{"a":', "}]"))
    return [opening * levels + "0" + closing * levels for opening, closing in pairs]


def with_fields(fields, texts):
    """Return entries with each text in each field."""
    return [entry_with(field, text) for field in fields for text in texts]


DOCUMENTS = {
    "deep nesting": [text.encode() for text in nested(DEEP_LEVELS)],
    "deep nesting in each field": with_fields(FIELDS, nested(DEEP_LEVELS)),
    "nesting near the limit": [
        document
        for levels in NEAR_LEVELS
        for document in with_fields(("service", "slots"), nested(levels)[:2])
    ],
    "numbers too large": with_fields(
        NUMBER_FIELDS,
        ("1e400", "9" * 5000, "9" * 4300, "9" * 400, str(2**64), str(2**63)),
    ),
    "numbers that are none": with_fields(
        NUMBER_FIELDS, ("NaN", "-Infinity", "-1", "1.5", "true", '"6"', "null")
    ),
    "ports out of range": with_fields(
        ("address",),
        [
            json.dumps(f"{LOOPBACK}:{port}")
            for port in (0, 65536, 10**30, "9" * 5000, -1, "", "x", "²", "1e3")
        ],
    ),
    "addresses of other kinds": with_fields(
        ("address",), ("5", "[]", '"::1:80"', '"localhost:80"', '"256.0.0.1:80"', '""')
    ),
    "texts that are none": with_fields(TEXT_FIELDS, ("5", "null", "[]", "{}", '""')),
    "texts too long": with_fields(TEXT_FIELDS, (LONG_TEXT,)),
    "texts with control characters": with_fields(
        TEXT_FIELDS, (r'"a\r\nb"', r'"\u0000"', r'"\u007f"')
    ),
    "texts that can't be encoded": with_fields(
        TEXT_FIELDS, (r'"\ud800"', r'"a\udfff"')
    ),
    "documents of other types": [b"5", b"null", b"true", b'"x"', b"[]", b"{}", b""],
    "bytes that can't be read": [b"\xff\xfe\x00", b"\xed\xa0\x80", b'{"a"', b"\x00"],
}
"""Values of odd entries."""

IDS = {
    "ids with control characters": ["a\nb", "a\r\nX: y", "a\x00b", "a b ", "\x7f"],
    "ids with characters beyond ASCII": ["\u0141\u00f3d\u017a", "\u00fc", "\U0001f600"],
    "keys that can't be encoded": ["\udc80", "a\ud800b"],
}
"""Ids of odd entries whose fields are sound."""


def write_odd_entries(rig, oddness):
    """Write the odd entries of one kind between sound changes."""
    sound = entry_with("slots", "6")
    values = {f"odd-{i}": one for i, one in enumerate(DOCUMENTS.get(oddness, ()))}
    values |= dict.fromkeys(IDS.get(oddness, ()), sound)
    address = f"{LOOPBACK}:{rig.servers['s-1'].port}"
    for name, value in values.items():
        listening = value.replace(SERVER_ADDRESS.encode(), address.encode())
        rig.store.put_bytes(f"servers/{name}", listening)


@when('an entry with {oddness} is written, and then the server "{name}" joins')
def write_entries(context, oddness, name):
    rig = context.rig
    write_odd_entries(rig, oddness)
    rig.run(rig.add_server(name))


def known_ids(daemon):
    """Return the ids of the endpoints that a gateway may send to."""
    return {endpoint.id for endpoint in daemon.registry.ready("plain")}


@then('every gateway knows the servers "{names}" and the latest revision')
def check_known(context, names):
    rig, expected = context.rig, set(names.split())

    def is_current(daemon):
        return daemon.registry.cache.revision >= store_revision(rig.store)

    for daemon in rig.daemons:
        rig.run(rig.wait_until(partial(is_current, daemon)))
        assert known_ids(daemon) == expected, known_ids(daemon)


@then("{count:d} requests succeed, and no task has failed")
def check_requests(context, count):
    rig = context.rig

    async def call_all():
        for number in range(count):
            reply = await rig.call("/read/x", name=f"odd-{number}")
            assert reply.status == 200, reply

    rig.run(call_all())
    check_tasks(context)


@then("no task has failed")
def check_tasks(context):
    failed = context.rig.logged_events("task-failed")
    assert not failed, failed


@when("a gateway starts that gets the entries of the store")
def start_gateway(context):
    rig = context.rig
    daemon = rig.run(rig.add_daemon(wait=False))
    rig.run(rig.wait_until(lambda: not daemon.gateway.unready_reason()))


@when("a gateway starts that gets the entries from another gateway")
def start_cut_off_gateway(context):
    rig = context.rig
    peer = rig.daemons[0].settings.peers
    daemon = rig.run(
        rig.add_daemon(seeds=(peer,), wait=False, store=Address(ip=LOOPBACK, port=1))
    )
    rig.run(rig.wait_until(lambda: not daemon.gateway.unready_reason()))


@when(
    'the entry of "{name}" lapses in an outage, is odd when it is back, and time passes'
)
def lapse_and_return_odd(context, name):
    rig = context.rig
    registry = rig.daemons[0].registry
    registry.start_lapse_grace()
    rig.store.remove(f"servers/{name}")
    rig.run(rig.wait_until(lambda: registry.lapsed_until))
    rig.store.put_bytes(f"servers/{name}", b"[]")
    rig.run(rig.wait_until(lambda: registry.refused))
    before = registry.clock
    registry.clock = lambda: before() + timedelta(minutes=1)


@then("a route with an unknown field of any depth of nesting is used, or refused")
def check_nested_unknown_fields(context):
    document = configuration()
    document["routes"][0]["unknown"] = "@"
    for levels in NEAR_LEVELS:
        for text in nested(levels):
            value = json.dumps(document).replace('"@"', text).encode()
            decoded = decode_item(Item(key="op/config", revision=1, value=value))
            is_read = isinstance(decoded, Ok)
            assert is_read or "is not JSON" in str(decoded.err_value), decoded


@then("each field of a configuration with any depth of nesting is refused")
def check_nested_configurations(context):
    document = configuration()
    for levels in NEAR_LEVELS:
        for field in ("version", "routes", "services", "limits", "tenants"):
            for text in nested(levels):
                value = json.dumps(document | {field: "@"}).replace('"@"', text)
                item = Item(key="op/config", revision=1, value=value.encode())
                assert isinstance(decode_item(item), Err), (levels, field)
