"""Tickets name the one process incarnation that may run a request, once."""

from dataclasses import asdict, dataclass
from datetime import datetime, timedelta
from enum import StrEnum

from itsdangerous import BadData, URLSafeSerializer
from result import Err, Ok, Result

from ..clock import Clock
from ..contracts import RefusalReason

__all__ = [
    "Ticket",
    "TicketClaim",
    "TicketError",
    "TicketTable",
    "read_ticket",
    "sign_ticket",
]

SALT = "zinniaramp-ticket"
"""Keeps tickets' signatures apart from other uses of the fleet's key."""


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


def read_ticket(text: str, *, key: str) -> Result[Ticket, TicketError]:
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


class TicketTable:
    """Tickets issued by this incarnation, and which attempt has used each.

    Parameters
    ----------
    incarnation : str
        This process's incarnation.
    capacity : int
        Most tickets held.
    lifetime : timedelta
        How long a ticket may be used.
    clock : Clock
        The process's clock.
    """

    def __init__(
        self, *, incarnation: str, capacity: int, lifetime: timedelta, clock: Clock
    ):
        self.incarnation = incarnation
        self.capacity = capacity
        self.lifetime = lifetime
        self.clock = clock
        self.attempts: dict[str, str] = {}
        self.expiries: dict[str, datetime] = {}

    def issue(self, *, class_name: str, workspace: str) -> Result[Ticket, TicketError]:
        """Issue a ticket, unless the table is full."""
        raise NotImplementedError

    def claim(
        self, ticket: Ticket, attempt_id: str
    ) -> Result[TicketClaim, RefusalReason]:
        """Claim a ticket for an attempt.

        Returns
        -------
        Result
            ``RUN`` for the first attempt of a ticket and ``JOIN`` for others;
            or the reason for refusing, in which case nothing ever ran under
            the ticket and nothing will.
        """
        raise NotImplementedError

    def attempt_of(self, serial: str) -> str | None:
        """Return the attempt that has used a ticket."""
        return self.attempts.get(serial)
