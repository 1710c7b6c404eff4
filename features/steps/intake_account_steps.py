"""Steps for the account of memory and descriptors, without a network."""

from datetime import UTC, datetime, timedelta

from behave import given, then, when

from zinniaramp.intake import Account, Kind, Phase, derive_limits

MEBIBYTE = 1024 * 1024


class Caller:
    """A connection that is evicted by recording it."""

    def __init__(self, context, kind=Kind.CALLER):
        self.evicted_in = None
        self.holder = context.account.open(kind, self._record)

    def _record(self, phase):
        self.evicted_in = phase


@given(
    "a host with {memory:d} MiB and {descriptors:d} descriptors, of which an idle "
    "process takes {resident:d} MiB"
)
def make_account(context, memory, descriptors, resident):
    context.now = datetime(2026, 1, 1, tzinfo=UTC)
    context.account = Account(
        limits=derive_limits(
            memory_mb=memory,
            max_fds=descriptors,
            resident_bytes=resident * MEBIBYTE,
        ),
        clock=lambda: context.now,
    )
    context.groups = []


def add_group(context, count, kind=Kind.CALLER):
    group = []
    for _ in range(count):
        group.append(Caller(context, kind))
        context.now += timedelta(milliseconds=1)
    context.groups.append(group)
    return group


def evicted(group):
    return [one for one in group if one.evicted_in is not None]


@then("connections may hold {budget:g} MiB and {sockets:d} sockets")
def has_limits(context, budget, sockets):
    limits = context.account.limits
    assert limits.budget == budget * MEBIBYTE, limits
    assert limits.sockets == sockets, limits


@when("a body of {size:d} bytes is announced")
def announce_body(context, size):
    context.last = Caller(context)
    context.is_admitted = context.last.holder.reserve(size)
    context.last.holder.enter(Phase.BODY)


@when("it ends")
def ends(context):
    context.last.holder.end_run()


@then("it is admitted")
def is_admitted(context):
    assert context.is_admitted
    assert context.account.held <= context.account.limits.budget


@then("it is refused")
def is_refused(context):
    assert not context.is_admitted


@when("{count:d} bodies of {size:d} bytes stop short")
def stop_short(context, count, size):
    for one in add_group(context, count):
        one.holder.reserve(size)
        one.holder.enter(Phase.BODY)


@when("{seconds:d} s pass at the account")
def passes(context, seconds):
    context.now += timedelta(seconds=seconds)


@then("some of the first 17 were evicted, and none of the 40")
def large_evicted(context):
    large, small = context.groups
    assert 0 < len(evicted(large)) < len(large), len(evicted(large))
    assert not evicted(small)
    assert {one.evicted_in for one in evicted(large)} == {Phase.BODY}


@when("{count:d} requests with bodies of {size:d} bytes are in work")
def in_work(context, count, size):
    for one in add_group(context, count):
        assert one.holder.reserve(size)
        assert context.account.begin_run(one.holder)


@then("nobody was evicted")
def nobody_evicted(context):
    assert not [one for group in context.groups for one in evicted(group)]


@when("{count:d} connections have had an answer")
def had_answer(context, count):
    for one in add_group(context, count):
        assert context.account.begin_run(one.holder)
        one.holder.end_run()
        one.holder.enter(Phase.IDLE)


@when("{count:d} connections send nothing")
def send_nothing(context, count):
    for one in add_group(context, count):
        assert one.holder is not None


@then("the first 40 of the 130 were evicted")
def oldest_evicted(context):
    idle, unused, new = context.groups
    assert evicted(unused) == unused[:40], len(evicted(unused))
    assert not evicted(idle)
    assert not evicted(new)


@then("no further connection is admitted")
def none_admitted(context):
    assert Caller(context).holder is None
    nobody_evicted(context)


@when("the process is measured with {resident:d} MiB")
def measure(context, resident):
    context.account.adjust(resident * MEBIBYTE)
    context.account.relieve()


@then("connections hold at most {size:d} MiB")
def hold_at_most(context, size):
    assert context.account.held <= size * MEBIBYTE, context.account.held


@when("{count:d} connections to the readiness listener send nothing")
def check_readiness(context, count):
    add_group(context, count, Kind.READINESS)


@then("64 of them are open, and nobody else was evicted")
def readiness_bounded(context):
    idle, checkers = context.groups
    assert context.account.counts[Kind.READINESS] == 64
    assert len(evicted(checkers)) == len(checkers) - 64
    assert not evicted(idle)
