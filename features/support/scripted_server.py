"""A server that answers each request with given bytes; for tests only."""

import asyncio
import contextlib
import socket
import struct

__all__ = ["NO_LINGER", "ScriptedServer"]

LOOPBACK = "127.0.0.1"

RECEIVE_BUFFER_BYTES = 4096
"""Size of the kernel's receive buffer, so that most of a long body is not received."""

READ_BYTES = 256
"""Size of one read, so that hardly anything of a body is read with the head."""

BODY_READ_BYTES = 64 * 1024
"""Size of one read of a server that reads the body."""

RESET_DELAY_SECONDS = 0.1
"""Time between the end of the bytes and a reset of the connection."""

NO_LINGER = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing a connection resets it."""


class ScriptedServer:
    """Reads the head of each request, sends bytes, and ends the connection.

    Parameters
    ----------
    answer : str
        What it sends; ``{id}`` stands for the request's id.
    end : str
        How it ends the connection: "closed", "reset", "reset at once", or "closed and
        then reset", which is what a process that ends leaves to its host.
    reads_body : bool
        Whether it reads the body of the request before it answers.
    port : int
        Port on which it listens; 0 for a free one.
    """

    def __init__(self, *, answer, end, reads_body=False, port=0):
        self.answer = answer
        self.end = end
        self.reads_body = reads_body
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if not reads_body:
            self.listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self.listener.bind((LOOPBACK, port))
        self.listener.listen()
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]

    async def run(self):
        """Serve connections until cancelled."""
        loop = asyncio.get_running_loop()
        with self.listener:
            async with asyncio.TaskGroup() as tasks:
                while True:
                    connection, _ = await loop.sock_accept(self.listener)
                    tasks.create_task(self.serve(connection))

    async def serve(self, connection):
        """Answer the request of one connection."""
        loop = asyncio.get_running_loop()
        connection.setblocking(False)
        with connection, contextlib.suppress(ConnectionError):
            data = await read_until(connection, lambda data: b"\r\n\r\n" in data)
            head = data.partition(b"\r\n\r\n")[0]
            if self.reads_body:
                size = len(head) + 4 + int(read_header(head, "Content-Length") or 0)
                await read_until(
                    connection, lambda data: len(data) >= size, data, BODY_READ_BYTES
                )
            answer = self.answer.replace("{id}", read_header(head, "Request-Id"))
            await loop.sock_sendall(connection, answer.encode())
            if self.end == "closed and then reset":
                connection.shutdown(socket.SHUT_WR)
            if self.end != "reset at once":
                await asyncio.sleep(RESET_DELAY_SECONDS)
            if self.end != "closed":
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


async def read_until(connection, condition, data=b"", count=READ_BYTES):
    """Read pieces of a number of bytes until a condition holds for all of them."""
    loop = asyncio.get_running_loop()
    while not condition(data):
        piece = await loop.sock_recv(connection, count)
        if not piece:
            raise ConnectionResetError
        data += piece
    return data


def read_header(head, name):
    """Return the value of the header whose name ends with a text; "" without one."""
    for line in head.decode("latin-1").split("\r\n"):
        found, _, value = line.partition(": ")
        if found.endswith(name):
            return value
    return ""
