"""Requests to all peers for the origin of a stream."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from ..resumption import StreamOrigin
from .messages import OriginAnswer, OriginRequest

__all__ = ["OriginRequests"]

ANSWER_TIMEOUT = timedelta(milliseconds=250)
"""Time for the peers to answer; regions are up to 100 ms apart.  A peer that has ended
without being noticed uses all of it."""


@dataclass(slots=True, kw_only=True)
class _PendingRequest:
    """A request whose answers are awaited.

    Parameters
    ----------
    result : asyncio.Future
        The origin, or None once nobody is left to answer.
    unheard : set of str
        Peers that have not answered.
    """

    result: asyncio.Future[StreamOrigin | None]
    unheard: set[str] = field(default_factory=set)


class OriginRequests:
    """Asks the peers where streams began, and collects their answers.

    Parameters
    ----------
    send : callable
        Sends a request to a peer, if it is connected.
    peers : callable
        Returns the addresses of the peers whose answers are awaited.

    Attributes
    ----------
    pending : dict of _PendingRequest
        Requests that await answers, by the key of the stream.
    """

    __slots__ = ("send", "peers", "pending")

    def __init__(
        self,
        *,
        send: Callable[[str, OriginRequest], None],
        peers: Callable[[], list[str]],
    ):
        self.send = send
        self.peers = peers
        self.pending: dict[bytes, _PendingRequest] = {}

    async def find(self, key: bytes) -> StreamOrigin | None:
        """Return the origin of a stream that some peer knows, or None."""
        pending = self.pending.get(key)
        if pending is None:
            pending = self._ask(key)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
                return await asyncio.shield(pending.result)
        except TimeoutError:
            return None
        finally:
            if self.pending.get(key) is pending:
                del self.pending[key]

    def _ask(self, key: bytes) -> _PendingRequest:
        result = asyncio.get_running_loop().create_future()
        peers = self.peers()
        pending = _PendingRequest(result=result, unheard=set(peers))
        self.pending[key] = pending
        for name in peers:
            self.send(name, OriginRequest(key=key))
        self._finish_if_all_answered(pending)
        return pending

    def ask_connected(self, name: str) -> None:
        """Send all pending requests to a peer that has just been connected."""
        for key, pending in self.pending.items():
            pending.unheard.add(name)
            self.send(name, OriginRequest(key=key))

    def apply(self, name: str, answer: OriginAnswer) -> None:
        """Apply the answer of a peer; one that comes too late is ignored."""
        pending = self.pending.get(answer.key)
        if pending is None or pending.result.done():
            return
        pending.unheard.discard(name)
        if answer.origin is not None:
            pending.result.set_result(answer.origin)
        self._finish_if_all_answered(pending)

    @staticmethod
    def _finish_if_all_answered(pending: _PendingRequest) -> None:
        if not pending.unheard and not pending.result.done():
            pending.result.set_result(None)
