"""Stand-in of clients: one request on a new channel, answered or not."""

import asyncio
from dataclasses import dataclass

from .http import make_message, read_body, read_head

LOOPBACK = "127.0.0.1"


@dataclass
class Answer:
    """What a client saw: the status, 0 if the channel ended without an answer."""

    status: int
    headers: dict
    body: bytes
    problem: str = ""


async def send(
    port: int,
    *,
    method: str,
    path: str,
    host: str,
    id: str,
    key: str = "",
    deadline_ms: int = 3000,
    body: bytes = b"",
    extra: dict | None = None,
) -> Answer:
    """Send one request and return its answer."""
    headers = {"Host": host, "Zinniaramp-Request-Id": id}
    headers["Zinniaramp-Deadline-Ms"] = str(deadline_ms)
    if key:
        headers["Authorization"] = f"Bearer {key}"
    headers |= extra or {}
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            line = f"{method} {path} HTTP/1.1"
            writer.write(make_message(line, headers, body))
            head = await read_head(reader)
            if head is None:
                return Answer(0, {}, b"", "channel closed")
            answer = await read_body(reader, head)
            return Answer(int(head.line[1]), head.headers, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        return Answer(0, {}, b"", repr(error))
    finally:
        if writer is not None:
            writer.close()
