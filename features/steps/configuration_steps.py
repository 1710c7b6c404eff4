"""Steps about the order of revisions; a naive version goes beside the store."""

from collections import Counter
from dataclasses import dataclass
from datetime import UTC, datetime
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

NO_REVISION = RevisionId(index=0, digest="")
NOW = datetime(2026, 1, 1, tzinfo=UTC)

CONTENTS = (
    ("[class a]\ntier = 1\n",),
    ("[class a]\ntier = 1\n", "[class b]\ntier = 2\n"),
    ("[class a]\ntier = 2\n", "[class b]\ntier = 2\n"),
    ("[class a]\ntier = 99\n",),
    (),
)
VALID = (True, True, True, False, False)


@dataclass(slots=True, kw_only=True)
class Step:
    """One revision that arrives, from the service or from a peer."""

    source: str
    index: int
    content: int
    is_damaged: bool
    asked_steps_ago: int


STEPS = st.builds(
    Step,
    source=st.sampled_from(["service", "peer"]),
    index=st.integers(0, 6),
    content=st.integers(0, len(CONTENTS) - 1),
    is_damaged=st.booleans(),
    asked_steps_ago=st.integers(0, 3),
)
HISTORIES = st.lists(STEPS, max_size=12)


def make_store():
    """Return a store without any declarations."""
    initial = read_declarations("", file="", revision=NO_REVISION).unwrap()
    return RevisionStore(initial=initial, clock=lambda: NOW)


def make_follower(store):
    """Return a follower whose service is played by the history."""
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


def published(index, texts):
    """Return a revision with right digests."""
    sections = tuple(map(make_section, texts))
    revision = RevisionId(index=index, digest=revision_digest(sections))
    return PublishedRevision(revision=revision, sections=sections)


def service_answer(step):
    """Return what the configuration service answers."""
    whole = published(step.index, CONTENTS[step.content])
    sections = [{"digest": one.digest, "text": one.text} for one in whole.sections]
    if step.is_damaged and sections:
        sections[-1]["text"] += "# changed on the way\n"
    digest = whole.revision.digest
    if step.is_damaged and not sections:
        digest = "0"
    return {"index": step.index, "digest": digest, "sections": sections}


class Pair:
    """A store with its follower, and the naive version beside it."""

    def __init__(self):
        self.store = make_store()
        self.follower = make_follower(self.store)
        self.requests = [self.request()]
        self.index = 0
        self.texts = ()

    def request(self):
        """Return what the store would ask a peer for now."""
        return self.store.record_peer_revision(
            RevisionId(index=10**9, digest="")
        ) or SectionsRequest(
            known_digests=[one.digest[:16] for one in self.store.sections]
        )

    def take(self, step):
        """Let both versions go one step."""
        if step.source == "service":
            self.take_from_service(step)
        else:
            self.take_from_peer(step)
        self.requests.append(self.request())

    def take_from_service(self, step):
        """Play an answer of the service."""
        found = verify_published(service_answer(step))
        if found.is_ok():
            self.follower.take(found.unwrap())
        if not step.is_damaged:
            self.take_naively(step)

    def take_from_peer(self, step):
        """Play a reply to a request that may be some steps old."""
        peer = make_store()
        whole = published(step.index, CONTENTS[step.content])
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
        request = self.requests[-1 - min(step.asked_steps_ago, len(self.requests) - 1)]
        reply = make_sections_reply(peer, request)
        if step.is_damaged and reply.texts:
            reply.texts[-1] += "# changed on the way\n"
        texts = CONTENTS[step.content]
        is_whole = set(texts) <= {*self.texts, *reply.texts}
        apply_sections(self.store, reply)
        if is_whole:
            self.take_naively(step)

    def take_naively(self, step):
        """Take a revision into use if it is higher and right."""
        if step.index > self.index and VALID[step.content]:
            self.index = step.index
            self.texts = CONTENTS[step.content]

    def check(self, before):
        """Assert that both versions hold the same, and nothing lower."""
        held = tuple(section.text for section in self.store.sections)
        assert self.store.revision().index >= before, "lower than before"
        assert self.store.revision().index == self.index
        assert held == self.texts
        tiers = {name: one.tier for name, one in self.store.current().classes.items()}
        assert len(tiers) == len(self.texts)


@given("any history of stale, repeated, reordered and refused revisions")
def any_history(context):
    context.cases = HISTORIES


@when("the store and a naive version go through it")
def go_through(context):
    @for_any(context.cases)
    def check(history):
        pair = Pair()
        for step in history:
            before = pair.store.revision().index
            pair.take(step)
            pair.check(before)

    context.check = check


@then("after each step both hold the same revision, and it is never lower")
@then("both hold the higher revision of the two")
@then("3 live hosts of each data centre are readers, or all if there are fewer")
def run_check(context):
    context.check()


@given("two stores that were given any histories")
def any_two_histories(context):
    context.cases = (HISTORIES, HISTORIES)


@when("they tell each other their revisions and exchange sections")
def exchange(context):
    @for_any(*context.cases)
    def check(first, second):
        pairs = Pair(), Pair()
        for pair, history in zip(pairs, (first, second), strict=True):
            for step in history:
                pair.take(step)
        one, other = (pair.store for pair in pairs)
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
    room = MAX_CONTENT_BYTES // count - 64 - len("[workspace w-00000]\n#")
    texts = [f"[workspace w-{i:05}]\n#{'x' * room}" for i in range(count)]
    context.store = make_store()
    accept_revision(context.store, published(1, texts), source="test").unwrap()


@when("a peer without any of them asks for its sections")
def ask_for_sections(context):
    context.peer = make_store()
    request = context.peer.record_peer_revision(context.store.revision())
    context.reply = make_sections_reply(context.store, request)


@then("the encoded reply is below half of the largest frame")
def check_reply_size(context):
    assert len(encode(context.reply)) < MAX_FRAME_BYTES / 2


@then("the peer holds the same revision")
def check_peer(context):
    apply_sections(context.peer, context.reply).unwrap()
    assert context.peer.revision() == context.store.revision()


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


@when("each host works out whether it is a reader")
def work_out_readers(context):
    @for_any(context.cases)
    def check(hosts):
        live = [one for one in hosts if one.state is HostState.LIVE]
        readers = Counter(
            one.data_centre
            for one in live
            if is_reader(one.name, one.data_centre, hosts)
        )
        for data_centre, count in Counter(one.data_centre for one in live).items():
            assert readers[data_centre] == min(3, count)

    context.check = check
