"""Forwarder with a limited rate, for a link that is shared by all connections."""

import asyncio
import socket
import struct

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
    breaks_at : int or None
        Number of passed bytes at which the connection that carries them breaks; others
        don't.
    is_reset : bool
        Whether a connection that breaks is reset; else it is silent for good.
    """

    def __init__(self, *, port, bytes_per_second):
        super().__init__()
        self.target = port
        self.bytes_per_second = bytes_per_second
        self.carried = 0
        self.breaks_at = None
        self.is_reset = False
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
                if self.breaks_at is not None and self.carried >= self.breaks_at:
                    self.breaks_at = None
                    await self._break(source, sink)
                await sink.write(piece)
        except StreamClosedError:
            sink.close()

    async def _break(self, source: IOStream, sink: IOStream):
        if not self.is_reset:
            await asyncio.Event().wait()
        # Closing a socket that doesn't linger resets its connection.
        option = struct.pack("ii", 1, 0)
        sink.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        sink.close()
        source.close()
