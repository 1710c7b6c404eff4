"""Steps for tickets."""

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
"""Reasons which imply that a ticket never ran and never will."""

TICKETS = st.builds(
    Ticket,
    serial=st.text(),
    incarnation=st.text(),
    class_name=st.text(),
    workspace=st.text(),
    expires=st.text(),
)
OPERATIONS = st.one_of(
    st.tuples(st.just("issue")),
    st.tuples(st.just("advance"), st.integers(1, 6)),
    st.tuples(st.just("restart")),
    st.tuples(st.just("withdraw"), st.integers(0, 7)),
    st.tuples(st.just("cancel"), st.integers(0, 5)),
    st.tuples(st.just("claim"), st.integers(0, 7), st.integers(0, 5), st.booleans()),
)


class ReferenceTable:
    """Reference model of the ticket table, which keeps all records."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.expires, self.used, self.withdrawn, self.tombstones = {}, {}, set(), {}

    def claim(self, ticket, attempt_id, is_same_class, now):
        """Return the expected result of a claim."""
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
        """Record that a ticket was withdrawn."""
        self.withdrawn.add(serial)
        self.used.setdefault(serial, now)

    def has_record(self, serial, now):
        """Return whether the ticket table must still have a ticket's record."""
        used_at = self.used.get(serial)
        if used_at is None:
            return self.expires[serial] > now
        return used_at + 2 * LIFETIME > now


class TableComparison:
    """Applies operations to a ticket table and a reference table, and compares them."""

    def __init__(self):
        self.now, self.starts = START, 0
        self.tickets, self.runs, self.reported_not_run = [], set(), set()
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
        self.reference = ReferenceTable(incarnation)

    def advance(self, seconds):
        """Advance the clock."""
        self.now += timedelta(seconds=seconds)

    def issue(self):
        """Issue a ticket, or check that the table is full."""
        held = sum(
            self.reference.has_record(s, self.now) for s in self.reference.expires
        )
        match self.table.issue(class_name="c", workspace="w"):
            case Ok(ticket):
                assert held < CAPACITY, held
                self.tickets.append(ticket)
                self.reference.expires[ticket.serial] = self.now + LIFETIME
            case Err(_):
                assert held >= CAPACITY, held
        assert len(self.table.records) <= CAPACITY

    def withdraw(self, index_from_end):
        """Withdraw one of the most recent tickets."""
        for ticket in self.tickets[-1 - index_from_end :][:1]:
            if self.table.withdraw(ticket.serial):
                assert self.reference.has_record(ticket.serial, self.now)
                self.reference.withdraw(ticket.serial, self.now)
                self.reported_not_run.add(ticket.serial)

    def cancel(self, attempt):
        """Cancel an attempt before it starts."""
        assert self.table.cancel_before_start(str(attempt))
        self.reference.tombstones[str(attempt)] = self.now + LIFETIME

    def claim(self, index_from_end, attempt, is_same_class):
        """Claim one of the most recent tickets."""
        for ticket in self.tickets[-1 - index_from_end :][:1]:
            class_name = "c" if is_same_class else "other"
            decision = self.table.claim(ticket, str(attempt), class_name=class_name)
            serial, now = ticket.serial, self.now
            is_own = ticket.incarnation == self.reference.incarnation
            has_record = is_own and self.reference.has_record(serial, now)
            expected = self.reference.claim(ticket, str(attempt), is_same_class, now)
            self.compare(decision, expected, has_record)
            self.check_outcome(serial, decision)

    def compare(self, decision, expected, has_record):
        """Compare the decisions of the two tables."""
        if decision == Err(RefusalReason.ANSWER_DISCARDED):
            assert not has_record and expected != Ok(TicketClaim.RUN), expected
        else:
            assert decision == expected, (decision, expected)

    def check_outcome(self, serial, decision):
        """Check a decision against the attempts that ran."""
        match decision:
            case Ok(TicketClaim.RUN):
                assert serial not in self.runs, "ran twice"
                assert serial not in self.reported_not_run, (
                    "ran after it was reported as not run"
                )
                self.runs.add(serial)
            case Err(reason) if reason in NOT_RUN:
                withdrawn = serial in self.reference.withdrawn
                assert withdrawn or serial not in self.runs, (
                    "reported as not run after it ran"
                )
                self.reported_not_run.add(serial)


@given("a random ticket")
def random_ticket(context):
    context.cases = TICKETS


@when("its text is signed, verified, and verified with one character changed")
def sign_and_read(context):
    @for_any(context.cases, st.integers(0, 10**6))
    def check(ticket, position):
        text = sign(ticket, key="key")
        assert verify_ticket(text, key="key") == Ok(ticket)
        assert isinstance(verify_ticket(text, key="other"), Err)
        index = position % text.rindex(".")
        changed = "A" if text[index] != "A" else "B"
        modified_text = text[:index] + changed + text[index + 1 :]
        assert isinstance(verify_ticket(modified_text, key="key"), Err)

    context.check = check


@then("only the unchanged text is accepted, with the same content")
def check_signing(context):
    context.check()


@given("random sequences of ticket operations, restarts and time steps")
def random_operations(context):
    context.cases = st.lists(OPERATIONS, max_size=60)


@when("a ticket table and a table without expiry perform the operations")
def run_operations(context):
    @settings(max_examples=400)
    @for_any(context.cases)
    def check(events):
        comparison = TableComparison()
        for name, *values in events:
            getattr(comparison, name)(*values)

    context.check = check


@then('both decide alike, a ticket runs at most once, and never after "not run"')
def check_tables(context):
    context.check()


@given("a ticket table that has dropped the record of a used ticket")
def make_table_with_dropped_record(context):
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


@when("the ticket is claimed again")
def claim_again(context):
    context.claims = [
        context.tickets.claim(context.used, "b"),
        context.tickets.claim(context.unused, "b"),
    ]


@then("its outcome is unknown, and an unused ticket of the same age has expired")
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
        decision = context.tickets.claim(ticket, "b")
        assert decision == Err(RefusalReason.ANSWER_DISCARDED), decision


@given("a ticket table with a limit of two tombstones")
def make_table_with_two_tombstones(context):
    context.now = START
    context.tickets = TicketTable(
        incarnation="host/1",
        capacity=CAPACITY,
        lifetime=LIFETIME,
        clock=lambda: context.now,
        tombstone_capacity=2,
    )


@when("three attempts are cancelled before they are offered")
def cancel_three(context):
    cancel = context.tickets.cancel_before_start
    context.confirmed = [cancel(name) for name in "abc"]


@then("the third cancellation is not confirmed until the first has expired")
def check_tombstones(context):
    assert context.confirmed == [True, True, False]
    ticket = context.tickets.issue(class_name="c", workspace="w").unwrap()
    decision = context.tickets.claim(ticket, "b")
    assert decision == Err(RefusalReason.CANCELLED_BEFORE), decision
    context.now += LIFETIME
    assert context.tickets.cancel_before_start("c")
    assert not context.tickets.is_cancelled("a")
