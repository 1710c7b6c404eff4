"""HTTP handlers for callers."""

import json

import tornado.web
from result import Err, Ok, Result

from ..contracts import Head, Outcome
from ..declarations import Declarations
from .completion import whole_completion
from .errors import CallerError, ErrorCode
from .handling import OUTCOME_HEADER, CallerHandler, UnknownPathHandler
from .requests import (
    TICKET_HEADER,
    Call,
    ChatRequest,
    TicketBody,
    check_body,
    class_of,
    deadline_after,
    workspace_of,
)
from .resuming import RequestHandler
from .runs import RequestRun
from .service_calls import ServiceHandler
from .sinks import CollectingSink, EventSink
from .ticketing import issue_ticket

__all__ = ["ChatHandler", "ModelsHandler", "TicketHandler", "make_application"]

CHAT_PATH = "/v1/chat/completions"


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    async def post(self):
        """Route the request and pass its answer on."""
        arrived = self.process.clock()
        chat = self.checked(check_body(ChatRequest, self.request.body))
        if chat is None:
            return
        declarations = self.process.revisions.current()
        call = self.checked(self.call(chat, declarations, arrived))
        if call is None:
            return
        if chat.stream:
            await self.work_on(self.answer_streamed(call))
        else:
            await self.work_on(self.answer_whole(call))

    def call(
        self, chat: ChatRequest, declarations: Declarations, arrived
    ) -> Result[Call, CallerError]:
        """Check a request against the declarations."""
        headers = self.request.headers
        match workspace_of(declarations, headers):
            case Ok(workspace):
                pass
            case error:
                return error
        match class_of(declarations, headers, workspace):
            case Ok(declared):
                pass
            case error:
                return error
        if not self.process.knows_model(chat.model, declarations):
            return Err(_unknown_model(chat.model))
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
                deadline=deadline_after(arrived, declared),
            )
        )

    async def answer_streamed(self, call: Call) -> None:
        """Pass the answer on as it comes."""
        sink = EventSink(
            handler=self,
            set_answer_headers=lambda: self.set_stream_headers(self.request_run),
            starts_on_accept=lambda: bool(self.request_run.ticket),
        )
        run = await self.run(call, sink)
        error = run.final.error
        if is_engine_error(sink.answer_head) and not sink.is_started:
            self.answer_engine_error(run, sink.answer_head)
        elif error is None:
            sink.start()
            sink.finish_whole(run.request_id)
        elif sink.is_started:
            sink.finish_broken(error, run.request_id)
        else:
            self.set_run_headers(run)
            self.answer_error(error)

    def set_stream_headers(self, run: RequestRun) -> None:
        """Set the headers of a streamed answer."""
        self.set_run_headers(run)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")

    def answer_engine_error(self, run: RequestRun, head: Head) -> None:
        """Answer with the engine's own error status."""
        self.set_run_headers(run)
        self.answer_error(_engine_error(head, run.final.outcome))

    async def answer_whole(self, call: Call) -> None:
        """Answer when the whole answer has come."""
        sink = CollectingSink()
        run = await self.run(call, sink)
        if is_engine_error(sink.answer_head):
            self.answer_engine_error(run, sink.answer_head)
            return
        self.set_run_headers(run)
        if run.final.error is not None:
            self.answer_error(run.final.error)
            return
        self.set_header(OUTCOME_HEADER, str(Outcome.DONE))
        self.finish(whole_completion(sink.payloads, request_id=run.request_id))


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


class TicketHandler(CallerHandler):
    """``POST /v1/tickets``."""

    async def post(self):
        """Fetch a ticket ahead of the request that will use it."""
        arrived = self.process.clock()
        body = self.checked(check_body(TicketBody, self.request.body))
        if body is None:
            return
        call = self.checked(self.call(body, self.process.revisions.current(), arrived))
        if call is not None:
            await self.work_on(self.answer(call))

    def call(
        self, body: TicketBody, declarations: Declarations, arrived
    ) -> Result[Call, CallerError]:
        """Return a call that stands for the request that will come."""
        headers = self.request.headers
        service = declarations.services.get(body.target)
        default = service.class_name if service else ""
        match workspace_of(declarations, headers, body.workspace):
            case Ok(workspace):
                pass
            case error:
                return error
        match class_of(
            declarations, headers, workspace, named=body.class_name, default=default
        ):
            case Ok(declared):
                pass
            case error:
                return error
        is_known = self.process.knows_model(body.target, declarations)
        if service is None and not is_known:
            return Err(_unknown_model(body.target))
        return Ok(
            Call(
                target=body.target,
                class_declaration=declared,
                workspace=workspace,
                declarations=declarations,
                ticket="",
                method="",
                path="",
                headers=[],
                body=b"",
                affinity_key=b"",
                arrived=arrived,
                deadline=deadline_after(arrived, declared),
            )
        )

    async def answer(self, call: Call) -> None:
        """Answer with a ticket, or say when to come back."""
        run = RequestRun(router=self.process.router, call=call, sink=CollectingSink())
        issued = await issue_ticket(run.router, call, run.first_id.request)
        if issued is None:
            final = await run.give_up()
            self.answer_error(final.error)
            return
        self.finish(
            {
                "ticket": issued.ticket,
                "expires_s": issued.expires_s,
                "target": call.target,
                "class": call.class_declaration.name,
                "workspace": call.workspace,
            }
        )


def is_engine_error(head: Head | None) -> bool:
    """Tell whether an engine answered with an error status."""
    return head is not None and head.status >= 400


def _engine_error(head: Head, outcome: Outcome | None) -> CallerError:
    return CallerError(
        status=head.status,
        code=ErrorCode.ANSWER_FAILED,
        message=f"the engine answered with status {head.status}; "
        "check the request's fields",
        outcome=outcome,
    )


def _unknown_model(name: str) -> CallerError:
    return CallerError(
        status=404,
        code=ErrorCode.UNKNOWN_MODEL,
        message=f"model is {name!r:.80}; send one that GET /v1/models lists",
        param="model",
    )


def make_application(process) -> tornado.web.Application:
    """Return the HTTP application for callers."""
    given = {"process": process}
    return tornado.web.Application(
        [
            (CHAT_PATH, ChatHandler, given),
            ("/v1/models", ModelsHandler, given),
            ("/v1/tickets", TicketHandler, given),
            ("/v1/requests/([^/]+)", RequestHandler, given),
            ("/services/([^/]+)(/.*)?", ServiceHandler, given),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=given,
        log_function=lambda handler: None,
    )
