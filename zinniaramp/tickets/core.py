"""Tickets, each of which allows one incarnation to run one request at most once."""

import secrets
from dataclasses import asdict, dataclass
from datetime import timedelta
from enum import StrEnum

from itsdangerous import BadData, URLSafeSerializer
from result import Err, Ok, Result

from ..clock import Clock
from ..contracts import RefusalReason
from .tombstones import Tombstones
from .usage import UsageBits

__all__ = [
    "Ticket",
    "TicketClaim",
    "TicketError",
    "TicketTable",
    "verify_ticket",
    "sign_ticket",
]

SALT = "zinniaramp-ticket"
"""Salt that separates ticket signatures from other uses of the fleet's key."""

SERIAL_BYTES = 12
"""Number of random bytes in a ticket's serial."""

SERIAL_SEPARATOR = "~"
"""Separator between the number and the random part of a ticket's serial."""

MAX_TOMBSTONES = 10_000
"""Default limit on the tombstones of a table."""


class TicketError(Exception):
    """A ticket cannot be issued or verified."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Ticket:
    """Content of a ticket.

    Parameters
    ----------
    serial : str
        Number of the ticket and random characters.
    incarnation : str
        Incarnation of the endpoint process that issued the ticket.
    class_name, workspace : str
        Class and workspace for which the ticket was issued.
    expires : str
        Expiry as an ISO 8601 time, by the issuing process's clock.
    """

    serial: str
    incarnation: str
    class_name: str
    workspace: str
    expires: str


def sign_ticket(ticket: Ticket, *, key: str) -> str:
    """Return the signed text of a ticket."""
    return URLSafeSerializer(key, salt=SALT).dumps(asdict(ticket))


def verify_ticket(text: str, *, key: str) -> Result[Ticket, TicketError]:
    """Verify the signature of a ticket's text and return the ticket."""
    try:
        return Ok(Ticket(**URLSafeSerializer(key, salt=SALT).loads(text)))
    except (BadData, TypeError):
        return Err(
            TicketError(
                "Idempotency-Key is not a ticket of this fleet; "
                "fetch one with POST /v1/tickets"
            )
        )


class TicketClaim(StrEnum):
    """Action of an endpoint process for an offer with a valid ticket.

    ``RUN`` starts the ticket's attempt; ``JOIN`` delivers the answer of the attempt
    that has already claimed the ticket.
    """

    RUN = "run"
    JOIN = "join"


@dataclass(slots=True, kw_only=True)
class TicketRecord:
    """Record of one ticket in the table.

    Parameters
    ----------
    attempt_id : str
        The attempt that claimed the ticket; empty if none has.
    is_withdrawn : bool
        Whether no attempt may start with the ticket, because one was reported as
        not run or was cancelled before it started.
    """

    attempt_id: str = ""
    is_withdrawn: bool = False


class TicketTable:
    """Tickets issued by this incarnation, and the attempt that claimed each.

    Parameters
    ----------
    incarnation : str
        This process's incarnation.
    capacity : int
        Limit on the records; no ticket is issued while it is reached.
    lifetime : timedelta
        Time for which a ticket may be claimed.
    clock : Clock
        The process's clock.
    retention : timedelta or None
        Time for which a claimed ticket is kept in addition to the lifetime, so that
        a later offer finds its attempt; the lifetime if None.
    tombstone_capacity : int
        Limit on the tombstones.

    Attributes
    ----------
    records : dict of str to TicketRecord
        Records by serial.
    unclaimed_expiries, claimed_expiries : dict of str to float
        Unix times at which the records of unclaimed tickets, and of claimed or
        withdrawn ones, are dropped, by serial, in order of insertion.
    usage : UsageBits
        Which tickets were used, that is claimed or withdrawn, by number.
    issued_count : int
        Number of tickets issued so far, which is the number of the next ticket.
    tombstones : Tombstones
        Attempts that must never start.

    Notes
    -----
    The record of an unclaimed ticket is dropped when the ticket expires, that of a
    claimed or withdrawn ticket after the lifetime plus the retention.  One bit per
    ticket, which records whether the ticket was claimed or withdrawn, is kept for
    longer.  An expired ticket that was never used can thus be recognized without
    its record.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        capacity: int,
        lifetime: timedelta,
        clock: Clock,
        retention: timedelta | None = None,
        tombstone_capacity: int = MAX_TOMBSTONES,
    ):
        self.incarnation = incarnation
        self.capacity = capacity
        self.lifetime = lifetime
        self.retention = lifetime if retention is None else retention
        self.clock = clock
        self.records: dict[str, TicketRecord] = {}
        self.unclaimed_expiries: dict[str, float] = {}
        self.claimed_expiries: dict[str, float] = {}
        self.usage = UsageBits()
        self.issued_count = 0
        self.tombstones = Tombstones(
            capacity=tombstone_capacity, retention=lifetime, clock=clock
        )

    def issue(self, *, class_name: str, workspace: str) -> Result[Ticket, TicketError]:
        """Issue a ticket, unless the table is full."""
        self._drop_expired()
        if len(self.records) >= self.capacity:
            return Err(
                TicketError(
                    f"all {self.capacity} tickets of this endpoint are in use; "
                    "try another endpoint, or raise ticket_table in [defaults]"
                )
            )
        number = self.issued_count
        self.issued_count += 1
        self.usage.extend_to(number)
        serial = f"{number}{SERIAL_SEPARATOR}{secrets.token_urlsafe(SERIAL_BYTES)}"
        expires = self.clock() + self.lifetime
        self.records[serial] = TicketRecord()
        self.unclaimed_expiries[serial] = expires.timestamp()
        return Ok(
            Ticket(
                serial=serial,
                incarnation=self.incarnation,
                class_name=class_name,
                workspace=workspace,
                expires=expires.isoformat(),
            )
        )

    def claim(
        self,
        ticket: Ticket,
        attempt_id: str,
        *,
        class_name: str | None = None,
        workspace: str | None = None,
    ) -> Result[TicketClaim, RefusalReason]:
        """Claim a ticket for an attempt.

        Parameters
        ----------
        ticket : Ticket
            The ticket, whose signature has been verified.
        attempt_id : str
            The attempt.
        class_name, workspace : str or None
            Class and workspace of the offer; not compared with the ticket if None.

        Returns
        -------
        Result
            ``RUN`` for the first attempt of a ticket and ``JOIN`` for others; or the
            reason for the refusal.

        Notes
        -----
        ``TICKET_EXPIRED`` and ``CANCELLED_BEFORE`` mean that no attempt with the
        ticket has run or will run.  ``ANSWER_DISCARDED`` means that one may have
        run: the outcome is unknown.  ``TICKET_INVALID`` means that the ticket is not
        valid for this process, class or workspace; an attempt may have run at the
        incarnation that issued it.
        """
        decision = self.check_claim(ticket, class_name=class_name, workspace=workspace)
        if decision != Ok(TicketClaim.RUN):
            return decision
        if attempt_id in self.tombstones:
            self.withdraw(ticket.serial)
            return Err(RefusalReason.CANCELLED_BEFORE)
        self._mark_used(ticket.serial, attempt_id)
        return decision

    def check_claim(
        self,
        ticket: Ticket,
        *,
        class_name: str | None = None,
        workspace: str | None = None,
    ) -> Result[TicketClaim, RefusalReason]:
        """Return what `claim` would return for a new attempt, without claiming."""
        self._drop_expired()
        if not self._is_own(ticket, class_name, workspace):
            return Err(RefusalReason.TICKET_INVALID)
        record = self.records.get(ticket.serial)
        if record is None:
            return Err(self._reason_without_record(ticket))
        if record.is_withdrawn:
            return Err(RefusalReason.CANCELLED_BEFORE)
        if record.attempt_id:
            return Ok(TicketClaim.JOIN)
        return Ok(TicketClaim.RUN)

    def attempt_of(self, serial: str) -> str | None:
        """Return the attempt that has claimed a ticket, if any."""
        record = self.records.get(serial)
        return record.attempt_id or None if record else None

    def withdraw(self, serial: str) -> bool:
        """Ensure that no attempt starts with a ticket from now on.

        This must be called before an attempt that claimed the ticket and never
        started is reported as not run.

        Returns
        -------
        bool
            Whether the ticket is withdrawn.  If not, its attempt must not be
            reported as not run.
        """
        record = self.records.get(serial)
        if record is None:
            return False
        if not record.is_withdrawn:
            self._mark_used(serial, record.attempt_id)
            record.is_withdrawn = True
        return True

    def cancel_before_start(self, attempt_id: str, serial: str | None = None) -> bool:
        """Add a tombstone for an attempt that has not started.

        Parameters
        ----------
        attempt_id : str
            The attempt, whose offer may not have arrived yet.
        serial : str or None
            Serial of its ticket, if known; the ticket is withdrawn.

        Returns
        -------
        bool
            Whether the attempt is certain never to start.  Only then may the
            cancellation be confirmed with ``ran`` false.
        """
        if not self.tombstones.add(attempt_id):
            return False
        return serial is None or self.withdraw(serial)

    def is_cancelled(self, attempt_id: str) -> bool:
        """Return whether an attempt has a tombstone and must not start."""
        return attempt_id in self.tombstones

    def _is_own(
        self, ticket: Ticket, class_name: str | None, workspace: str | None
    ) -> bool:
        return (
            ticket.incarnation == self.incarnation
            and class_name in (None, ticket.class_name)
            and workspace in (None, ticket.workspace)
        )

    def _reason_without_record(self, ticket: Ticket) -> RefusalReason:
        number_text, _, _ = ticket.serial.partition(SERIAL_SEPARATOR)
        if not number_text.isdecimal() or int(number_text) >= self.issued_count:
            return RefusalReason.TICKET_INVALID
        if self.usage.is_known_unused(int(number_text)):
            return RefusalReason.TICKET_EXPIRED
        return RefusalReason.ANSWER_DISCARDED

    def _mark_used(self, serial: str, attempt_id: str) -> None:
        record = self.records[serial]
        record.attempt_id = attempt_id
        number_text, _, _ = serial.partition(SERIAL_SEPARATOR)
        self.usage.mark(int(number_text))
        if self.unclaimed_expiries.pop(serial, None) is not None:
            self.claimed_expiries[serial] = self._claimed_expiry()

    def _claimed_expiry(self) -> float:
        """Return the time at which the record of a ticket claimed now is dropped."""
        return (
            self.clock().timestamp() + (self.lifetime + self.retention).total_seconds()
        )

    def _drop_expired(self) -> None:
        now = self.clock().timestamp()
        self._drop_expired_from(self.unclaimed_expiries, now)
        self._drop_expired_from(self.claimed_expiries, now)

    def _drop_expired_from(self, expiries: dict[str, float], now: float) -> None:
        while expiries:
            serial = next(iter(expiries))
            if expiries[serial] > now:
                return
            del expiries[serial]
            del self.records[serial]
