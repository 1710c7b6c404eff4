"""Tickets, which ensure that non-repeatable requests run at most once."""

from .core import (
    Ticket,
    TicketClaim,
    TicketError,
    TicketTable,
    sign_ticket,
    verify_ticket,
)

__all__ = [
    "Ticket",
    "TicketClaim",
    "TicketError",
    "TicketTable",
    "verify_ticket",
    "sign_ticket",
]
