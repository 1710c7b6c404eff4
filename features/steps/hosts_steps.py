"""Steps about following the list of hosts."""

from behave import given, then, when

from features.platform_bench import HostListBench
from zinniaramp.standins.hosts import HostEntry


def parse_entries(text):
    """Return the host entries described by a text such as ``a live, b leaving``."""
    pairs = [item.split() for item in text.split(", ")]
    return [
        HostEntry(name=name, data_centre="dc-1", role="endpoint", state=state)
        for name, state in pairs
    ]


def format_view(view):
    """Return the hosts of a view in the format of `parse_entries`."""
    return ", ".join(f"{host.name} {host.state}" for host in view.hosts.values())


@given('a host list at index {index:d} with "{text}"')
def open_list(context, index, text):
    context.bench = HostListBench()
    context.add_cleanup(context.bench.close)
    context.bench.set_list(parse_entries(text), index=index)
    check_view(context, text)


@when('the list at index {index:d} becomes "{text}"')
def change_list(context, index, text):
    context.bench.set_list(parse_entries(text), index=index)


@when("the host list refuses every request")
def refuse(context):
    context.bench.set_faults(refuse=True)


@then('the view is "{text}"')
def check_view(context, text):
    context.bench.wait_until(lambda: format_view(context.bench.view) == text)


@then('after {reads:d} more reads there is {count:d} event "{name}"')
def check_event_count(context, reads, count, name):
    bench = context.bench
    requests = len(bench.controls.log)
    bench.wait_until(lambda: len(bench.controls.log) >= requests + reads)
    assert len(bench.events_named(name)) == count
