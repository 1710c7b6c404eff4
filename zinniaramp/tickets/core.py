"""Tickets name the one process incarnation that may run a request, once."""

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
"""Keeps tickets' signatures apart from other uses of the fleet's key."""

SERIAL_BYTES = 12
"""Random bytes in a ticket's serial."""

SERIAL_SEPARATOR = "~"
"""Between the number and the random part of a ticket's serial."""

MAX_TOMBSTONES = 10_000
"""Tombstones that a table holds at most."""


class TicketError(Exception):
    """A ticket cannot be used."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Ticket:
    """What a ticket says.

    Parameters
    ----------
    serial : str
        Random identity.
    incarnation : str
        Host and start identity of the endpoint process that issued it.
    class_name, workspace : str
        For what it was issued.
    expires : str
        ISO 8601 time by the issuing process's clock.
    """

    serial: str
    incarnation: str
    class_name: str
    workspace: str
    expires: str


def sign_ticket(ticket: Ticket, *, key: str) -> str:
    """Return a ticket's signed text."""
    return URLSafeSerializer(key, salt=SALT).dumps(asdict(ticket))


def verify_ticket(text: str, *, key: str) -> Result[Ticket, TicketError]:
    """Check a ticket's signature and return what it says."""
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
    """What an endpoint process does with an offer that brings a ticket."""

    RUN = "run"
    JOIN = "join"


@dataclass(slots=True, kw_only=True)
class TicketRecord:
    """What the table holds of one ticket.

    Parameters
    ----------
    attempt_id : str
        The attempt that claimed it; empty if none has.
    is_withdrawn : bool
        Whether it may never run, for its attempt was told not to have run.
    """

    attempt_id: str = ""
    is_withdrawn: bool = False


class TicketTable:
    """Tickets issued by this incarnation, and which attempt has used each.

    Parameters
    ----------
    incarnation : str
        This process's incarnation.
    capacity : int
        Most tickets held; when as many are, none is issued.
    lifetime : timedelta
        How long a ticket may be used.
    clock : Clock
        The process's clock.
    retention : timedelta or None
        How long a claimed ticket is held after it expires, so that a later
        arrival finds its attempt; the lifetime if left out.
    tombstone_capacity : int
        Most tombstones held.

    Notes
    -----
    A ticket's record is dropped when the ticket expires, or after the retention
    if it was claimed.  One bit for each ticket stays, which says whether it was
    claimed or withdrawn; so whether an expired ticket was used is known without
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
        self.unclaimed: dict[str, float] = {}
        self.claimed: dict[str, float] = {}
        self.usage = UsageBits()
        self.issued = 0
        self.tombstones = Tombstones(
            capacity=tombstone_capacity, retention=lifetime, clock=clock
        )

    def issue(self, *, class_name: str, workspace: str) -> Result[Ticket, TicketError]:
        """Issue a ticket, unless the table is full."""
        self._drop_old()
        if len(self.records) >= self.capacity:
            return Err(
                TicketError(
                    f"all {self.capacity} tickets of this endpoint are in use; "
                    "try another endpoint, or raise ticket_table in [defaults]"
                )
            )
        number = self.issued
        self.issued += 1
        self.usage.extend_to(number)
        serial = f"{number}{SERIAL_SEPARATOR}{secrets.token_urlsafe(SERIAL_BYTES)}"
        expires = self.clock() + self.lifetime
        self.records[serial] = TicketRecord()
        self.unclaimed[serial] = expires.timestamp()
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
            The ticket, its signature checked.
        attempt_id : str
            The attempt.
        class_name, workspace : str or None
            Those of the offer; not compared with the ticket's if left out.

        Returns
        -------
        Result
            ``RUN`` for the first attempt of a ticket and ``JOIN`` for others;
            or the reason for refusing.

        Notes
        -----
        ``TICKET_EXPIRED`` and ``CANCELLED_BEFORE`` say that nothing ever ran
        under the ticket and nothing will.  ``ANSWER_DISCARDED`` says that the
        ticket may have been used: the outcome is unknown.  ``TICKET_INVALID``
        says that the ticket is not for this process, class or workspace, and
        nothing about what its own incarnation did.
        """
        decided = self.decide(ticket, class_name=class_name, workspace=workspace)
        if decided != Ok(TicketClaim.RUN):
            return decided
        if attempt_id in self.tombstones:
            self.withdraw(ticket.serial)
            return Err(RefusalReason.CANCELLED_BEFORE)
        self._mark_used(ticket.serial, attempt_id)
        return decided

    def decide(
        self,
        ticket: Ticket,
        *,
        class_name: str | None = None,
        workspace: str | None = None,
    ) -> Result[TicketClaim, RefusalReason]:
        """Return what `claim` would say to a new attempt; claim nothing."""
        self._drop_old()
        if not self._is_own(ticket, class_name, workspace):
            return Err(RefusalReason.TICKET_INVALID)
        record = self.records.get(ticket.serial)
        if record is None:
            return Err(self._reason_for_dropped(ticket))
        if record.is_withdrawn:
            return Err(RefusalReason.CANCELLED_BEFORE)
        if record.attempt_id:
            return Ok(TicketClaim.JOIN)
        return Ok(TicketClaim.RUN)

    def attempt_of(self, serial: str) -> str | None:
        """Return the attempt that has used a ticket."""
        record = self.records.get(serial)
        return record.attempt_id or None if record else None

    def withdraw(self, serial: str) -> bool:
        """Make sure that a ticket never runs again.

        To be called before an attempt that claimed it and never started is told
        as not run.

        Returns
        -------
        bool
            Whether that is certain; if not, nothing may be told as not run.
        """
        record = self.records.get(serial)
        if record is None:
            return False
        if not record.is_withdrawn:
            self._mark_used(serial, record.attempt_id)
            record.is_withdrawn = True
        return True

    def cancel_before_start(self, attempt_id: str, serial: str | None = None) -> bool:
        """Leave a tombstone for an attempt that has not started.

        Parameters
        ----------
        attempt_id : str
            The attempt; whether or not its offer has arrived.
        serial : str or None
            Its ticket, if one is known, which is withdrawn too.

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
        """Tell whether a tombstone forbids an attempt to start."""
        return attempt_id in self.tombstones

    def _is_own(
        self, ticket: Ticket, class_name: str | None, workspace: str | None
    ) -> bool:
        return (
            ticket.incarnation == self.incarnation
            and class_name in (None, ticket.class_name)
            and workspace in (None, ticket.workspace)
        )

    def _reason_for_dropped(self, ticket: Ticket) -> RefusalReason:
        number_text, _, _ = ticket.serial.partition(SERIAL_SEPARATOR)
        if not number_text.isdecimal() or int(number_text) >= self.issued:
            return RefusalReason.TICKET_INVALID
        if self.usage.is_known_unused(int(number_text)):
            return RefusalReason.TICKET_EXPIRED
        return RefusalReason.ANSWER_DISCARDED

    def _mark_used(self, serial: str, attempt_id: str) -> None:
        record = self.records[serial]
        record.attempt_id = attempt_id
        number_text, _, _ = serial.partition(SERIAL_SEPARATOR)
        self.usage.mark(int(number_text))
        if self.unclaimed.pop(serial, None) is not None:
            self.claimed[serial] = self._claimed_until()

    def _claimed_until(self) -> float:
        """Return when a used ticket's record is dropped."""
        return (
            self.clock().timestamp() + (self.lifetime + self.retention).total_seconds()
        )

    def _drop_old(self) -> None:
        now = self.clock().timestamp()
        self._drop_from(self.unclaimed, now)
        self._drop_from(self.claimed, now)

    def _drop_from(self, expiries: dict[str, float], now: float) -> None:
        while expiries:
            serial = next(iter(expiries))
            if expiries[serial] > now:
                return
            del expiries[serial]
            del self.records[serial]
