"""Messages between entries, as arrays of MessagePack."""

from dataclasses import dataclass

import msgpack

from ..placement.prompts import PromptSegment
from ..registry.items import Item, Snapshot

__all__ = [
    "Hello",
    "LoadEvent",
    "Message",
    "MessageError",
    "NeedItems",
    "Reader",
    "SendBegun",
    "SendEnded",
    "SendStarted",
    "State",
    "encode",
]

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
"""Largest message: all items of the store, of which one may have a megabyte."""


class MessageError(Exception):
    """Bytes that are not a message."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Hello:
    """First message of a connection: who speaks, and whom it knows."""

    address: str
    known: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class State:
    """Heartbeat: the revision up to which the speaker knows the store."""

    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class NeedItems:
    """Asks for the items after a revision."""

    after: int


@dataclass(slots=True, kw_only=True, frozen=True)
class SendStarted:
    """A request is being sent to an engine.

    Parameters
    ----------
    number : int
        Names the send among those of the speaker.
    engine : str
        The engine's incarnation.
    prompt_tokens, output_estimate : int
        What it asks.
    parts : tuple of PromptSegment
        Parts of its prompt.
    max_consecutive_chunks : int or None
        Whole chunks that may be read in a row beside its stream.
    """

    number: int
    engine: str
    prompt_tokens: int
    output_estimate: int
    parts: tuple[PromptSegment, ...]
    max_consecutive_chunks: int | None


@dataclass(slots=True, kw_only=True, frozen=True)
class SendBegun:
    """The first event of a send has come."""

    number: int


@dataclass(slots=True, kw_only=True, frozen=True)
class SendEnded:
    """A send has ended, whichever way."""

    number: int


LoadEvent = SendStarted | SendBegun | SendEnded
Message = Hello | State | NeedItems | Snapshot | LoadEvent

_HELLO, _STATE, _NEED, _ITEMS, _STARTED, _BEGUN, _ENDED = range(7)


def _as_array(message: Message) -> list:
    match message:
        case Hello():
            return [_HELLO, message.address, list(message.known)]
        case State():
            return [_STATE, message.revision]
        case NeedItems():
            return [_NEED, message.after]
        case Snapshot():
            items = [[one.key, one.revision, one.value] for one in message.items]
            return [_ITEMS, message.revision, items]
        case SendStarted():
            parts = [value for one in message.parts for value in (one.name, one.tokens)]
            return [
                _STARTED,
                message.number,
                message.engine,
                message.prompt_tokens,
                message.output_estimate,
                parts,
                message.max_consecutive_chunks,
            ]
        case SendBegun():
            return [_BEGUN, message.number]
        case SendEnded():
            return [_ENDED, message.number]


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return msgpack.packb(_as_array(message))


def _items(revision: int, items: list) -> Snapshot:
    read = tuple(
        Item(key=str(key), revision=int(at), value=value) for key, at, value in items
    )
    return Snapshot(revision=int(revision), items=read, is_complete=False)


def _started(
    number, engine, prompt, output, parts, max_consecutive_chunks
) -> SendStarted:
    pairs = zip(parts[::2], parts[1::2], strict=True)
    return SendStarted(
        number=int(number),
        engine=str(engine),
        prompt_tokens=int(prompt),
        output_estimate=int(output),
        parts=tuple(PromptSegment(name=str(n), tokens=int(t)) for n, t in pairs),
        max_consecutive_chunks=None
        if max_consecutive_chunks is None
        else int(max_consecutive_chunks),
    )


_READERS = {
    _HELLO: lambda address, known: Hello(
        address=str(address), known=tuple(str(one) for one in known)
    ),
    _STATE: lambda revision: State(revision=int(revision)),
    _NEED: lambda after: NeedItems(after=int(after)),
    _ITEMS: _items,
    _STARTED: _started,
    _BEGUN: lambda number: SendBegun(number=int(number)),
    _ENDED: lambda number: SendEnded(number=int(number)),
}


class Reader:
    """Reads messages from the bytes of one connection."""

    __slots__ = ("unpacker",)

    def __init__(self):
        self.unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that the bytes complete.

        Raises
        ------
        MessageError
            The bytes are not messages; end the connection.
        """
        try:
            self.unpacker.feed(data)
            return [_READERS[kind](*fields) for kind, *fields in self.unpacker]
        except (
            msgpack.UnpackException,
            msgpack.BufferFull,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise MessageError(repr(error)) from error
