"""HTTP handler for calls to plain services."""

from result import Err, Ok, Result

from ..contracts import Head, Outcome
from ..declarations import Declarations
from .errors import CallerError, ErrorCode
from .handling import OUTCOME_HEADER, CallerHandler
from .requests import (
    TICKET_HEADER,
    Call,
    request_deadline,
    resolve_request_class,
    resolve_workspace,
)
from .sinks import CollectingSink

__all__ = ["ServiceHandler", "copy_service_head"]

HOP_BY_HOP_HEADERS = {
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
"""Headers that apply to a single connection only (RFC 9110, section 7.6.1)."""

INTERNAL_HEADER_PREFIX = "zinniaramp-"
"""Prefix of header names that are not forwarded in either direction."""


class ServiceHandler(CallerHandler):
    """``ANY /services/NAME/PATH``."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    async def call_service(self, name: str, path: str | None):
        """Route the call and send the service's answer."""
        arrived = self.process.clock()
        declarations = self.process.revisions.current()
        call = self.checked(self.build_call(name, path or "/", declarations, arrived))
        if call is not None:
            await self.run_task(self.answer(call))

    get = head = post = delete = patch = put = options = call_service

    def build_call(
        self, name: str, path: str, declarations: Declarations, arrived
    ) -> Result[Call, CallerError]:
        """Validate the call against the declarations."""
        service = declarations.services.get(name)
        if service is None and not self.process.is_undeclared_service(
            name, declarations
        ):
            return Err(_unknown_service(name))
        request = self.request
        match resolve_workspace(declarations, request.headers):
            case Ok(workspace):
                pass
            case error:
                return error
        default = service.class_name if service else ""
        match resolve_request_class(
            declarations, request.headers, workspace, default=default
        ):
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
                headers=_forwarded_headers(request.headers.get_all()),
                body=request.body,
                affinity_key=b"",
                arrived=arrived,
                deadline=request_deadline(arrived, declared, limit=timeout),
            )
        )

    async def answer(self, call: Call) -> None:
        """Send the service's complete answer, or an error."""
        sink = CollectingSink(reserve=self.holder.reserve)
        run = await self.run(call, sink)
        if run.final_result.error is not None:
            self.set_run_headers(run)
            self.answer_error(run.final_result.error)
            return
        copy_service_head(self, sink.answer_head)
        self.set_run_headers(run)
        self.set_header(OUTCOME_HEADER, str(Outcome.DONE))
        self.finish(b"".join(sink.payloads) or None)


def copy_service_head(handler: CallerHandler, head: Head | None) -> None:
    """Copy the status and headers of a service's answer to the response."""
    if head is None:
        return
    handler.set_status(head.status)
    handler.clear_header("Content-Type")
    for name, value in _forwarded_headers(head.headers):
        handler.add_header(name, value)


def _forwarded_headers(headers) -> list[list[str]]:
    return [
        [name, value]
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and not name.lower().startswith(INTERNAL_HEADER_PREFIX)
    ]


def _unknown_service(name: str) -> CallerError:
    return CallerError(
        status=404,
        code=ErrorCode.UNKNOWN_SERVICE,
        message=f"service is {name!r:.80}; send the name of a declared service",
        param="service",
    )
