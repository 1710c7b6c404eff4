"""Forwarder with a limited rate, for a link that is shared by all connections."""

import asyncio

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port

PIECE_BYTES = 8 * 1024
"""Bytes that pass at once, between those of other connections."""


class NarrowLink(TCPServer):
    """Forwards connections to an address; bytes from there pass at a limited rate.

    Parameters
    ----------
    port : int
        Port of the target on loopback.
    bytes_per_second : float
        Rate of all connections together.

    Attributes
    ----------
    carried : int
        Bytes that have passed.
    stalls_at : int or None
        Number of passed bytes from which the open connections are silent for good; new
        ones are not.
    """

    def __init__(self, *, port, bytes_per_second):
        super().__init__()
        self.target = port
        self.bytes_per_second = bytes_per_second
        self.carried = 0
        self.stalls_at = None
        self.turn = asyncio.Lock()
        listener, self.port = bind_unused_port()
        self.add_socket(listener)

    async def handle_stream(self, stream, address):
        """Forward a connection until either side closes it."""
        server = await TCPClient().connect("127.0.0.1", self.target)
        upward = asyncio.create_task(self._forward(stream, server))
        await self._carry(server, stream)
        upward.cancel()

    @staticmethod
    async def _forward(source: IOStream, sink: IOStream):
        try:
            while True:
                await sink.write(await source.read_bytes(PIECE_BYTES, partial=True))
        except StreamClosedError:
            sink.close()

    async def _carry(self, source: IOStream, sink: IOStream):
        try:
            while True:
                piece = await source.read_bytes(PIECE_BYTES, partial=True)
                async with self.turn:
                    await asyncio.sleep(len(piece) / self.bytes_per_second)
                self.carried += len(piece)
                if self.stalls_at is not None and self.carried >= self.stalls_at:
                    self.stalls_at = None
                    await asyncio.Event().wait()
                await sink.write(piece)
        except StreamClosedError:
            sink.close()
