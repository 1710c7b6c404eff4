"""Peers without work: they keep streams alive and do nothing else."""

import asyncio
from datetime import timedelta

from result import Err, Ok
from tornado.testing import bind_unused_port

from ..clock import Clock
from ..contracts import Load, Ping, Pong, RevisionId, Welcome
from ..links import Connection, Identity, Listener, dial

__all__ = ["IdleEndpoint", "idle_identity", "keep_idle_stream"]

REVISION = RevisionId(index=1, digest="0" * 64)
"""Revision that idle peers say they hold; as long as a real one."""

BRIEF = REVISION.with_short_digest()
"""The same as heartbeats carry it."""

LOAD = Load(running=3, width=8, queued=2, queue_s=1.5, urgent_s=0.2, tokens_per_s=500.0)
"""Load that idle endpoints report."""


def idle_identity(name: str, role: str, key: str) -> Identity:
    """Return the identity of an idle peer."""
    return Identity(
        incarnation=f"{name}/0123456789ab",
        role=role,
        key=key,
        revision=lambda: REVISION,
    )


class IdleEndpoint:
    """A stream listener that answers heartbeats.

    Parameters
    ----------
    name : str
        Name of its host.
    key : str
        The fleet's key.
    model : str
        Model that it says it serves.
    clock : Clock
        Clock of its streams.
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
        """Return the greeting for a new stream."""
        return Welcome(
            incarnation=self.listener.identity.incarnation,
            revision=REVISION,
            leaving=False,
            load=LOAD,
            serves=[self.model],
        )

    async def serve(self, connection: Connection) -> None:
        """Answer heartbeats until the stream ends."""
        while True:
            match await connection.receive():
                case Err(_):
                    return
                case Ok(messages):
                    answer_pings(connection, messages)


def answer_pings(connection: Connection, messages: list) -> None:
    """Answer the heartbeats among some messages."""
    for message in messages:
        if isinstance(message, Ping):
            connection.send(Pong(number=message.number, revision=BRIEF, load=LOAD))


async def keep_idle_stream(
    host: str, port: int, *, identity: Identity, heartbeat: timedelta, clock: Clock
) -> None:
    """Dial an endpoint process and send heartbeats until cancelled."""
    opened = (await dial(host, port, identity=identity, clock=clock)).unwrap()
    connection = opened.connection
    receiver = asyncio.create_task(drop_messages(connection))
    number = 0
    try:
        while not receiver.done():
            number += 1
            connection.send(Ping(number=number, revision=BRIEF))
            await asyncio.sleep(heartbeat.total_seconds())
    finally:
        connection.close(reason="experiment ended")


async def drop_messages(connection: Connection) -> None:
    """Receive and drop messages until the stream ends."""
    while isinstance(await connection.receive(), Ok):
        continue
