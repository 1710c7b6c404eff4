"""Requests for tickets from endpoint processes."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from ..contracts import Refused, TicketIssued, TicketRequest
from .peers import Peer
from .requests import Call

__all__ = ["IssuedTicket", "issue_ticket"]

ISSUE_TIMEOUT = timedelta(seconds=1)
"""Timeout for one endpoint process to issue a ticket."""


@dataclass(slots=True, kw_only=True, frozen=True)
class IssuedTicket:
    """A new ticket and the endpoint that issued it.

    Parameters
    ----------
    ticket : str
        The signed ticket.
    expires_s : float
        Time until the ticket expires, in seconds.
    peer : Peer
        The issuing endpoint, the only one that accepts the ticket.
    """

    ticket: str
    expires_s: float
    peer: Peer


async def issue_ticket(router, call: Call, request_id: str) -> IssuedTicket | None:
    """Request a ticket from endpoints chosen by routing.

    Parameters
    ----------
    router : Router
        Chooses endpoints.
    call : Call
        The request for which the ticket is issued.
    request_id : str
        Id of the request.

    Returns
    -------
    IssuedTicket or None
        None if no endpoint issued a ticket; nothing has run.
    """
    tried: set[str] = set()

    def attempt_id_for(host: str) -> str:
        return f"{request_id}.0.{host}"

    for _ in range(call.declarations.defaults.attempts):
        peer = await router.choose(call, attempt_id_for, tried)
        if peer is None:
            return None
        tried.add(peer.address)
        issued = await _request_ticket(peer, call, request_id)
        if issued is not None:
            return issued
    return None


async def _request_ticket(
    peer: Peer, call: Call, request_id: str
) -> IssuedTicket | None:
    inbox = peer.open_inbox(request_id)
    peer.send(
        TicketRequest(
            request_id=request_id,
            class_name=call.class_declaration.name,
            workspace=call.workspace,
        )
    )
    try:
        async with asyncio.timeout(ISSUE_TIMEOUT.total_seconds()):
            answer = await inbox.get()
    except TimeoutError:
        return None
    finally:
        peer.close_inbox(request_id)
    match answer:
        case TicketIssued(ticket=ticket, expires_s=expires_s):
            return IssuedTicket(ticket=ticket, expires_s=expires_s, peer=peer)
        case Refused() | _:
            return None
