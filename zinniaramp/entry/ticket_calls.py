"""HTTP handler that issues tickets for later requests."""

from result import Err, Ok, Result

from ..declarations import Declarations
from .errors import CallerError, unknown_model
from .handling import CallerHandler
from .requests import (
    Call,
    TicketBody,
    parse_body,
    request_deadline,
    resolve_request_class,
    resolve_workspace,
)
from .runs import RequestRun
from .sinks import CollectingSink
from .ticketing import issue_ticket

__all__ = ["TicketHandler"]


class TicketHandler(CallerHandler):
    """``POST /v1/tickets``."""

    async def post(self):
        """Issue a ticket for a later request."""
        arrived = self.process.clock()
        body = self.checked(parse_body(TicketBody, self.request.body))
        if body is None:
            return
        call = self.checked(
            self.build_call(body, self.process.revisions.current(), arrived)
        )
        if call is not None:
            await self.run_task(self.answer(call))

    def build_call(
        self, body: TicketBody, declarations: Declarations, arrived
    ) -> Result[Call, CallerError]:
        """Validate the body and return a placeholder for the later request."""
        headers = self.request.headers
        service = declarations.services.get(body.target)
        default = service.class_name if service else ""
        match resolve_workspace(declarations, headers, body.workspace):
            case Ok(workspace):
                pass
            case error:
                return error
        match resolve_request_class(
            declarations,
            headers,
            workspace,
            body_value=body.class_name,
            default=default,
        ):
            case Ok(declared):
                pass
            case error:
                return error
        is_known = self.process.is_model_known(body.target, declarations)
        if service is None and not is_known:
            return Err(unknown_model(body.target))
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
                deadline=request_deadline(arrived, declared),
            )
        )

    async def answer(self, call: Call) -> None:
        """Send a ticket, or an error with a retry delay."""
        run = RequestRun(
            router=self.process.router,
            call=call,
            sink=CollectingSink(reserve=self.holder.reserve),
        )
        issued = await issue_ticket(run.router, call, run.first_id.request)
        if issued is None:
            final = await run.resolve_failure()
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
