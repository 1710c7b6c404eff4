"""Handshake of a new stream.

The connecting process proves that it has the fleet's key: it answers a random
challenge with an HMAC.
"""

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

from ..buffers import LARGE_BUFFER_BYTES, limit_receive_buffer
from ..clock import Clock
from ..contracts import Challenge, Decoder, Hello, Message, RevisionId, Welcome
from ..observability import emit
from .core import Connection, LinkError
from .events import PEER_REFUSED, STREAM_OPENED

__all__ = ["HANDSHAKE_TIMEOUT", "Identity", "accept", "compute_proof", "dial"]

HANDSHAKE_TIMEOUT = timedelta(seconds=2)
"""Timeout of the handshake; for the connecting process, connecting included."""

MAX_HANDSHAKE_FRAME_BYTES = 64 * 1024
"""Maximum bytes buffered for a peer that has not yet proved that it has the key."""

NONCE_BYTES = 16
"""Length of a challenge's nonce in bytes."""


@dataclass(slots=True, kw_only=True)
class Identity:
    """Identity of a process in handshakes.

    Parameters
    ----------
    incarnation : str
        Name of the host and an identifier of this start of the process.
    role : str
        Role of the process: ``entry`` or ``endpoint``.
    key : str
        The fleet's shared secret key.
    revision : callable
        Function that returns the `RevisionId` in force.
    """

    incarnation: str
    role: str
    key: str
    revision: Callable[[], RevisionId]


def compute_proof(key: str, nonce: bytes, incarnation: str) -> bytes:
    """Return the HMAC-SHA256 of a challenge's nonce and the sender's incarnation."""
    return hmac.digest(key.encode(), nonce + incarnation.encode(), hashlib.sha256)


async def _receive_one(
    connection: Connection, kind: type
) -> Result[Message, LinkError]:
    while True:
        match await connection.receive():
            case Err(error):
                return Err(error)
            case Ok([]):
                continue
            case Ok([message]) if isinstance(message, kind):
                return Ok(message)
            case _:
                connection.close(reason="unexpected handshake message")
                return Err(
                    LinkError(f"expected {kind.__name__} from {connection.peer}")
                )


async def dial(
    host: str, port: int, *, identity: Identity, clock: Clock
) -> Result["DialledStream", LinkError]:
    """Open a stream to a listening process.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        Port.
    identity : Identity
        Identity of this process.
    clock : Clock
        Clock of the connection.

    Returns
    -------
    Result
        `DialledStream`; or `LinkError` after a failure or `HANDSHAKE_TIMEOUT`.
    """
    peer = f"{host}:{port}"
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT.total_seconds()):
            stream = await TCPClient().connect(host, port)
            if not stream.closed():
                limit_receive_buffer(stream.socket, LARGE_BUFFER_BYTES)
            connection = Connection(stream=stream, peer=peer, clock=clock)
            return await _perform_dial_handshake(connection, identity)
    except TimeoutError:
        return Err(LinkError(f"{peer} did not answer within {HANDSHAKE_TIMEOUT}"))
    except (OSError, StreamClosedError) as error:
        return Err(LinkError(f"{peer} cannot be reached: {error}"))


@dataclass(slots=True, kw_only=True)
class DialledStream:
    """An open connection and the `Welcome` that the peer sent in the handshake."""

    connection: Connection
    welcome: Welcome


async def _perform_dial_handshake(connection: Connection, identity: Identity):
    try:
        match await _receive_one(connection, Challenge):
            case Err(error):
                return Err(error)
            case Ok(challenge):
                connection.send(_make_hello(challenge, identity))
        match await _receive_one(connection, Welcome):
            case Err(error):
                return Err(error)
            case Ok(welcome):
                connection.incarnation = welcome.incarnation
                _log_opened(connection)
                return Ok(DialledStream(connection=connection, welcome=welcome))
    except asyncio.CancelledError:
        connection.close(reason="handshake timeout")
        raise


def _make_hello(challenge: Challenge, identity: Identity) -> Hello:
    return Hello(
        incarnation=identity.incarnation,
        role=identity.role,
        revision=identity.revision(),
        proof=compute_proof(identity.key, challenge.nonce, identity.incarnation),
    )


def _log_opened(connection: Connection) -> None:
    emit(STREAM_OPENED, peer=connection.peer, incarnation=connection.incarnation)


async def accept(
    stream: IOStream,
    peer: str,
    *,
    identity: Identity,
    welcome: Callable[[], Welcome],
    clock: Clock,
) -> Result[Connection, LinkError]:
    """Perform the listening side of the handshake on an accepted socket.

    Parameters
    ----------
    stream : IOStream
        The accepted socket.
    peer : str
        Address of the peer, for the log.
    identity : Identity
        Identity of this process, with the key that the peer must have.
    welcome : callable
        Function that returns the `Welcome` to send.
    clock : Clock
        Clock of the connection.

    Returns
    -------
    Result
        The open connection; or `LinkError`, and the socket is closed.
    """
    connection = Connection(stream=stream, peer=peer, clock=clock)
    connection.decoder = Decoder(max_frame_bytes=MAX_HANDSHAKE_FRAME_BYTES)
    nonce = secrets.token_bytes(NONCE_BYTES)
    connection.send(Challenge(nonce=nonce))
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT.total_seconds()):
            answer = await _receive_one(connection, Hello)
    except TimeoutError:
        answer = Err(LinkError(f"{peer} did not send a hello in time"))
    match answer:
        case Ok(hello) if _has_valid_proof(hello, nonce, identity):
            connection.incarnation = hello.incarnation
            connection.decoder = Decoder()
            connection.send(welcome())
            _log_opened(connection)
            return Ok(connection)
        case Ok(_):
            error = LinkError(f"{peer} does not have the fleet's key; set [fleet] key")
        case Err(receive_error):
            error = receive_error
    emit(PEER_REFUSED, peer=peer, error=str(error))
    connection.close(reason="handshake failed")
    return Err(error)


def _has_valid_proof(hello: Hello, nonce: bytes, identity: Identity) -> bool:
    expected = compute_proof(identity.key, nonce, hello.incarnation)
    return hmac.compare_digest(expected, hello.proof)
