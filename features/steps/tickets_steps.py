"""Steps about tickets."""

from datetime import UTC, datetime, timedelta

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from result import Err, Ok

from zinniaramp.contracts import RefusalReason
from zinniaramp.tickets import Ticket, TicketClaim, TicketTable, verify_ticket
from zinniaramp.tickets import sign_ticket as sign
from zinniaramp.tickets.usage import UsageBits

START = datetime(2026, 1, 1, tzinfo=UTC)
LIFETIME = timedelta(seconds=10)
CAPACITY = 4
NOT_RUN = {RefusalReason.TICKET_EXPIRED, RefusalReason.CANCELLED_BEFORE}
"""Reasons that say that a ticket never ran and never will."""

TICKETS = st.builds(
    Ticket,
    serial=st.text(),
    incarnation=st.text(),
    class_name=st.text(),
    workspace=st.text(),
    expires=st.text(),
)
EVENTS = st.one_of(
    st.tuples(st.just("issue")),
    st.tuples(st.just("advance"), st.integers(1, 6)),
    st.tuples(st.just("restart")),
    st.tuples(st.just("withdraw"), st.integers(0, 7)),
    st.tuples(st.just("cancel"), st.integers(0, 5)),
    st.tuples(st.just("claim"), st.integers(0, 7), st.integers(0, 5), st.booleans()),
)


class PlainTable:
    """A ticket table that forgets nothing, as slow and as plain as can be."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.expires, self.used, self.withdrawn, self.tombstones = {}, {}, set(), {}

    def claim(self, ticket, attempt_id, is_same_class, now):
        """Claim a ticket."""
        if ticket.incarnation != self.incarnation or not is_same_class:
            return Err(RefusalReason.TICKET_INVALID)
        if ticket.serial in self.withdrawn:
            return Err(RefusalReason.CANCELLED_BEFORE)
        if ticket.serial in self.used:
            return Ok(TicketClaim.JOIN)
        if self.expires[ticket.serial] <= now:
            return Err(RefusalReason.TICKET_EXPIRED)
        if self.tombstones.get(attempt_id, now) > now:
            self.withdraw(ticket.serial, now)
            return Err(RefusalReason.CANCELLED_BEFORE)
        self.used[ticket.serial] = now
        return Ok(TicketClaim.RUN)

    def withdraw(self, serial, now):
        """Forbid a ticket to run."""
        self.withdrawn.add(serial)
        self.used.setdefault(serial, now)

    def is_held(self, serial, now):
        """Tell whether a bounded table must still hold a ticket."""
        used_at = self.used.get(serial)
        if used_at is None:
            return self.expires[serial] > now
        return used_at + 2 * LIFETIME > now


class TicketHistory:
    """Drives a ticket table and a plain one, and compares them."""

    def __init__(self):
        self.now, self.starts = START, 0
        self.tickets, self.runs, self.told_not_run = [], set(), set()
        self.restart()

    def restart(self):
        """Start a new incarnation."""
        self.starts += 1
        incarnation = f"host/{self.starts}"
        self.table = TicketTable(
            incarnation=incarnation,
            capacity=CAPACITY,
            lifetime=LIFETIME,
            clock=lambda: self.now,
        )
        self.table.usage = UsageBits(max_bytes=1)
        self.plain = PlainTable(incarnation)

    def advance(self, seconds):
        """Let time pass."""
        self.now += timedelta(seconds=seconds)

    def issue(self):
        """Issue a ticket if there is room."""
        held = sum(self.plain.is_held(s, self.now) for s in self.plain.expires)
        match self.table.issue(class_name="c", workspace="w"):
            case Ok(ticket):
                assert held < CAPACITY, held
                self.tickets.append(ticket)
                self.plain.expires[ticket.serial] = self.now + LIFETIME
            case Err(_):
                assert held >= CAPACITY, held
        assert len(self.table.records) <= CAPACITY

    def withdraw(self, back):
        """Withdraw one of the latest tickets."""
        for ticket in self.tickets[-1 - back :][:1]:
            if self.table.withdraw(ticket.serial):
                assert self.plain.is_held(ticket.serial, self.now)
                self.plain.withdraw(ticket.serial, self.now)
                self.told_not_run.add(ticket.serial)

    def cancel(self, attempt):
        """Cancel an attempt before it starts."""
        assert self.table.cancel_before_start(str(attempt))
        self.plain.tombstones[str(attempt)] = self.now + LIFETIME

    def claim(self, back, attempt, is_same_class):
        """Claim one of the latest tickets."""
        for ticket in self.tickets[-1 - back :][:1]:
            class_name = "c" if is_same_class else "other"
            found = self.table.claim(ticket, str(attempt), class_name=class_name)
            serial, now = ticket.serial, self.now
            is_own = ticket.incarnation == self.plain.incarnation
            is_held = is_own and self.plain.is_held(serial, now)
            expected = self.plain.claim(ticket, str(attempt), is_same_class, now)
            self.compare(found, expected, is_held)
            self.check_outcome(serial, found)

    def compare(self, found, expected, is_held):
        """Compare two decisions."""
        if found == Err(RefusalReason.ANSWER_DISCARDED):
            assert not is_held and expected != Ok(TicketClaim.RUN), expected
        else:
            assert found == expected, (found, expected)

    def check_outcome(self, serial, found):
        """Check what the decision says against what ran."""
        match found:
            case Ok(TicketClaim.RUN):
                assert serial not in self.runs, "ran twice"
                assert serial not in self.told_not_run, "ran after not run was told"
                self.runs.add(serial)
            case Err(reason) if reason in NOT_RUN:
                withdrawn = serial in self.plain.withdrawn
                assert withdrawn or serial not in self.runs, "not run told of a run"
                self.told_not_run.add(serial)


@given("any ticket")
def any_ticket(context):
    context.cases = TICKETS


@when("its text is signed, read back and read with one character changed")
def sign_and_read(context):
    @for_any(context.cases, st.integers(0, 10**6))
    def check(ticket, position):
        text = sign(ticket, key="key")
        assert verify_ticket(text, key="key") == Ok(ticket)
        assert isinstance(verify_ticket(text, key="other"), Err)
        place = position % text.rindex(".")
        changed = "A" if text[place] != "A" else "B"
        altered = text[:place] + changed + text[place + 1 :]
        assert isinstance(verify_ticket(altered, key="key"), Err)

    context.check = check


@then("only the unchanged text is read, with the same content")
def check_signing(context):
    context.check()


@given("any history of issued, claimed, withdrawn and cancelled tickets")
def any_ticket_history(context):
    context.cases = st.lists(EVENTS, max_size=60)


@when("a ticket table and a table that never forgets are driven through it")
def drive_tables(context):
    @settings(max_examples=400)
    @for_any(context.cases)
    def check(events):
        history = TicketHistory()
        for name, *values in events:
            getattr(history, name)(*values)

    context.check = check


@then('both decide alike, a ticket runs once, and none runs after "not run"')
def check_tables(context):
    context.check()


@given("a ticket table whose ticket was used and dropped")
def used_and_dropped(context):
    context.now = START
    context.tickets = TicketTable(
        incarnation="host/1",
        capacity=CAPACITY,
        lifetime=LIFETIME,
        clock=lambda: context.now,
    )
    issue = context.tickets.issue
    context.used = issue(class_name="c", workspace="w").unwrap()
    context.unused = issue(class_name="c", workspace="w").unwrap()
    assert context.tickets.claim(context.used, "a") == Ok(TicketClaim.RUN)
    assert context.tickets.attempt_of(context.used.serial) == "a"
    context.now += 2 * LIFETIME
    assert context.tickets.attempt_of(context.used.serial) == "a"


@when("the ticket arrives again")
def arrives_again(context):
    context.claims = [
        context.tickets.claim(context.used, "b"),
        context.tickets.claim(context.unused, "b"),
    ]


@then("its outcome is unknown, and an unused one of its age is told as expired")
def check_dropped(context):
    assert context.claims == [
        Err(RefusalReason.ANSWER_DISCARDED),
        Err(RefusalReason.TICKET_EXPIRED),
    ], context.claims
    assert not context.tickets.records
    context.tickets.usage = UsageBits(max_bytes=1)
    for _ in range(9):
        context.tickets.issue(class_name="c", workspace="w").unwrap()
        context.now += LIFETIME
    for ticket in (context.used, context.unused):
        found = context.tickets.claim(ticket, "b")
        assert found == Err(RefusalReason.ANSWER_DISCARDED), found


@given("a ticket table that holds two tombstones at most")
def two_tombstones(context):
    context.now = START
    context.tickets = TicketTable(
        incarnation="host/1",
        capacity=CAPACITY,
        lifetime=LIFETIME,
        clock=lambda: context.now,
        tombstone_capacity=2,
    )


@when("three attempts are cancelled before they arrive")
def cancel_three(context):
    cancel = context.tickets.cancel_before_start
    context.confirmed = [cancel(name) for name in "abc"]


@then("the third cancellation is not confirmed until the first has expired")
def check_tombstones(context):
    assert context.confirmed == [True, True, False]
    ticket = context.tickets.issue(class_name="c", workspace="w").unwrap()
    found = context.tickets.claim(ticket, "b")
    assert found == Err(RefusalReason.CANCELLED_BEFORE), found
    context.now += LIFETIME
    assert context.tickets.cancel_before_start("c")
    assert not context.tickets.is_cancelled("a")
