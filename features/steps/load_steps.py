"""Steps about the load tool."""

import asyncio
import json
from datetime import timedelta
from pathlib import Path

import tornado.httpserver
import tornado.web
from behave import given, then, when
from tornado.testing import bind_unused_port

from zinniaramp.clock import monotonic_clock
from zinniaramp.contracts import RevisionId
from zinniaramp.declarations import read_declarations
from zinniaramp.load import make_report, read_plan, run_load
from zinniaramp.load.arrivals import generate_requests
from zinniaramp.load.executions import Execution
from zinniaramp.load.records import CallerOutcome, CallerRecord
from zinniaramp.standins import expected_tokens

SERVICE_SECONDS = {
    "answers one request at a time in 0.1 s": 0.1,
    "answers one request at a time in 3 s": 3,
}

DECLARATIONS = "[class question]\ntier = 1\n[class entry]\ntier = 2\nrepeatable = no\n"

STREAM = (
    "[stream questions]\nclass_name = question\nworkspaces = a b\n"
    "model = small-model\noutput_tokens = 5\nprompt_tokens = 3\n"
)


def declarations():
    """Return the declarations that reports are judged by."""
    revision = RevisionId(index=1, digest="")
    return read_declarations(DECLARATIONS, file="test", revision=revision).unwrap()


def write_plan(context, text):
    """Write a plan and read it back checked."""
    path = Path(context.directory) / "plan.ini"
    path.write_text(text)
    context.plan = read_plan(path).unwrap()


@given("a plan with a burst")
def plan_with_burst(context):
    burst = "rate = 50\nburst_start = 10\nburst_length = 10\nburst_factor = 4\n"
    write_plan(context, f"[plan]\nduration = 20\n{STREAM}{burst}")


@when("its requests are planned twice with seed 7 and once with seed 8")
def plan_requests(context):
    context.planned = [generate_requests(context.plan, seed=seed) for seed in (7, 7, 8)]


@then("the first two are equal and the third differs")
def compare_plans(context):
    first, second, third = context.planned
    assert first == second
    assert first != third


@then("the burst holds its multiple of the requests")
def count_burst(context):
    offsets = [one.offset for one in context.planned[0]]
    before = sum(offset < timedelta(seconds=10) for offset in offsets)
    ratio = (len(offsets) - before) / before
    assert 3.3 < ratio < 4.7, ratio


@given("a plan of {rate:d} requests a second for {duration:g} second")
@given("a plan of {rate:d} requests a second for {duration:g} seconds")
def plan_of_rate(context, rate, duration):
    text = f"[plan]\nduration = {duration}\n{STREAM}rate = {rate}\n"
    write_plan(context, text)


@given("a plan of {rate:d} requests a second for {duration:g} seconds whose {callers}")
def plan_of_vanishing_callers(context, rate, duration, callers):
    text = f"[plan]\nduration = {duration}\n{STREAM}rate = {rate}\nvanish = 1\n"
    write_plan(context, text)


class FaultyHandler(tornado.web.RequestHandler):
    """Answers chat requests with a planted fault."""

    turn = None

    def initialize(self, fault):
        """Take the fault."""
        self.fault = fault

    async def post(self):
        """Answer as the fault says."""
        delay_s = SERVICE_SECONDS.get(self.fault, 0)
        if delay_s:
            async with FaultyHandler.turn:
                await asyncio.sleep(delay_s)
        if self.fault == "closes the connection":
            self.request.connection.stream.close()
            return
        if self.fault == "refuses":
            self.set_status(503)
            self.set_header("Zinniaramp-Outcome", "not-run")
            return
        tokens = expected_tokens(json.loads(self.request.body))
        if self.fault == "answers with another text":
            tokens = ["other", *tokens[1:]]
        for token in tokens:
            choices = [{"delta": {"content": token}}]
            self.write(f"data: {json.dumps({'choices': choices})}\n\n")
        if self.fault != "ends its streams early":
            self.write("data: [DONE]\n\n")


@given("a server that {fault}")
def faulty_server(context, fault):
    context.fault = fault


async def run_against_fault(context):
    """Run the plan against the faulty server."""
    FaultyHandler.turn = asyncio.Semaphore(1)
    handlers = [("/v1/chat/completions", FaultyHandler, {"fault": context.fault})]
    sock, port = bind_unused_port()
    application = tornado.web.Application(handlers, log_function=lambda _: None)
    tornado.httpserver.HTTPServer(application).add_socket(sock)
    return await run_load(
        context.plan,
        urls=[f"http://127.0.0.1:{port}"],
        seed=1,
        clock=monotonic_clock(),
        progress=lambda *_: None,
    )


@when("the plan is run against it")
def run_plan(context):
    context.records = asyncio.run(run_against_fault(context))
    assert context.records


@then("the last request's latency includes the wait behind the others")
def check_latency(context):
    count = len(context.records)
    last = max(context.records, key=lambda one: one.offset)
    served_before = timedelta(seconds=0.1) * count - last.offset
    assert last.first_token >= served_before, (last.first_token, served_before)


def report_of(context, executions):
    """Make the report of the context's records."""
    return make_report(
        context.records,
        executions,
        declarations(),
        plan="test",
        seed=1,
        duration=timedelta(seconds=1),
    )


@then('the report counts fates as "{fate}" and says whole is "{whole}"')
def check_fates(context, fate, whole):
    report = report_of(context, [])
    assert report.classes[0].fates == {fate: len(context.records)}, report.classes[0]
    assert report.all_whole == (whole == "yes")


@given("a record of a non-repeatable request that was told not-run")
def untold_record(context):
    record = CallerRecord(
        mark="m-1",
        class_name="entry",
        workspace="a",
        offset=timedelta(0),
        fate=CallerOutcome.REFUSED,
        outcome="not-run",
        sends=1,
    )
    context.records = [record]


@given("stand-ins that ran it twice")
def ran_twice(context):
    execution = Execution(stand_in="e", mark="m-1", tokens=3, was_cancelled=False)
    context.executions = [execution, execution]


@when("the report is made")
def make_it(context):
    context.report = report_of(context, context.executions)


@then("it names the request as doubled and as untruly told")
def check_named(context):
    assert context.report.doubled_marks == ["m-1"]
    assert context.report.untrue_not_run == ["m-1"]
