"""A TCP forwarder between processes of a fleet, with faults."""

import asyncio
import threading
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port

__all__ = ["READ_BYTES", "Forwarder", "ForwarderServer"]

READ_BYTES = 64 * 1024
"""Bytes that are read at a time."""


@dataclass(slots=True, kw_only=True)
class ForwardedPair:
    """One forwarded connection."""

    near: IOStream
    far: IOStream
    is_silent: bool = False


class ForwarderServer(TCPServer):
    """Forwards each accepted connection to one address."""

    def __init__(self, *, host, port):
        super().__init__()
        self.host = host
        self.port = port
        self.is_blocked = False
        self.pairs = []

    async def handle_stream(self, stream, address):
        """Connect to the far side and forward both ways."""
        if self.is_blocked:
            stream.close()
            return
        try:
            far = await TCPClient().connect(self.host, self.port)
        except OSError:
            stream.close()
            return
        pair = ForwardedPair(near=stream, far=far)
        self.pairs.append(pair)
        await asyncio.gather(
            self.forward(pair, pair.near, pair.far),
            self.forward(pair, pair.far, pair.near),
        )
        self.pairs.remove(pair)

    async def forward(self, pair, source, sink):
        """Pass bytes on until either side closes; a silent pair loses them."""
        try:
            while True:
                data = await source.read_bytes(READ_BYTES, partial=True)
                if not pair.is_silent:
                    await sink.write(data)
        except StreamClosedError:
            if not pair.is_silent:
                sink.close()


class Forwarder:
    """A forwarder that runs in a thread of its own.

    Parameters
    ----------
    address : str
        IP number and port to which connections are forwarded.
    """

    server_class = ForwarderServer

    def __init__(self, *, address):
        host, _, port = address.rpartition(":")
        self.target_host, self.target_port = host, int(port)
        self.ready = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        self.ready.wait()

    def run(self):
        """Run the forwarder's loop until `close`."""
        asyncio.run(self.serve())

    async def serve(self):
        """Listen until told to stop."""
        self.loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        sock, port = bind_unused_port()
        self.address = f"127.0.0.1:{port}"
        self.server = self.server_class(host=self.target_host, port=self.target_port)
        self.server.add_socket(sock)
        self.ready.set()
        await self.stopped.wait()
        self.server.stop()
        self.close_pairs()

    def close_pairs(self):
        """Close every forwarded connection."""
        for pair in list(self.server.pairs):
            pair.near.close()
            pair.far.close()

    def silence_pairs(self):
        """Lose all further bytes of the open connections; new ones work."""
        for pair in self.server.pairs:
            pair.is_silent = True

    def call(self, function):
        """Run a function in the forwarder's loop and wait for it."""
        done = threading.Event()

        def run():
            function()
            done.set()

        self.loop.call_soon_threadsafe(run)
        done.wait()

    def cut(self):
        """Close the open connections; new ones work."""
        self.call(self.close_pairs)

    def silence(self):
        """Make the open connections silent for good; new ones work."""
        self.call(self.silence_pairs)

    def block(self):
        """Part the two sides: open connections go silent, new ones are refused."""

        def part():
            self.server.is_blocked = True
            self.silence_pairs()

        self.call(part)

    def unblock(self):
        """Let new connections through again."""

        def join():
            self.server.is_blocked = False

        self.call(join)

    def close(self):
        """End the forwarder."""
        self.loop.call_soon_threadsafe(self.stopped.set)
        self.thread.join()
