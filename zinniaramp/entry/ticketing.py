"""Fetching tickets from endpoint processes."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from ..contracts import Refused, TicketIssued, TicketRequest
from .peers import Peer
from .requests import Call

__all__ = ["IssuedTicket", "issue_ticket"]

ISSUE_TIMEOUT = timedelta(seconds=1)
"""Longest wait for one endpoint process to issue a ticket."""


@dataclass(slots=True, kw_only=True, frozen=True)
class IssuedTicket:
    """A fresh ticket and the endpoint that issued it.

    Parameters
    ----------
    ticket : str
        Signed text.
    expires_s : float
        Seconds for which it may be used.
    peer : Peer
        The only endpoint at which it may be used.
    """

    ticket: str
    expires_s: float
    peer: Peer


async def issue_ticket(router, call: Call, request_id: str) -> IssuedTicket | None:
    """Fetch a ticket from an endpoint that routing chooses.

    Parameters
    ----------
    router : Router
        Chooses endpoints.
    call : Call
        The request that the ticket is for.
    request_id : str
        Identity of the request.

    Returns
    -------
    IssuedTicket or None
        None if no endpoint that was asked has issued one; nothing has run.
    """
    tried: set[str] = set()

    def label(host: str) -> str:
        return f"{request_id}.0.{host}"

    for _ in range(call.declarations.defaults.attempts):
        peer = await router.choose(call, label, tried)
        if peer is None:
            return None
        tried.add(peer.address)
        issued = await _ask(peer, call, request_id)
        if issued is not None:
            return issued
    return None


async def _ask(peer: Peer, call: Call, request_id: str) -> IssuedTicket | None:
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
