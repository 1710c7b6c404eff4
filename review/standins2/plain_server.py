"""An application server as a process of its own: ``python3 plain_server.py ID``.

Its answers have no length and end with their channel.  It writes an answer while it
works on it.  The first line of its output is its port.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.wire import format_head, read_message

LOOPBACK = "127.0.0.1"

PIECES, PIECE_BYTES = 8, 100
"""Pieces in which an answer is written; the sheet has answers of 800 bytes."""

PIECE_SECONDS = 0.011
"""Time of a piece; the sheet has 90 ms of work."""


def whole_body(request_id: str) -> bytes:
    """Return the body of the answer to a request."""
    lines = [
        f"{request_id} line {number} of {PIECES}" for number in range(1, PIECES + 1)
    ]
    return b"".join(f"{line:<{PIECE_BYTES - 1}}\n".encode() for line in lines)


class PlainServer:
    """The server.

    Parameters
    ----------
    id : str
        Id of the instance.
    """

    def __init__(self, *, id: str):
        self.id = id

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, and close its channel."""
        try:
            request = await read_message(reader)
            if request is not None:
                await self.answer(request.headers, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Write an answer without a length."""
        name = headers.get("zinniaramp-request-id", "")
        expected = headers.get("zinniaramp-expect-instance", self.id)
        if expected != self.id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
            )
            return
        answer_headers = {
            "Zinniaramp-Request-Id": name,
            "Zinniaramp-Server-Stamp": f"stamp.{self.id}",
            "Content-Type": "text/plain",
            "Connection": "close",
        }
        writer.write(format_head("HTTP/1.1 200 OK", answer_headers))
        body = whole_body(name)
        for start in range(0, len(body), PIECE_BYTES):
            writer.write(body[start : start + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(PIECE_SECONDS)


async def main() -> None:
    """Listen on a free port of loopback until the process is ended."""
    server = PlainServer(id=sys.argv[1])
    listener = await asyncio.start_server(server.serve, LOOPBACK, 0)
    print(listener.sockets[0].getsockname()[1], flush=True)
    await listener.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
