"""Reading and writing of HTTP/1.1 messages, with the standard library only."""

import asyncio
from dataclasses import dataclass

__all__ = ["Message", "format_head", "read_message"]


@dataclass(slots=True, kw_only=True)
class Message:
    """A request or an answer.

    Parameters
    ----------
    start : list of str
        Words of the first line.
    headers : dict of str
        Header fields by lower-case name.
    body : bytes
        Body, if it has a length or chunks.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader, begun: bytes) -> Message | None:
    """Read the first line and the header fields; None if the channel ends before."""
    try:
        block = begun + await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    return Message(start=lines[0].split(" ", 2), headers=headers)


async def read_message(
    reader: asyncio.StreamReader, begun: bytes = b""
) -> Message | None:
    """Read a complete message; None if the channel ends before its end.

    Parameters
    ----------
    reader : asyncio.StreamReader
        The channel.
    begun : bytes
        What was read of the message before.
    """
    message = await read_head(reader, begun)
    if message is None:
        return None
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            message.body = await _read_chunks(reader)
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


def format_head(start: str, headers: dict[str, str]) -> bytes:
    """Return the first line and the header fields as bytes."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")
