"""Steps for software versions that served for a moment."""

import json
from datetime import UTC, datetime, timedelta

from behave import given, then, when

from zinniaramp.platform.documents import decode_item
from zinniaramp.registry import Item, Registry, Snapshot, StoreRevision

SERVICE = "plain"


class FollowedRegistry:
    """A registry and the revision of the last answer that it got."""

    def __init__(self):
        self.now = datetime(2026, 1, 1, tzinfo=UTC)
        self.revision = 0
        self.registry = Registry(
            decode=decode_item,
            lapse_grace=timedelta(seconds=2),
            entry_lifetime=timedelta(seconds=3.6),
            clock=lambda: self.now,
        )

    def item(self, name, value):
        """Return the next change of an endpoint's entry."""
        self.revision += 1
        return Item(key=f"servers/{name}", revision=self.revision, value=value)

    def get(self, *items, is_complete=False):
        """Let the registry get an answer of the store."""
        revision = StoreRevision(era=0, number=self.revision)
        snapshot = Snapshot(revision=revision, items=items, is_complete=is_complete)
        self.registry.apply(snapshot)

    def served(self, seconds):
        """Return the versions that served lately; None if not all of them are known."""
        age = timedelta(seconds=seconds)
        versions = self.registry.versions
        return versions.lately(SERVICE, age) if versions.is_known(age) else None


def entry(version):
    """Return the entry of an endpoint."""
    fields = {
        "service": SERVICE,
        "address": "127.0.0.1:80",
        "zone": "a",
        "version": version,
        "slots": 6,
        "state": "ready",
        "sequence": 1,
    }
    return json.dumps(fields).encode()


@given('a registry that has followed an endpoint of "{version}" for {seconds:d} s')
def follow(context, version, seconds):
    followed = context.followed = FollowedRegistry()
    context.first = followed.item("s-1", entry(version))
    followed.get(context.first, is_complete=True)
    followed.now += timedelta(seconds=seconds)


@when('an endpoint of "{version}" comes and goes, and the registry gets {answer}')
def come_and_go(context, version, answer):
    followed = context.followed
    joined = followed.item("s-2", entry(version))
    if answer == "each change by itself":
        followed.get(joined)
    left = followed.item("s-2", None)
    match answer:
        case "each change by itself" | "the removal alone, as from a peer":
            followed.get(left)
        case "both changes in one answer":
            followed.get(joined, left)
        case "a full read, as after a compaction":
            followed.get(context.first, is_complete=True)


@when("an unreadable entry comes and goes")
def unreadable_comes_and_goes(context):
    followed = context.followed
    followed.get(followed.item("s-2", b"[]"))
    followed.get(followed.item("s-2", None))


@then('it knows that "{version}" has served in the last {seconds:d} s')
def check_knows(context, version, seconds):
    assert version in context.followed.served(seconds)


@then('it knows of a gap, or that "{version}" has served in the last {seconds:d} s')
def check_knows_of_gap(context, version, seconds):
    served = context.followed.served(seconds)
    assert served is None or version in served, served


@then('it knows that only "{version}" has served in the last {seconds:d} s')
def check_knows_only(context, version, seconds):
    served = context.followed.served(seconds)
    assert served == {version}, served


@then(
    '{later:d} s later it knows that only "{version}" has served '
    "in the last {seconds:d} s"
)
def check_later(context, later, version, seconds):
    context.followed.now += timedelta(seconds=later)
    check_knows_only(context, version, seconds)
