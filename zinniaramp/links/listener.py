"""The listening side of streams."""

from collections.abc import Awaitable, Callable

from result import Ok
from tornado.tcpserver import TCPServer

from ..buffers import LARGE_BUFFER_BYTES, count_unread, limit_receive_buffer
from ..clock import Clock
from ..contracts import Welcome
from ..intake import Account, Holder, Kind, Phase, unlimited_account
from .core import Connection
from .handshake import Identity, accept

__all__ = ["Listener"]


class Listener(TCPServer):
    """Accepts streams, performs their handshakes and serves them.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    welcome : callable
        Function that returns the `Welcome` for a new stream.
    serve : callable
        Coroutine function that serves one open `Connection` until it is closed.
    clock : Clock
        Clock of the connections.
    account : Account, optional
        Admits connections; by default, all are admitted.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        welcome: Callable[[], Welcome],
        serve: Callable[[Connection], Awaitable[None]],
        clock: Clock,
        account: Account | None = None,
    ):
        super().__init__()
        self.identity = identity
        self.welcome = welcome
        self.serve = serve
        self.clock = clock
        self.account = account or unlimited_account(clock)

    async def handle_stream(self, stream, address):
        """Serve a stream if the account admits it."""
        connection = stream.socket
        holder = self.account.open(
            Kind.PEER, lambda phase: stream.close(), lambda: count_unread(connection)
        )
        if holder is None:
            stream.close()
            return
        try:
            await self.perform_handshake(stream, address, holder)
        finally:
            holder.close()

    async def perform_handshake(self, stream, address, holder: Holder) -> None:
        """Perform the handshake and serve the stream if it succeeds."""
        opened = await accept(
            stream,
            f"{address[0]}:{address[1]}",
            identity=self.identity,
            welcome=self.welcome,
            clock=self.clock,
        )
        if isinstance(opened, Ok):
            # The peer has the fleet's key: it is not evicted for others, and it sends
            # the bodies of many requests.
            holder.enter(Phase.RUNNING)
            if not stream.closed():
                limit_receive_buffer(stream.socket, LARGE_BUFFER_BYTES)
            await self.serve_and_close(opened.ok_value)

    async def serve_and_close(self, connection: Connection) -> None:
        """Serve a stream, and close it even if serving fails or is cancelled."""
        try:
            await self.serve(connection)
        finally:
            connection.close(reason="serving ended")
