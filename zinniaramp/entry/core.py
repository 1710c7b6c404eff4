"""The entry process's state and the routing of requests."""

import asyncio
from dataclasses import dataclass

from tornado.httputil import split_host_and_port
from tornado.queues import Queue

from ..answers import AttemptId, new_attempt_id
from ..clock import Clock
from ..configuration import RevisionStore
from ..contracts import Offer
from ..hosts import HostView
from ..links import Identity
from ..observability import emit
from ..settings import Settings
from .callers import make_application
from .events import ATTEMPT_ROUTED, REQUEST_ENDED
from .peers import Peer

__all__ = ["EntryProcess", "Routed"]

INITIAL_CREDIT = 64
"""Chunks that an endpoint may send before the caller has taken any."""


@dataclass(slots=True, kw_only=True)
class Routed:
    """An attempt that was offered to an endpoint."""

    attempt_id: AttemptId
    peer: Peer
    inbox: Queue


class EntryProcess:
    """Takes callers' requests and routes them to endpoints.

    Parameters
    ----------
    settings : Settings
        Settings of this process.
    identity : Identity
        Identity of this start.
    revisions : RevisionStore
        The declarations in force.
    hosts : HostView
        The platform's list of hosts.
    clock : Clock
        The process's clock.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        identity: Identity,
        revisions: RevisionStore,
        hosts: HostView,
        clock: Clock,
    ):
        self.settings = settings
        self.revisions = revisions
        self.hosts = hosts
        self.clock = clock
        self.peers = [
            Peer(address=address, identity=identity, clock=clock)
            for address in settings.platform.endpoints.split()
        ]
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Listen for callers and open streams."""
        self.tasks = [asyncio.create_task(peer.run()) for peer in self.peers]
        host, port = split_host_and_port(self.settings.listen.callers)
        make_application(self).listen(port, host)

    def is_ready(self) -> bool:
        """Tell whether any endpoint can be reached."""
        return any(peer.connection for peer in self.peers)

    def route_chat(self, request: dict, http) -> Routed | None:
        """Choose an endpoint for a chat request and offer it the attempt."""
        model = request.get("model", "")
        usable = [p for p in self.peers if p.connection and model in p.serves]
        if not usable:
            return None
        peer = min(usable, key=lambda one: len(one.inboxes))
        attempt_id = new_attempt_id(host=peer.host)
        class_name = http.headers.get("Zinniaramp-Class", "")
        workspace = http.headers.get("Zinniaramp-Workspace", "")
        emit(
            ATTEMPT_ROUTED,
            attempt=str(attempt_id),
            target=model,
            **{"class": class_name},
            workspace=workspace,
            chosen=peer.host,
            weighed=[{"host": p.host, "in_flight": len(p.inboxes)} for p in usable],
        )
        offer = Offer(
            attempt_id=str(attempt_id),
            target=model,
            class_name=class_name,
            workspace=workspace,
            revision_index=0,
            deadline_s=60,
            ticket="",
            method="POST",
            path="/v1/chat/completions",
            headers=[],
            body=http.body,
            credit=INITIAL_CREDIT,
        )
        return Routed(attempt_id=attempt_id, peer=peer, inbox=peer.offer(offer))

    def finish(self, routed: Routed, outcome: str) -> None:
        """Note the final outcome of a request."""
        routed.peer.inboxes.pop(str(routed.attempt_id), None)
        emit(
            REQUEST_ENDED,
            request=routed.attempt_id.request,
            outcome=outcome,
            status=200,
            attempts=1,
        )
