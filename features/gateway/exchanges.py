"""Requests to the gateway as bytes, and the replies that a caller reads."""

import asyncio
from dataclasses import dataclass

STREAM_PATH_PREFIXES = ("/tell/", "/resume/", "/gaps/", "/ask/", "/sum/", "/talk/")
API_KEY = "key-1"
HOSTNAME = "films.example"


@dataclass(slots=True, kw_only=True)
class Reply:
    """Answer that a caller received; status 0 if the headers were incomplete."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


def request(
    path, *, name="r-1", method="GET", body=b"", deadline_ms=5000, key=API_KEY, lines=()
):
    """Return the bytes of an HTTP request."""
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"Zinniaramp-Request-Id: {name}",
        f"Zinniaramp-Deadline-Ms: {deadline_ms}",
    ]
    if key:
        head.append(f"Authorization: Bearer {key}")
    if body or method != "GET":
        head.append(f"Content-Length: {len(body)}")
    if path.startswith(STREAM_PATH_PREFIXES):
        head.append("Accept: text/event-stream")
    head.extend(lines)
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


async def read_reply(reader, on_headers=lambda: None):
    """Read one reply; `is_complete` is false if the connection closed too early."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(status=0, headers={}, body=b"", is_complete=False)
    on_headers()
    start, *lines = head.decode().split("\r\n")
    pairs = (line.partition(": ") for line in lines if line)
    headers = {name.lower(): value for name, _, value in pairs}
    status = int(start.split()[1])
    body, is_complete = await _read_body(reader, headers)
    return Reply(status=status, headers=headers, body=body, is_complete=is_complete)


async def _read_body(reader, headers):
    body = b""
    try:
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"])), True
        while "transfer-encoding" in headers:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body, True
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False
    return body, "content-length" in headers
