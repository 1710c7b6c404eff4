"""Stand-in for a model engine."""

import asyncio
import json
import sys

import tornado.web

from .text import expected_tokens

__all__ = ["main", "make_application"]

TOKEN_SECONDS = 0.005
"""Time between two tokens, in seconds."""


class ChatHandler(tornado.web.RequestHandler):
    """``POST /v1/chat/completions``, streamed."""

    async def post(self):
        """Stream the answer token by token."""
        request = json.loads(self.request.body)
        self.set_header("Content-Type", "text/event-stream")
        for token in expected_tokens(request):
            await asyncio.sleep(TOKEN_SECONDS)
            self.write_event(request, {"content": token}, None)
            await self.flush()
        self.write_event(request, {}, "stop")
        self.write("data: [DONE]\n\n")

    def write_event(self, request, delta, finish_reason):
        """Write one server-sent event of the answer."""
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        event = {
            "id": request.get("request_id", ""),
            "object": "chat.completion.chunk",
            "model": request.get("model"),
            "choices": [choice],
        }
        self.write(f"data: {json.dumps(event)}\n\n")


def make_application() -> tornado.web.Application:
    """Return the stand-in's HTTP application."""
    return tornado.web.Application([("/v1/chat/completions", ChatHandler)])


async def main(port: int) -> None:
    """Serve on loopback until the process is ended."""
    make_application().listen(port, "127.0.0.1")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
