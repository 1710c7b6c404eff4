"""Minimal HTTP/1.1 on asyncio streams, for the stand-ins."""

import asyncio


class Head:
    """Start line and headers of a message.

    Attributes
    ----------
    line : list of str
        The three words of the start line.
    headers : dict of str
        Values by the name in lower case.
    """

    def __init__(self, block: bytes):
        lines = block.decode("latin-1").split("\r\n")
        self.line = lines[0].split(" ", 2)
        self.headers = {}
        for text in lines[1:]:
            name, colon, value = text.partition(":")
            if colon:
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header."""
        return self.headers.get(name.lower(), default)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a start line and headers; None if the connection ends before them."""
    try:
        return Head(await reader.readuntil(b"\r\n\r\n"))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a body with a length or in chunks.

    Raises
    ------
    asyncio.IncompleteReadError
        The connection ends before the body does.
    """
    if "chunked" in head.get("transfer-encoding").lower():
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return body
            body += data[:-2]
    return await reader.readexactly(int(head.get("content-length", "0")))


def make_message(line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [line, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
