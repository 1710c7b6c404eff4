"""Steps for documents and settings with fields of cold endpoints and regions."""

import json
from datetime import timedelta

from behave import given, then
from result import Err, Ok

from features.gateway.configurations import configuration, route
from zinniaramp.platform.documents import decode_item
from zinniaramp.platform.settings import read_host_settings
from zinniaramp.registry import Item

ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 1,
    "state": "ready",
    "sequence": 1,
}
BOUNDS = "grace_s=8;reuse_after_s=2;retry_budget_ratio=0.2;retry_budget_slack=56"
SETTINGS = """node_name="n"
zone="a"
ip="127.0.0.1"
internal_ports=[1,2]
heartbeat_ms=1000
{top}
[listen]
frontend="127.0.0.1:1"
ready="127.0.0.1:2"
control_plane="127.0.0.1:3"
[platform]
address="127.0.0.1:4"
[bounds]
budget_window_s=10
{bounds}
"""


def decode(key, document):
    item = Item(key=key, revision=1, value=json.dumps(document).encode())
    return decode_item(item)


def add(document, name, value):
    return document if value == "absent" else document | {name: json.loads(value)}


@given("an entry whose cold_remaining_ms is {value}")
def entry_with(context, value):
    context.decoded = decode("servers/s", add(ENTRY, "cold_remaining_ms", value))


@then("its endpoint is usable and cold for {milliseconds:g} ms")
def check_cold(context, milliseconds):
    endpoint = context.decoded.ok_value
    assert endpoint.cold_remaining == timedelta(milliseconds=milliseconds), endpoint


@given("a route whose allowed_regions is {value}")
def route_with(context, value):
    read = add(route("read", "safe"), "allowed_regions", value)
    context.decoded = decode("op/config", configuration(routes=[read]))


@then("it allows {regions}")
def check_allowed(context, regions):
    if regions == "no version":
        assert isinstance(context.decoded, Err), context.decoded
        return
    ((read,),) = context.decoded.ok_value.routes.values()
    expected = None if regions == "all" else set(regions.split())
    assert read.allowed_regions == expected, read


@given("settings with {lines}")
def settings_with(context, lines):
    more = [] if lines == "nothing more" else lines.split(";")
    bounds = [line for line in more if line.startswith("cold_")]
    top = [line for line in more if line not in bounds]
    text = SETTINGS.format(
        top="\n".join(top), bounds="\n".join([*BOUNDS.split(";"), *bounds])
    )
    path = context.directory / "settings.toml"
    path.write_text(text)
    context.read = read_host_settings(path)


@then('the bounds are {overshoot:g} and {slack:g}, and the regions "{regions}"')
@then('the bounds are {overshoot:g} and {slack:g}, and the regions ""')
def check_settings(context, overshoot, slack, regions=""):
    assert isinstance(context.read, Ok), context.read
    settings = context.read.ok_value
    bounds = settings.bounds
    assert (bounds.cold_overshoot, bounds.cold_slack) == (overshoot, slack), bounds
    expected = dict(pair.split("=") for pair in regions.split())
    assert settings.regions == expected, settings.regions
