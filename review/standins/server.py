"""Stand-in of a server, run as a process of its own: plain answers and streams.

Usage: server.py ID ADDRESS [SPOILED].  It writes a line of JSON to its standard output
for each run that begins and for each that ends.  What an answer is like stands in the
path of the request: ``.../events-N-MS`` is a stream of N events, MS milliseconds apart,
in chunks; ``.../open-N-MS`` is the same without a length, and ends with its channel;
``.../work-MS`` is a plain answer after MS milliseconds.  With SPOILED, the server
spoils that share of its streams: one byte of an event has another highest bit.

At SIGTERM it crashes as a machine does: its port refuses, then its channels are reset.
"""

import asyncio
import json
import os
import signal
import sys
import time

from http_part import answer_bytes, read_head

JSON = {"Content-Type": "application/json"}
SPOILED_EVENT = 3
"""Event of a spoiled stream in whose id a byte is wrong."""


def report(**values) -> None:
    """Write a line for the script."""
    print(json.dumps({"at": time.monotonic(), **values}), flush=True)


class Server:
    """Runs requests as they come, on every channel one at a time."""

    def __init__(self, name: str, spoiled: float):
        self.name = name
        self.spoiled = spoiled
        self.streams = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.listening: asyncio.Server | None = None

    def crash(self) -> None:
        """End the process without any answer."""
        self.listening.close()
        for writer in self.writers:
            writer.transport.abort()
        asyncio.get_running_loop().call_later(0.01, os._exit, 1)

    async def serve(self, reader, writer) -> None:
        """Answer the requests on one channel."""
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await reader.readexactly(head.length)
                await self.answer(head, body, writer, reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, head, body, writer, reader) -> None:
        """Answer one request as PROTOCOL.md says."""
        method, target, _ = head.first
        if target == "/healthz":
            own = {"Zinniaramp-Instance-Id": self.name}
            return await self.write(writer, answer_bytes(200, b"", own))
        if target in ("/report", "/kv-list"):
            document = {"epoch": 1, "next": 0, "held": [], "busy": False, "waiting": 0}
            found = json.dumps(document).encode()
            return await self.write(writer, answer_bytes(200, found, JSON))
        if head.headers.get("zinniaramp-expect-instance", self.name) != self.name:
            own = {"Zinniaramp-Instance-Id": self.name}
            return await self.write(writer, answer_bytes(421, b"", own))
        request = head.headers.get("zinniaramp-request-id", "")
        if not request:
            refused = {"Zinniaramp-Not-Executed": "1"}
            return await self.write(writer, answer_bytes(400, b"", refused))
        report(
            what="run",
            server=self.name,
            request=request,
            method=method,
            target=target,
            tenant=head.headers.get("zinniaramp-tenant"),
            deadline=head.headers.get("zinniaramp-deadline-ms"),
            after=head.headers.get("last-event-id"),
            bytes=len(body),
        )
        kind, *figures = target.rsplit("/", 1)[1].split("-")
        watch = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(
            self.run(kind, [int(one) for one in figures], head, writer)
        )
        limit = int(head.headers.get("zinniaramp-deadline-ms", "60000")) / 1000
        # A server drops a request when its channel closes or its time is over.
        await asyncio.wait((watch, work), timeout=limit, return_when="FIRST_COMPLETED")
        is_whole = work.done() and work.exception() is None
        watch.cancel()
        work.cancel()
        await asyncio.wait((watch, work))
        report(what="end", server=self.name, request=request, whole=is_whole)
        if not is_whole or kind == "open":
            raise ConnectionError("the channel ends here")

    async def run(self, kind, figures, head, writer) -> None:
        """Work on one request and write its answer."""
        request = head.headers["zinniaramp-request-id"]
        signed = {
            "Zinniaramp-Request-Id": request,
            "Zinniaramp-Server-Stamp": f"stamp.{self.name}",
        }
        if kind not in ("events", "open"):
            await asyncio.sleep(figures[0] / 1000)
            body = f"{self.name} answers {request}\n".encode()
            return await self.write(writer, answer_bytes(200, body, signed))
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in signed.items()]
        is_chunked = kind == "events"
        lines += ["Transfer-Encoding: chunked"] if is_chunked else []
        lines += ["", ""]
        await self.write(writer, "\r\n".join(lines).encode())
        count, gap_ms = figures
        self.streams += 1
        # The first stream is sound, and then each one that completes the share.
        share = self.spoiled
        is_spoiled = int(self.streams * share) > int((self.streams - 1) * share)
        for number in range(int(head.headers.get("last-event-id", "0")) + 1, count + 1):
            await asyncio.sleep(gap_ms / 1000)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if is_spoiled and number == SPOILED_EVENT:
                report(what="spoil", server=self.name, request=request)
                event = event[:4] + bytes((event[4] | 0x80,)) + event[5:]
            if is_chunked:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            await self.write(writer, event)
        if is_chunked:
            await self.write(writer, b"0\r\n\r\n")

    @staticmethod
    async def write(writer, data: bytes) -> None:
        """Write bytes and wait until they have left."""
        writer.write(data)
        await writer.drain()


async def main(name: str, address: str, spoiled: float) -> None:
    """Listen until the process is ended."""
    ip, _, port = address.rpartition(":")
    server = Server(name, spoiled)
    server.listening = await asyncio.start_server(server.serve, ip, int(port))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, server.crash)
    report(what="listens", server=name)
    await asyncio.Event().wait()


if __name__ == "__main__":
    share = float(sys.argv[3]) if len(sys.argv) > 3 else 0.0
    asyncio.run(main(sys.argv[1], sys.argv[2], share))
