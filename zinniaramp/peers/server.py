"""Listener for the connections of peers, and handling of their messages."""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from ..buffers import count_unread
from ..intake import Account, Holder, Kind, Phase
from ..observability import emit
from ..registry import Snapshot, StoreRevision
from ..sockets import enable_keepalive
from .codec import MessageDecoder, MessageError, encode
from .events import ITEMS_SENT_TO_PEER, PEER_DISCONNECTED, PEER_SENT_INVALID_DATA
from .messages import (
    Heartbeat,
    Hello,
    ItemsRequest,
    Message,
    OriginAnswer,
    OriginRequest,
)
from .writer import ReplyWriter

if TYPE_CHECKING:
    from .core import PeerMesh

__all__ = ["MAX_READ_BYTES", "PEER_TIMEOUT", "MeshServer"]

PEER_TIMEOUT = timedelta(seconds=3)
"""Time without received data after which a peer's connection is closed and its load
events are discarded: three heartbeat intervals.

It is also the timeout of one write to a peer.
"""

MAX_READ_BYTES = 64 * 1024
"""Maximum size of one read."""


MAX_INBOUND_BYTES = 256 * 1024
"""Largest message on an accepted connection.  The largest valid one, a greeting that
names 1,000 peers, has 22 KB; items of the store arrive on the other connections."""


class MeshServer(TCPServer):
    """Accepts the connections of peers and handles their messages.

    Parameters
    ----------
    mesh : PeerMesh
        Mesh that uses the messages.

    Attributes
    ----------
    account : Account or None
        Account that admits connections; None admits all.
    encoded : tuple or None
        Revisions between which a peer last missed changes, and these changes.
    """

    def __init__(self, mesh: "PeerMesh"):
        super().__init__(max_buffer_size=2 * MAX_INBOUND_BYTES)
        self.mesh = mesh
        self.account: Account | None = None
        self.encoded: tuple[tuple[StoreRevision, StoreRevision], bytes] | None = None

    def handle_stream(
        self, stream: IOStream, address: tuple
    ) -> Coroutine[None, None, None] | None:
        """Handle the messages of a connection until it closes."""
        holder = None
        if self.account is not None:
            connection = stream.socket
            holder = self.account.open(
                Kind.PEER,
                lambda phase: stream.close(),
                lambda: count_unread(connection),
            )
            if holder is None:
                stream.close()
                return None
        return self._handle(stream, address, holder)

    async def _handle(
        self, stream: IOStream, address: tuple, holder: Holder | None
    ) -> None:
        enable_keepalive(stream.socket)
        connection = "{}:{}".format(*address)
        problem = ""
        try:
            await self._read_messages(connection, stream, holder)
        except (StreamClosedError, TimeoutError) as error:
            problem = repr(error)
        except MessageError as error:
            problem = str(error)
            emit(PEER_SENT_INVALID_DATA, peer=connection, problem=problem)
        finally:
            stream.close()
            if holder is not None:
                holder.close()
            self._remove_connection(connection, problem)

    async def _read_messages(
        self, connection: str, stream: IOStream, holder: Holder | None = None
    ) -> None:
        writer = ReplyWriter(stream=stream)
        writing = asyncio.create_task(writer.run())
        decoder = MessageDecoder(max_bytes=MAX_INBOUND_BYTES)
        try:
            while True:
                async with asyncio.timeout(PEER_TIMEOUT.total_seconds()):
                    data = await stream.read_bytes(MAX_READ_BYTES, partial=True)
                messages = decoder.feed(data)
                if holder is not None:
                    _charge(holder, data, messages)
                for message in messages:
                    self._handle_message(connection, message, writer)
        finally:
            writing.cancel()

    def _handle_message(
        self, connection: str, message: Message, writer: ReplyWriter
    ) -> None:
        mesh = self.mesh
        match message:
            case Hello():
                mesh.inbound_peers[connection] = message
                self._add_peers((message.address, *message.known_peers))
            case Heartbeat():
                hello = mesh.inbound_peers.get(connection)
                if hello is not None:
                    mesh.record_heartbeat(hello.address, message)
            case ItemsRequest(after=after):
                self._send_items(connection, after, writer)
            case OriginRequest(key=key):
                answer = OriginAnswer(key=key, origin=mesh.find_origin(key))
                writer.send(encode(answer))
            case Snapshot() | OriginAnswer():
                raise MessageError("reply that was not requested")
            case _:
                mesh.on_load_event(connection, message)

    def _send_items(
        self, connection: str, after: StoreRevision, writer: ReplyWriter
    ) -> None:
        """Send the items that changed after a revision, one copy at a time."""
        if writer.items:
            return
        cache = self.mesh.registry.cache
        data = self._encode_changes(after)
        writer.send_items(data)
        emit(
            ITEMS_SENT_TO_PEER,
            peer=connection,
            after=after.number,
            revision=cache.revision.number,
            bytes=len(data),
        )

    def _encode_changes(self, after: StoreRevision) -> bytes:
        """Encode the changes after a revision, which several peers may miss at once."""
        cache = self.mesh.registry.cache
        key = after, cache.revision
        if self.encoded is None or self.encoded[0] != key:
            self.encoded = key, encode(cache.changes_since(after))
        return self.encoded[1]

    def _add_peers(self, addresses: tuple[str, ...]) -> None:
        try:
            for address in addresses:
                self.mesh.add_peer(address)
        except ValueError as error:
            raise MessageError(str(error)) from error

    def _remove_connection(self, connection: str, problem: str) -> None:
        hello = self.mesh.inbound_peers.pop(connection, None)
        if hello is not None:
            self.mesh.peer_revisions.pop(hello.address, None)
            self.mesh.on_load_event(connection, None)
            emit(PEER_DISCONNECTED, peer=hello.address, problem=problem)


def _charge(holder: Holder, data: bytes, messages: list[Message]) -> None:
    """Charge received bytes until they are decoded.

    Connections that have sent a valid message are evicted after those that have not.
    """
    if messages:
        holder.set_buffered(0)
        holder.enter(Phase.IDLE)
    else:
        holder.set_buffered(holder.buffered + len(data))
