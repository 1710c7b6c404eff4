"""Steps about following the list of hosts."""

from behave import given, then, when

from features.platform_bench import HostListBench
from zinniaramp.standins.hosts import HostEntry


def entries_of(text):
    """Return the hosts that a text such as ``a live, b leaving`` names."""
    pairs = [one.split() for one in text.split(", ")]
    return [
        HostEntry(name=name, data_centre="dc-1", role="endpoint", state=state)
        for name, state in pairs
    ]


def view_text(view):
    """Return the hosts of a view as such a text."""
    return ", ".join(f"{one.name} {one.state}" for one in view.hosts.values())


@given('a host list at index {index:d} with "{text}"')
def open_list(context, index, text):
    context.bench = HostListBench()
    context.add_cleanup(context.bench.close)
    context.bench.set_list(entries_of(text), index=index)
    check_view(context, text)


@when('the list at index {index:d} becomes "{text}"')
def change_list(context, index, text):
    context.bench.set_list(entries_of(text), index=index)


@when("the host list refuses every call")
def refuse(context):
    context.bench.set_faults(refuse=True)


@then('the view is "{text}"')
def check_view(context, text):
    context.bench.wait_until(lambda: view_text(context.bench.view) == text)


@then('after {reads:d} more reads there is {count:d} event "{name}"')
def check_count(context, reads, count, name):
    bench = context.bench
    calls = len(bench.controls.log)
    bench.wait_until(lambda: len(bench.controls.log) >= calls + reads)
    assert len(bench.events_named(name)) == count
