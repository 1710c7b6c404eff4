"""Steps for the check of a platform's configuration."""

import copy
import json

from behave import given

from features.gateway.configurations import configuration, route


@given("a platform configuration")
def write_configuration(context):
    document = configuration(
        routes=[
            route("read", "safe", attempts=2),
            route("book", "unsafe"),
            route("tell", "streaming", service="plain"),
        ],
        services=[{"name": "plain"}, {"name": "model"}],
        tenants=[
            {"name": "first", "api_keys": ["secret-1"]},
            {"name": "second", "api_keys": ["secret-2"]},
        ],
    )
    # A copy, because the limits are those of the other features too.
    context.document = copy.deepcopy(document)
    context.files = {
        name: context.directory / f"{name}.json" for name in ("FILE", "OLD")
    }
    for path in context.files.values():
        path.write_text(json.dumps(context.document))


@given("in it {path} is {value}")
def change_configuration(context, path, value):
    node = context.document
    *parents, last = [int(part) if part.isdigit() else part for part in path.split(".")]
    for part in parents:
        node = node[part]
    if last == "split":
        del node["service"]
    node[last] = json.loads(value)
    context.files["FILE"].write_text(json.dumps(context.document))
