"""Opening a stream: each new stream proves that its dialler has the fleet's key."""

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from ..clock import Clock
from ..contracts import Challenge, Decoder, Hello, Message, RevisionId, Welcome
from ..observability import emit
from .core import Connection, LinkError
from .events import PEER_REFUSED, STREAM_OPENED

__all__ = ["HANDSHAKE_TIMEOUT", "Identity", "accept", "compute_proof", "dial"]

HANDSHAKE_TIMEOUT = timedelta(seconds=2)
"""Longest time from connecting to the last message of the handshake."""

MAX_HELLO_BYTES = 64 * 1024
"""Bytes that a peer may send before it has proved that it has the key."""

NONCE_BYTES = 16
"""Length of a challenge."""


@dataclass(slots=True, kw_only=True)
class Identity:
    """What a process says of itself when it opens a stream.

    Parameters
    ----------
    incarnation : str
        Name of the host and identity of this start.
    role : str
        Role of the process.
    key : str
        The fleet's secret.
    revision : callable
        Returns the `RevisionId` in force.
    """

    incarnation: str
    role: str
    key: str
    revision: Callable[[], RevisionId]


def compute_proof(key: str, nonce: bytes, incarnation: str) -> bytes:
    """Return the proof that a holder of the key answers a challenge with."""
    return hmac.digest(key.encode(), nonce + incarnation.encode(), hashlib.sha256)


async def _expect(connection: Connection, kind: type) -> Result[Message, LinkError]:
    while True:
        match await connection.receive():
            case Err(error):
                return Err(error)
            case Ok([]):
                continue
            case Ok([message]) if isinstance(message, kind):
                return Ok(message)
            case _:
                connection.close(reason="handshake out of order")
                return Err(
                    LinkError(f"expected {kind.__name__} from {connection.peer}")
                )


async def dial(
    host: str, port: int, *, identity: Identity, clock: Clock
) -> Result["Opened", LinkError]:
    """Open a stream to a listening process.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    identity : Identity
        What this process says of itself.
    clock : Clock
        Clock of the connection.

    Returns
    -------
    Result
        The open connection and the peer's `Welcome`; or `LinkError`.
    """
    peer = f"{host}:{port}"
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT.total_seconds()):
            stream = await TCPClient().connect(host, port)
            connection = Connection(stream=stream, peer=peer, clock=clock)
            return await _dial_handshake(connection, identity)
    except TimeoutError:
        return Err(LinkError(f"{peer} did not answer within {HANDSHAKE_TIMEOUT}"))
    except (OSError, StreamClosedError) as error:
        return Err(LinkError(f"{peer} cannot be reached: {error}"))


@dataclass(slots=True, kw_only=True)
class Opened:
    """A dialled stream after its handshake."""

    connection: Connection
    welcome: Welcome


async def _dial_handshake(connection: Connection, identity: Identity):
    try:
        match await _expect(connection, Challenge):
            case Err(error):
                return Err(error)
            case Ok(challenge):
                connection.send(_hello(challenge, identity))
        match await _expect(connection, Welcome):
            case Err(error):
                return Err(error)
            case Ok(welcome):
                connection.incarnation = welcome.incarnation
                _opened(connection)
                return Ok(Opened(connection=connection, welcome=welcome))
    except asyncio.CancelledError:
        connection.close(reason="handshake timeout")
        raise


def _hello(challenge: Challenge, identity: Identity) -> Hello:
    return Hello(
        incarnation=identity.incarnation,
        role=identity.role,
        revision=identity.revision(),
        proof=compute_proof(identity.key, challenge.nonce, identity.incarnation),
    )


def _opened(connection: Connection) -> None:
    emit(STREAM_OPENED, peer=connection.peer, incarnation=connection.incarnation)


async def accept(
    stream: IOStream,
    peer: str,
    *,
    identity: Identity,
    welcome: Callable[[], Welcome],
    clock: Clock,
) -> Result[Connection, LinkError]:
    """Complete the handshake of an accepted socket.

    Parameters
    ----------
    stream : IOStream
        The accepted socket.
    peer : str
        Its address, for the log.
    identity : Identity
        Holds the fleet's key.
    welcome : callable
        Returns the `Welcome` to send.
    clock : Clock
        Clock of the connection.

    Returns
    -------
    Result
        The open connection; or `LinkError`, with the socket closed.
    """
    connection = Connection(stream=stream, peer=peer, clock=clock)
    connection.decoder = Decoder(max_frame_bytes=MAX_HELLO_BYTES)
    nonce = secrets.token_bytes(NONCE_BYTES)
    connection.send(Challenge(nonce=nonce))
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT.total_seconds()):
            answer = await _expect(connection, Hello)
    except TimeoutError:
        answer = Err(LinkError(f"{peer} did not say hello in time"))
    match answer:
        case Ok(hello) if _is_proved(hello, nonce, identity):
            connection.incarnation = hello.incarnation
            connection.decoder = Decoder()
            connection.send(welcome())
            _opened(connection)
            return Ok(connection)
        case Ok(_):
            error = LinkError(f"{peer} lacks the fleet's key; set [fleet] key")
        case Err(found):
            error = found
    emit(PEER_REFUSED, peer=peer, error=str(error))
    connection.close(reason="handshake failed")
    return Err(error)


def _is_proved(hello: Hello, nonce: bytes, identity: Identity) -> bool:
    expected = compute_proof(identity.key, nonce, hello.incarnation)
    return hmac.compare_digest(expected, hello.proof)
