"""HTTP handler that issues tickets ahead of requests."""

from result import Err, Ok, Result

from ..declarations import Declarations
from .errors import CallerError, unknown_model
from .handling import CallerHandler
from .requests import (
    Call,
    TicketBody,
    check_body,
    class_of,
    deadline_after,
    workspace_of,
)
from .runs import RequestRun
from .sinks import CollectingSink
from .ticketing import issue_ticket

__all__ = ["TicketHandler"]


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
