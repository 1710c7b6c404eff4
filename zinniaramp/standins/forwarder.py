"""TCP forwarder between processes of a fleet, which simulates network faults."""

import asyncio
import threading
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port

__all__ = ["READ_BYTES", "Forwarder", "ForwarderServer"]

READ_BYTES = 64 * 1024
"""Largest number of bytes in one read."""


@dataclass(slots=True, kw_only=True)
class ForwardedConnection:
    """One forwarded connection.

    Parameters
    ----------
    client, server : IOStream
        Connection from the client that connected, and connection to the target.
    is_silent : bool
        Whether all further bytes are dropped, in both directions.
    """

    client: IOStream
    server: IOStream
    is_silent: bool = False


class ForwarderServer(TCPServer):
    """Forwards each accepted connection to one target address."""

    def __init__(self, *, host, port):
        super().__init__()
        self.host = host
        self.port = port
        self.is_partitioned = False
        self.connections = []

    async def handle_stream(self, stream, address):
        """Connect to the target and forward in both directions."""
        if self.is_partitioned:
            stream.close()
            return
        try:
            server = await TCPClient().connect(self.host, self.port)
        except OSError:
            stream.close()
            return
        connection = ForwardedConnection(client=stream, server=server)
        self.connections.append(connection)
        await asyncio.gather(
            self.forward(connection, connection.client, connection.server),
            self.forward(connection, connection.server, connection.client),
        )
        self.connections.remove(connection)

    async def forward(self, connection, source, sink):
        """Forward bytes in one direction until either side closes the connection.

        The bytes of a silent connection are read and dropped.
        """
        try:
            while True:
                data = await source.read_bytes(READ_BYTES, partial=True)
                if not connection.is_silent:
                    await sink.write(data)
        except StreamClosedError:
            if not connection.is_silent:
                sink.close()


class Forwarder:
    """Runs a forwarder in its own thread and controls its faults.

    Parameters
    ----------
    address : str
        IP address and port to which connections are forwarded.
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
        """Run the forwarder's event loop until `close` is called."""
        asyncio.run(self.serve())

    async def serve(self):
        """Listen until `close` is called, then close every connection."""
        self.loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        sock, port = bind_unused_port()
        self.address = f"127.0.0.1:{port}"
        self.server = self.server_class(host=self.target_host, port=self.target_port)
        self.server.add_socket(sock)
        self.ready.set()
        await self.stopped.wait()
        self.server.stop()
        self.close_all()

    def close_all(self):
        """Close both sides of every forwarded connection, in the forwarder's loop."""
        for connection in list(self.server.connections):
            connection.client.close()
            connection.server.close()

    def silence_all(self):
        """Make the open connections silent, in the forwarder's loop."""
        for connection in self.server.connections:
            connection.is_silent = True

    def run_in_loop(self, function):
        """Run a function in the forwarder's loop and wait until it has returned."""
        done = threading.Event()

        def run():
            function()
            done.set()

        self.loop.call_soon_threadsafe(run)
        done.wait()

    def close_connections(self):
        """Close the open connections; new ones are forwarded."""
        self.run_in_loop(self.close_all)

    def silence(self):
        """Drop all further bytes of the open connections; new ones are forwarded.

        The open connections stay silent until they are closed.
        """
        self.run_in_loop(self.silence_all)

    def start_partition(self):
        """Simulate a network partition between the clients and the target.

        Open connections become silent, and new ones are closed at once.
        """

        def separate():
            self.server.is_partitioned = True
            self.silence_all()

        self.run_in_loop(separate)

    def end_partition(self):
        """Forward new connections again; silent ones stay silent."""

        def join():
            self.server.is_partitioned = False

        self.run_in_loop(join)

    def close(self):
        """Stop the forwarder and wait for its thread."""
        self.loop.call_soon_threadsafe(self.stopped.set)
        self.thread.join()
