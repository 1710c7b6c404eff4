"""Peers that open streams and exchange heartbeats but handle no requests."""

import asyncio
from datetime import timedelta

from result import Err, Ok
from tornado.testing import bind_unused_port

from ..clock import Clock
from ..contracts import Load, Ping, Pong, RevisionId, Welcome
from ..links import Connection, Identity, Listener, dial

__all__ = ["IdleEndpoint", "idle_identity", "keep_idle_stream"]

REVISION = RevisionId(index=1, digest="0" * 64)
"""Revision that idle peers report; its digest has the length of a real one."""

SHORT_REVISION = REVISION.with_short_digest()
"""`REVISION` with the short digest that heartbeats carry."""

LOAD = Load(running=3, width=8, queued=2, queue_s=1.5, urgent_s=0.2, tokens_per_s=500.0)
"""Load that idle endpoints report."""


def idle_identity(name: str, role: str, key: str) -> Identity:
    """Return the identity that an idle peer presents when a stream opens."""
    return Identity(
        incarnation=f"{name}/0123456789ab",
        role=role,
        key=key,
        revision=lambda: REVISION,
    )


class IdleEndpoint:
    """Endpoint that accepts streams and answers heartbeats only.

    Parameters
    ----------
    name : str
        Name of the host in the host list.
    key : str
        Key of the fleet, which authenticates peers.
    model : str
        Model that the endpoint reports as served.
    clock : Clock
        Clock of the streams.
    """

    def __init__(self, *, name: str, key: str, model: str, clock: Clock):
        self.name = name
        self.model = model
        self.listener = Listener(
            identity=idle_identity(name, "endpoint", key),
            welcome=self.welcome,
            serve=self.serve,
            clock=clock,
        )
        sock, port = bind_unused_port()
        self.listener.add_socket(sock)
        self.address = f"127.0.0.1:{port}"

    def welcome(self) -> Welcome:
        """Return the first message on a new stream."""
        return Welcome(
            incarnation=self.listener.identity.incarnation,
            revision=REVISION,
            leaving=False,
            load=LOAD,
            serves=[self.model],
        )

    async def serve(self, connection: Connection) -> None:
        """Answer heartbeats on a stream until it ends."""
        while True:
            match await connection.receive():
                case Err(_):
                    return
                case Ok(messages):
                    answer_pings(connection, messages)


def answer_pings(connection: Connection, messages: list) -> None:
    """Answer each heartbeat in a list of messages; ignore other messages."""
    for message in messages:
        if isinstance(message, Ping):
            connection.send(
                Pong(number=message.number, revision=SHORT_REVISION, load=LOAD)
            )


async def keep_idle_stream(
    host: str, port: int, *, identity: Identity, heartbeat: timedelta, clock: Clock
) -> None:
    """Connect to an endpoint process and send heartbeats until cancelled."""
    opened = (await dial(host, port, identity=identity, clock=clock)).unwrap()
    connection = opened.connection
    receiver = asyncio.create_task(drop_messages(connection))
    number = 0
    try:
        while not receiver.done():
            number += 1
            connection.send(Ping(number=number, revision=SHORT_REVISION))
            await asyncio.sleep(heartbeat.total_seconds())
    finally:
        connection.close(reason="experiment ended")


async def drop_messages(connection: Connection) -> None:
    """Receive and discard messages until the stream ends."""
    while isinstance(await connection.receive(), Ok):
        continue
