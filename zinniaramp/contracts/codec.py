"""Encoding of messages as MessagePack arrays.

An array has the number of the message's kind, its position in the union `Message`,
followed by the fields in the order of the class.
"""

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
"""Messages for the fleet's own operation; all others are for callers' requests."""

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest encoded message, in bytes; the largest request body with headers fits."""

MAX_ARRAY_LENGTH = 16_384
"""Maximum elements of one array; the decoder allocates them before they arrive."""

_NESTED_TYPES = {Load, RevisionId}
_CLASS_BY_KIND = dict(enumerate(get_args(Message)))
_KIND_BY_CLASS = {cls: kind for kind, cls in _CLASS_BY_KIND.items()}
_FIELD_NAMES = {
    cls: [field.name for field in dataclasses.fields(cls)]
    for cls in [*_KIND_BY_CLASS, *_NESTED_TYPES]
}
_NESTED_TYPE_BY_FIELD = {
    cls: {
        field.name: field.type
        for field in dataclasses.fields(cls)
        if field.type in _NESTED_TYPES
    }
    for cls in _KIND_BY_CLASS
}


class ContractError(Exception):
    """Received bytes are not a valid message."""


def _field_values(record):
    values = []
    for name in _FIELD_NAMES[type(record)]:
        value = getattr(record, name)
        if type(value) in _NESTED_TYPES:
            value = _field_values(value)
        values.append(value)
    return values


def encode(message: Message) -> bytes:
    """Return the frame of one message."""
    return msgpack.packb([_KIND_BY_CLASS[type(message)], *_field_values(message)])


def _build_instance(cls, values):
    names = _FIELD_NAMES[cls]
    if not isinstance(values, list) or len(values) != len(names):
        raise ContractError(f"{cls.__name__} requires {len(names)} fields")
    return cls(**dict(zip(names, values, strict=True)))


def _build_message(frame) -> Message:
    if not isinstance(frame, list) or not frame:
        raise ContractError("frame is not an array that starts with a message kind")
    kind, values = frame[0], frame[1:]
    if not isinstance(kind, int) or kind not in _CLASS_BY_KIND:
        raise ContractError(f"unknown message kind {kind!r:.40}")
    cls = _CLASS_BY_KIND[kind]
    if len(values) != len(_FIELD_NAMES[cls]):
        raise ContractError(f"{cls.__name__} requires {len(_FIELD_NAMES[cls])} fields")
    for name, nested_type in _NESTED_TYPE_BY_FIELD[cls].items():
        position = _FIELD_NAMES[cls].index(name)
        values[position] = _build_instance(nested_type, values[position])
    return _build_instance(cls, values)


class Decoder:
    """Incremental decoder of one stream's messages.

    Parameters
    ----------
    max_frame_bytes : int
        Maximum number of bytes that are buffered for a frame.

    Attributes
    ----------
    control_bytes : int
        Bytes of the control messages decoded so far.
    received_bytes : int
        Bytes received so far.
    """

    __slots__ = ("unpacker", "control_bytes", "received_bytes")

    def __init__(self, *, max_frame_bytes: int = MAX_FRAME_BYTES):
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=max_frame_bytes,
            max_array_len=MAX_ARRAY_LENGTH,
            max_map_len=0,
            max_ext_len=0,
        )
        self.control_bytes = 0
        self.received_bytes = 0

    def feed(self, data: bytes) -> Result[list[Message], ContractError]:
        """Decode the messages that ``data`` completes.

        Parameters
        ----------
        data : bytes
            Bytes as received; frames may be split at any position.

        Returns
        -------
        Result
            The messages in order; or `ContractError`, after which the decoder must
            not be used again.
        """
        self.received_bytes += len(data)
        try:
            self.unpacker.feed(data)
            return Ok(list(self._decode_messages()))
        except ContractError as error:
            return Err(error)
        except (ValidationError, TypeError) as error:
            return Err(ContractError(f"invalid field: {error}"[:400]))
        except (msgpack.UnpackException, ValueError, RecursionError) as error:
            return Err(ContractError(f"invalid MessagePack: {error}"[:400]))

    def has_partial_message(self) -> bool:
        """Return whether a message has arrived in part."""
        return self.received_bytes > self.unpacker.tell()

    def _decode_messages(self) -> Iterator[Message]:
        start = self.unpacker.tell()
        for frame in self.unpacker:
            message = _build_message(frame)
            end = self.unpacker.tell()
            if type(message) in CONTROL_TYPES:
                self.control_bytes += end - start
            start = end
            yield message
