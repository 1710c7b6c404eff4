"""Steps about the order of revisions, which compare the store with a reference."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from random import Random

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import strategies as st

from zinniaramp.configuration import (
    ConfigurationFollower,
    PublishedRevision,
    RevisionStore,
    accept_revision,
    apply_sections,
    is_reader,
    make_section,
    make_sections_reply,
    verify_published,
)
from zinniaramp.configuration.sections import MAX_CONTENT_BYTES, revision_digest
from zinniaramp.contracts import MAX_FRAME_BYTES, RevisionId, SectionsRequest, encode
from zinniaramp.declarations import read_declarations
from zinniaramp.hosts import Host, HostState, HostView
from zinniaramp.links import Connection

INITIAL_REVISION = RevisionId(index=0, digest="")
NOW = datetime(2026, 1, 1, tzinfo=UTC)
REPLY_PART_BYTES = 10_000

CONTENTS = (
    ("[class a]\ntier = 1\n",),
    ("[class a]\ntier = 1\n", "[class b]\ntier = 2\n"),
    ("[class a]\ntier = 2\n", "[class b]\ntier = 2\n"),
    ("[class a]\ntier = 99\n",),
    (),
)
VALID = (True, True, True, False, False)


@dataclass(slots=True, kw_only=True)
class Arrival:
    """A revision received from the service or from a peer, possibly damaged."""

    source: str
    index: int
    content: int
    is_damaged: bool
    request_age_steps: int


ARRIVALS = st.builds(
    Arrival,
    source=st.sampled_from(["service", "peer"]),
    index=st.integers(0, 6),
    content=st.integers(0, len(CONTENTS) - 1),
    is_damaged=st.booleans(),
    request_age_steps=st.integers(0, 3),
)
HISTORIES = st.lists(ARRIVALS, max_size=12)


def make_store():
    """Return a store without any declarations."""
    initial = read_declarations("", file="", revision=INITIAL_REVISION).unwrap()
    return RevisionStore(initial=initial, clock=lambda: NOW)


def make_follower(store):
    """Return a follower without a service; the steps pass it published revisions."""
    return ConfigurationFollower(
        url="",
        name="host-1",
        data_centre="dc-1",
        store=store,
        hosts=HostView(),
        read_json=None,
        clock=store.clock,
        random=Random(1),
    )


def make_revision(index, texts):
    """Return a revision with correct digests."""
    sections = tuple(map(make_section, texts))
    revision = RevisionId(index=index, digest=revision_digest(sections))
    return PublishedRevision(revision=revision, sections=sections)


def service_answer(arrival):
    """Return the configuration service's answer, as parsed JSON."""
    whole = make_revision(arrival.index, CONTENTS[arrival.content])
    sections = [
        {"digest": section.digest, "text": section.text} for section in whole.sections
    ]
    if arrival.is_damaged and sections:
        sections[-1]["text"] += "# changed on the way\n"
    digest = whole.revision.digest
    if arrival.is_damaged and not sections:
        digest = "0"
    return {"index": arrival.index, "digest": digest, "sections": sections}


class StoreWithReference:
    """A store with its follower, and a simple reference model of the same history."""

    def __init__(self):
        self.store = make_store()
        self.follower = make_follower(self.store)
        self.requests = [self.request()]
        self.index = 0
        self.texts = ()

    def request(self):
        """Return the request that the store would send to a peer now."""
        return self.store.record_peer_revision(
            RevisionId(index=10**9, digest="")
        ) or SectionsRequest(
            known_digests=[section.digest[:16] for section in self.store.sections]
        )

    def apply(self, arrival):
        """Apply one received revision to the store and to the reference model."""
        if arrival.source == "service":
            self.apply_from_service(arrival)
        else:
            self.apply_from_peer(arrival)
        self.requests.append(self.request())

    def apply_from_service(self, arrival):
        """Apply an answer of the service."""
        verified = verify_published(service_answer(arrival))
        if verified.is_ok():
            self.follower.accept_published(verified.unwrap())
        if not arrival.is_damaged:
            self.apply_to_reference(arrival)

    def apply_from_peer(self, arrival):
        """Apply a peer's reply to the latest request or to an earlier one."""
        peer = make_store()
        whole = make_revision(arrival.index, CONTENTS[arrival.content])
        peer.sections = whole.sections
        peer.declarations = peer.declarations.__class__(
            revision=whole.revision,
            defaults=peer.declarations.defaults,
            classes={},
            workspaces={},
            models={},
            services={},
            exceptions={},
        )
        request = self.requests[
            -1 - min(arrival.request_age_steps, len(self.requests) - 1)
        ]
        reply = make_sections_reply(peer, request)
        if arrival.is_damaged and reply.texts:
            reply.texts[-1] += "# changed on the way\n"
        texts = CONTENTS[arrival.content]
        is_complete = set(texts) <= {*self.texts, *reply.texts}
        apply_sections(self.store, reply)
        if is_complete:
            self.apply_to_reference(arrival)

    def apply_to_reference(self, arrival):
        """Put a revision in force in the reference model if it is higher and valid."""
        if arrival.index > self.index and VALID[arrival.content]:
            self.index = arrival.index
            self.texts = CONTENTS[arrival.content]

    def check(self, before):
        """Assert that store and reference have the same revision, not a lower one."""
        held = tuple(section.text for section in self.store.sections)
        assert self.store.revision().index >= before, "lower than before"
        assert self.store.revision().index == self.index
        assert held == self.texts
        tiers = {name: one.tier for name, one in self.store.current().classes.items()}
        assert len(tiers) == len(self.texts)


@given("any history of stale, repeated, reordered and refused revisions")
def any_history(context):
    context.cases = HISTORIES


@when("the store and a reference model process it")
def apply_history(context):
    @for_any(context.cases)
    def check(history):
        state = StoreWithReference()
        for arrival in history:
            before = state.store.revision().index
            state.apply(arrival)
            state.check(before)

    context.check = check


@then("after each step both have the same revision, and it is never lower")
@then("both have the higher revision of the two")
@then("3 live hosts of each data centre are readers, or all if there are fewer")
def run_check(context):
    context.check()


@given("two stores with any histories of revisions")
def any_two_histories(context):
    context.cases = (HISTORIES, HISTORIES)


@when("they report their revisions to each other and exchange sections")
def exchange_revisions(context):
    @for_any(*context.cases)
    def check(first, second):
        states = StoreWithReference(), StoreWithReference()
        for state, history in zip(states, (first, second), strict=True):
            for arrival in history:
                state.apply(arrival)
        one, other = (state.store for state in states)
        highest = max(one.revision().index, other.revision().index)
        for store, peer in ((one, other), (other, one)):
            store.requested_revision = None
            request = store.record_peer_revision(peer.revision())
            if request is not None:
                apply_sections(store, make_sections_reply(peer, request))
        assert one.revision().index == other.revision().index == highest

    context.check = check


@given("a store with {count:d} sections of a megabyte in all")
def large_store(context, count):
    padding = MAX_CONTENT_BYTES // count - 64 - len("[workspace w-00000]\n#")
    texts = [f"[workspace w-{i:05}]\n#{'x' * padding}" for i in range(count)]
    context.store = make_store()
    accept_revision(context.store, make_revision(1, texts), source="test").unwrap()


@when("a peer without any of them requests its sections")
def request_sections(context):
    context.peer = make_store()
    request = context.peer.record_peer_revision(context.store.revision())
    context.reply = make_sections_reply(context.store, request)


@then("the encoded reply is below half of the largest frame")
def check_reply_size(context):
    assert len(encode(context.reply)) < MAX_FRAME_BYTES / 2


@then("the peer has the same revision")
def check_peer_revision(context):
    apply_sections(context.peer, context.reply).unwrap()
    assert context.peer.revision() == context.store.revision()


class PartialStream:
    """Stream that returns given bytes, for a connection."""

    max_write_buffer_size = None

    def __init__(self, data):
        self.data = data

    def set_nodelay(self, value):
        """Accept the option."""

    async def read_bytes(self, count, partial):
        """Return the next part of the bytes."""
        part, self.data = self.data[:REPLY_PART_BYTES], self.data[REPLY_PART_BYTES:]
        return part


@given("a store that has requested sections over a stream of a peer")
def request_over_stream(context):
    context.now = NOW
    store = make_store()
    store.clock = lambda: context.now
    peer = make_store()
    accept_revision(peer, make_revision(1, ["#" * 200_000]), source="test").unwrap()
    context.report = lambda: store.record_peer_revision(
        peer.revision(), is_receiving=context.connection.is_receiving
    )
    context.connection = Connection(
        stream=PartialStream(b""), peer="peer", clock=store.clock
    )
    context.request = context.report()
    reply = make_sections_reply(peer, context.request)
    context.connection.stream.data = encode(reply)


@when(
    "part of the reply arrives each second for {count:d} s, "
    "and the peer reports its revision"
)
def receive_parts(context, count):
    context.requests = []
    for _ in range(count):
        context.now += timedelta(seconds=1)
        messages = asyncio.run(context.connection.receive()).unwrap()
        context.requests.append(context.report())
        assert not messages


@then("the sections are requested again only {count:d} s after the last part")
def check_requests(context, count):
    for _ in range(count):
        assert not any(context.requests), context.requests
        context.now += timedelta(seconds=1)
        context.requests.append(context.report())
    assert context.requests[-1] == context.request


HOSTS = st.lists(
    st.builds(
        Host,
        name=st.integers(0, 40).map("host-{}".format),
        data_centre=st.sampled_from(["dc-1", "dc-2"]),
        role=st.just("endpoint"),
        address=st.just(""),
        state=st.sampled_from(list(HostState)),
    ),
    unique_by=lambda host: host.name,
    max_size=20,
)


@given("any list of hosts")
def any_hosts(context):
    context.cases = HOSTS


@when("each host determines whether it is a reader")
def determine_readers(context):
    @for_any(context.cases)
    def check(hosts):
        live = [host for host in hosts if host.state is HostState.LIVE]
        readers = Counter(
            host.data_centre
            for host in live
            if is_reader(host.name, host.data_centre, hosts)
        )
        for data_centre, count in Counter(host.data_centre for host in live).items():
            assert readers[data_centre] == min(3, count)

    context.check = check
