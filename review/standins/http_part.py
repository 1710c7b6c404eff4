"""The small part of HTTP/1.1 that the stand-ins speak."""

import asyncio
from dataclasses import dataclass

__all__ = ["Head", "answer_bytes", "read_head"]

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request"}
"""Reason phrases; other statuses have a general one."""


@dataclass(slots=True)
class Head:
    """First line and headers of a message; names of headers are in lower case."""

    first: list[str]
    headers: dict[str, str]

    @property
    def length(self) -> int:
        """Length of the body; 0 if none is given."""
        return int(self.headers.get("content-length", "0"))


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read the head of a message; None if the channel ends before one."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0].split(" ", 2), headers)


def answer_bytes(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Return a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
