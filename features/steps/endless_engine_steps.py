"""Steps for engines and services that send bytes without an end."""

import asyncio
from contextlib import suppress

from behave import given, then

from features.endpoint.rig import Rig

MEGABYTE = 1024 * 1024
WRITE_BYTES = 64 * 1024
MAX_SENT_BYTES = 64 * MEGABYTE
"""Bytes after which a sender stops, so that a test without a limit ends."""


class EndlessSender:
    """Answers each request with bytes that don't end, until the caller closes."""

    def __init__(self, *, status, start, piece):
        self.start = f"HTTP/1.1 {status} Status\r\n\r\n{start}".encode()
        self.pieces = (piece * (WRITE_BYTES // len(piece))).encode()
        self.sent = 0
        self.is_closed = False

    async def serve(self, reader, writer):
        """Answer the request of a connection; orders are not answered."""
        head = await reader.readuntil(b"\r\n\r\n")
        if b"/cancel" in head:
            writer.close()
            return
        with suppress(ConnectionError):
            writer.write(self.start)
            while self.sent < MAX_SENT_BYTES:
                writer.write(self.pieces)
                await writer.drain()
                self.sent += len(self.pieces)
            while await reader.read(WRITE_BYTES):
                pass
        self.is_closed = True


@given(
    "an endpoint process for {kind} that answers {status:d} with "
    '"{start}", and then "{piece}" again and again'
)
def start_for_endless_sender(context, kind, status, start, piece):
    text = start.encode().decode("unicode_escape")
    context.sender = EndlessSender(status=status, start=text, piece=piece)
    context.rig = rig = Rig(kind=kind)
    context.add_cleanup(rig.close)
    serving = asyncio.start_server(context.sender.serve, "127.0.0.1", rig.engine_port)
    rig.run(serving)
    rig.start()


@then("the connection to the sender is closed after {megabytes:d} MB at most")
def check_closed(context, megabytes):
    sender = context.sender
    context.rig.wait_until(lambda: sender.is_closed, "connection closed")
    assert sender.sent <= megabytes * MEGABYTE, sender.sent
