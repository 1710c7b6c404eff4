"""Tickets for non-repeatable requests."""

from .core import (
    Ticket,
    TicketClaim,
    TicketError,
    TicketTable,
    read_ticket,
    sign_ticket,
)

__all__ = [
    "Ticket",
    "TicketClaim",
    "TicketError",
    "TicketTable",
    "read_ticket",
    "sign_ticket",
]
