"""Encoding of messages as msgpack arrays of a kind number and the fields."""

import dataclasses
from collections.abc import Iterator
from typing import get_args

import msgpack
from pydantic import ValidationError
from result import Err, Ok, Result

from .core import (
    Challenge,
    Hello,
    Leaving,
    Load,
    Message,
    Ping,
    Pong,
    RevisionId,
    SectionsReply,
    SectionsRequest,
    Welcome,
)

__all__ = [
    "CONTROL_TYPES",
    "MAX_FRAME_BYTES",
    "ContractError",
    "Decoder",
    "encode",
]

CONTROL_TYPES = frozenset(
    {
        Challenge,
        Hello,
        Welcome,
        Leaving,
        Ping,
        Pong,
        SectionsRequest,
        SectionsReply,
    }
)
"""Messages that serve the fleet itself; all others serve callers' requests."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest encoded message, in bytes: the largest request body and its headers."""

MAX_ARRAY_LENGTH = 16_384
"""Most elements of one array; memory for them is taken before they arrive."""

_NESTED_TYPES = {Load, RevisionId}
_CLASSES = dict(enumerate(get_args(Message)))
_KINDS = {cls: kind for kind, cls in _CLASSES.items()}
_FIELDS = {
    cls: [field.name for field in dataclasses.fields(cls)]
    for cls in [*_KINDS, *_NESTED_TYPES]
}
_NESTED_FIELDS = {
    cls: {
        field.name: field.type
        for field in dataclasses.fields(cls)
        if field.type in _NESTED_TYPES
    }
    for cls in _KINDS
}


class ContractError(Exception):
    """A peer sent bytes that are not a message."""


def _values(record):
    values = []
    for name in _FIELDS[type(record)]:
        value = getattr(record, name)
        if type(value) in _NESTED_TYPES:
            value = _values(value)
        values.append(value)
    return values


def encode(message: Message) -> bytes:
    """Return the frame that carries one message."""
    return msgpack.packb([_KINDS[type(message)], *_values(message)])


def _build(cls, values):
    names = _FIELDS[cls]
    if not isinstance(values, list) or len(values) != len(names):
        raise ContractError(f"{cls.__name__} needs {len(names)} fields")
    return cls(**dict(zip(names, values, strict=True)))


def _message_of(frame) -> Message:
    if not isinstance(frame, list) or not frame:
        raise ContractError("frame is not an array with a kind number")
    kind, values = frame[0], frame[1:]
    if not isinstance(kind, int) or kind not in _CLASSES:
        raise ContractError(f"unknown message kind {kind!r:.40}")
    cls = _CLASSES[kind]
    if len(values) != len(_FIELDS[cls]):
        raise ContractError(f"{cls.__name__} needs {len(_FIELDS[cls])} fields")
    for name, nested in _NESTED_FIELDS[cls].items():
        position = _FIELDS[cls].index(name)
        values[position] = _build(nested, values[position])
    return _build(cls, values)


class Decoder:
    """Turns received bytes into messages.

    Parameters
    ----------
    max_frame_bytes : int
        Bound on the bytes that are held for one frame.

    Attributes
    ----------
    control_bytes : int
        Bytes of the control messages decoded so far.
    """

    __slots__ = ("unpacker", "control_bytes")

    def __init__(self, *, max_frame_bytes: int = MAX_FRAME_BYTES):
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=max_frame_bytes,
            max_array_len=MAX_ARRAY_LENGTH,
            max_map_len=0,
            max_ext_len=0,
        )
        self.control_bytes = 0

    def feed(self, data: bytes) -> Result[list[Message], ContractError]:
        """Decode the messages that ``data`` completes.

        Parameters
        ----------
        data : bytes
            Bytes as received, with any boundaries.

        Returns
        -------
        Result
            The messages in order; or `ContractError`, after which the decoder
            must not be used any more.
        """
        try:
            self.unpacker.feed(data)
            return Ok(list(self._messages()))
        except ContractError as error:
            return Err(error)
        except (ValidationError, TypeError) as error:
            return Err(ContractError(f"wrong field: {error}"[:400]))
        except (msgpack.UnpackException, ValueError, RecursionError) as error:
            return Err(ContractError(f"not msgpack: {error}"[:400]))

    def _messages(self) -> Iterator[Message]:
        start = self.unpacker.tell()
        for frame in self.unpacker:
            message = _message_of(frame)
            end = self.unpacker.tell()
            if type(message) in CONTROL_TYPES:
                self.control_bytes += end - start
            start = end
            yield message
