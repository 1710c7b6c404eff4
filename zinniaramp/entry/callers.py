"""HTTP handlers for callers."""

import json

import tornado.web

from ..contracts import Chunk, End, Refused

__all__ = ["ChatHandler", "make_application"]


class ChatHandler(tornado.web.RequestHandler):
    """``POST /v1/chat/completions``."""

    def initialize(self, process):
        """Take the entry process that serves the request."""
        self.process = process

    async def post(self):
        """Route the request and pass its answer on."""
        try:
            request = json.loads(self.request.body)
        except ValueError:
            self.answer_error(400, "invalid_json", "body is not JSON; send an object")
            return
        routed = self.process.route_chat(request, self.request)
        if routed is None:
            self.answer_error(503, "no_endpoint", "no endpoint serves this model")
            return
        self.set_header("Zinniaramp-Request-Id", str(routed.attempt_id))
        self.set_header("Content-Type", "text/event-stream")
        await self.pass_on(routed)

    async def pass_on(self, routed):
        """Write chunks as server-sent events until the attempt ends."""
        while True:
            match await routed.inbox.get():
                case Chunk(payload=payload):
                    for line in payload.split(b"\n"):
                        self.write(b"data: " + line + b"\n\n")
                    await self.flush()
                case End(outcome=outcome):
                    self.process.finish(routed, outcome)
                    self.write("data: [DONE]\n\n")
                    return
                case Refused(reason=reason):
                    self.process.finish(routed, "not-run")
                    self.answer_error(503, reason, "refused; try again later")
                    return

    def answer_error(self, status, code, message):
        """Answer with an error in the shape that OpenAI clients read."""
        self.set_status(status)
        self.finish({"error": {"message": message, "type": "error", "code": code}})


def make_application(process) -> tornado.web.Application:
    """Return the HTTP application for callers."""
    return tornado.web.Application(
        [("/v1/chat/completions", ChatHandler, {"process": process})]
    )
