"""HTTP handler for calls of plain services."""

from result import Err, Ok, Result

from ..contracts import Head, Outcome
from ..declarations import Declarations
from .errors import CallerError, ErrorCode
from .handling import OUTCOME_HEADER, CallerHandler
from .requests import TICKET_HEADER, Call, class_of, deadline_after, workspace_of
from .sinks import CollectingSink

__all__ = ["ServiceHandler", "set_service_head"]

HOP_HEADERS = {
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
"""Headers that hold for one connection only (RFC 9110, section 7.6.1)."""

OWN_PREFIX = "zinniaramp-"
"""Start of the names of headers that are meant for this system."""


class ServiceHandler(CallerHandler):
    """``ANY /services/NAME/PATH``."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    async def call_service(self, name: str, path: str | None):
        """Route the call and answer with the service's answer."""
        arrived = self.process.clock()
        declarations = self.process.revisions.current()
        call = self.checked(self.call(name, path or "/", declarations, arrived))
        if call is not None:
            await self.work_on(self.answer(call))

    get = head = post = delete = patch = put = options = call_service

    def call(
        self, name: str, path: str, declarations: Declarations, arrived
    ) -> Result[Call, CallerError]:
        """Check a call against the declarations."""
        service = declarations.services.get(name)
        if service is None and not self.process.serves_undeclared(name, declarations):
            return Err(_unknown_service(name))
        request = self.request
        match workspace_of(declarations, request.headers):
            case Ok(workspace):
                pass
            case error:
                return error
        default = service.class_name if service else ""
        match class_of(declarations, request.headers, workspace, default=default):
            case Ok(declared):
                pass
            case error:
                return error
        timeout = service.timeout if service else None
        return Ok(
            Call(
                target=name,
                class_declaration=declared,
                workspace=workspace,
                declarations=declarations,
                ticket=request.headers.get(TICKET_HEADER, ""),
                method=request.method,
                path=f"{path}?{request.query}" if request.query else path,
                headers=_passed_on(request.headers.get_all()),
                body=request.body,
                affinity_key=b"",
                arrived=arrived,
                deadline=deadline_after(arrived, declared, at_most=timeout),
            )
        )

    async def answer(self, call: Call) -> None:
        """Answer with the service's whole answer, or with an error."""
        sink = CollectingSink()
        run = await self.run(call, sink)
        if run.final.error is not None:
            self.set_run_headers(run)
            self.answer_error(run.final.error)
            return
        set_service_head(self, sink.answer_head)
        self.set_run_headers(run)
        self.set_header(OUTCOME_HEADER, str(Outcome.DONE))
        self.finish(b"".join(sink.payloads) or None)


def set_service_head(handler: CallerHandler, head: Head | None) -> None:
    """Take over a service's status and headers for a reply."""
    if head is None:
        return
    handler.set_status(head.status)
    handler.clear_header("Content-Type")
    for name, value in _passed_on(head.headers):
        handler.add_header(name, value)


def _passed_on(headers) -> list[list[str]]:
    return [
        [name, value]
        for name, value in headers
        if name.lower() not in HOP_HEADERS and not name.lower().startswith(OWN_PREFIX)
    ]


def _unknown_service(name: str) -> CallerError:
    return CallerError(
        status=404,
        code=ErrorCode.UNKNOWN_SERVICE,
        message=f"service is {name!r:.80}; send the name of a declared service",
        param="service",
    )
