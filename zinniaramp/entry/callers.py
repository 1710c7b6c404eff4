"""HTTP handlers for callers."""

import json

import tornado.web
from result import Err, Ok, Result

from ..contracts import Head, Outcome
from ..declarations import Declarations
from .completion import assemble_completion
from .errors import CallerError, unknown_model
from .handling import OUTCOME_HEADER, CallerHandler, UnknownPathHandler
from .limits import memory_short, parsed_size
from .requests import (
    TICKET_HEADER,
    Call,
    ChatRequest,
    parse_body,
    request_deadline,
    resolve_request_class,
    resolve_workspace,
)
from .resuming import RequestHandler
from .runs import RequestRun
from .service_calls import ServiceHandler
from .sinks import CollectingSink, EventSink, is_error_head
from .ticket_calls import TicketHandler

__all__ = ["ChatHandler", "ModelsHandler", "make_application"]

CHAT_PATH = "/v1/chat/completions"


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    async def post(self):
        """Route the request and send its answer."""
        parsed = self.checked(self.parse(self.process.clock()))
        if parsed is None:
            return
        call, is_streamed = parsed
        if is_streamed:
            await self.run_task(self.answer_streamed(call))
        else:
            await self.run_task(self.answer_non_streamed(call))

    def parse(self, arrived) -> Result[tuple[Call, bool], CallerError]:
        """Return the validated request and whether its answer is streamed.

        The parsed values can take many times the memory of the body.  There must be
        room for two copies: the validated one and that from which a body is written
        again.  They are not kept while the request runs.
        """
        limit = self.process.account.limits.budget
        size = min(2 * parsed_size(self.request.body), limit)
        if not self.holder.reserve(size):
            return Err(memory_short())
        try:
            match parse_body(ChatRequest, self.request.body):
                case Ok(chat):
                    declarations = self.process.revisions.current()
                    call = self.build_call(chat, declarations, arrived)
                    return call.map(lambda one: (one, bool(chat.stream)))
                case error:
                    return error
        finally:
            self.holder.charge(-size)

    def build_call(
        self, chat: ChatRequest, declarations: Declarations, arrived
    ) -> Result[Call, CallerError]:
        """Validate the request against the declarations."""
        headers = self.request.headers
        match resolve_workspace(declarations, headers):
            case Ok(workspace):
                pass
            case error:
                return error
        match resolve_request_class(declarations, headers, workspace):
            case Ok(declared):
                pass
            case error:
                return error
        if not self.process.is_model_known(chat.model, declarations):
            return Err(unknown_model(chat.model))
        body = self.request.body
        if not chat.stream:
            body = json.dumps({**json.loads(body), "stream": True}).encode()
        return Ok(
            Call(
                target=chat.model,
                class_declaration=declared,
                workspace=workspace,
                declarations=declarations,
                ticket=headers.get(TICKET_HEADER, ""),
                method="POST",
                path=CHAT_PATH,
                headers=[["Content-Type", "application/json"]],
                body=body,
                affinity_key=f"{workspace}\n{chat.prompt_prefix()}".encode(),
                arrived=arrived,
                deadline=request_deadline(arrived, declared),
            )
        )

    async def answer_streamed(self, call: Call) -> None:
        """Send the answer as server-sent events while it arrives."""
        sink = EventSink(
            handler=self,
            set_answer_headers=lambda: self.set_stream_headers(self.request_run),
            sends_headers_on_accept=lambda: bool(self.request_run.ticket),
        )
        run = await self.run(call, sink)
        error = run.final_result.error
        if error is None and is_error_head(sink.answer_head):
            self.answer_engine_error(run, sink.answer_head, sink.error_payloads)
        elif error is None:
            sink.start()
            sink.finish_complete(run.request_id)
        elif sink.is_started:
            sink.finish_incomplete(error, run.request_id)
        else:
            self.set_run_headers(run)
            self.answer_error(error)

    def set_stream_headers(self, run: RequestRun) -> None:
        """Set the response headers of a streamed answer."""
        self.set_run_headers(run)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")

    def answer_engine_error(
        self, run: RequestRun, head: Head, payloads: list[bytes]
    ) -> None:
        """Send the engine's error response."""
        self.set_run_headers(run)
        self.set_header(OUTCOME_HEADER, str(run.final_result.outcome))
        self.set_header("Content-Type", "application/json")
        self.set_status(head.status)
        self.finish(b"".join(payloads))

    async def answer_non_streamed(self, call: Call) -> None:
        """Send the answer in a single response when it is complete."""
        sink = CollectingSink(reserve=self.holder.reserve)
        run = await self.run(call, sink)
        if run.final_result.error is not None:
            self.set_run_headers(run)
            self.answer_error(run.final_result.error)
            return
        if is_error_head(sink.answer_head):
            self.answer_engine_error(run, sink.answer_head, sink.payloads)
            return
        self.set_run_headers(run)
        self.set_header(OUTCOME_HEADER, str(Outcome.DONE))
        self.finish(assemble_completion(sink.payloads, request_id=run.request_id))


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    def get(self):
        """List the models."""
        models = self.process.models(self.process.revisions.current())
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "zinniaramp"}
            for name in sorted(models)
        ]
        self.finish({"object": "list", "data": data})


def make_application(process) -> tornado.web.Application:
    """Return the HTTP application for callers."""
    handler_arguments = {"process": process}
    return tornado.web.Application(
        [
            (CHAT_PATH, ChatHandler, handler_arguments),
            ("/v1/models", ModelsHandler, handler_arguments),
            ("/v1/tickets", TicketHandler, handler_arguments),
            ("/v1/requests/([^/]+)", RequestHandler, handler_arguments),
            ("/services/([^/]+)(/.*)?", ServiceHandler, handler_arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=handler_arguments,
        log_function=lambda handler: None,
    )
