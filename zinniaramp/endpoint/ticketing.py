"""Issuing tickets on request of an entry process."""

from result import Err, Ok

from ..contracts import RefusalReason, TicketIssued, TicketRequest
from ..links import Connection
from ..observability import emit
from ..tickets import sign_ticket
from .events import TICKET_DECIDED
from .placement import Placement

__all__ = ["issue_ticket"]


def issue_ticket(
    placement: Placement, connection: Connection, request: TicketRequest
) -> RefusalReason | None:
    """Issue and send a ticket, and log the decision.

    Parameters
    ----------
    placement : Placement
        Has the table of tickets, and the key with which they are signed.
    connection : Connection
        Stream on which the ticket is sent.
    request : TicketRequest
        The request.

    Returns
    -------
    RefusalReason or None
        Reason for which no ticket was sent; None if one was.
    """
    reason = _send_ticket(placement, connection, request)
    emit(
        TICKET_DECIDED,
        request=request.request_id,
        decision="refuse" if reason else "issue",
        reason=str(reason or ""),
        **{"class": request.class_name},
        workspace=request.workspace,
    )
    return reason


def _send_ticket(
    placement: Placement, connection: Connection, request: TicketRequest
) -> RefusalReason | None:
    if placement.is_leaving():
        return RefusalReason.LEAVING
    issued = placement.tickets.issue(
        class_name=request.class_name, workspace=request.workspace
    )
    match issued:
        case Err(_):
            return RefusalReason.TICKET_TABLE_FULL
        case Ok(ticket):
            connection.send(
                TicketIssued(
                    request_id=request.request_id,
                    ticket=sign_ticket(ticket, key=placement.key),
                    expires_s=placement.tickets.lifetime.total_seconds(),
                )
            )
            return None
