"""Steps for the load tool."""

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

SERVICE_TIME_SECONDS = {
    "takes 0.1 s per request, one at a time": 0.1,
    "takes 3 s per request, one at a time": 3,
}

DECLARATIONS = "[class question]\ntier = 1\n[class entry]\ntier = 2\nrepeatable = no\n"

STREAM = (
    "[stream questions]\nclass_name = question\nworkspaces = a b\n"
    "model = small-model\noutput_tokens = 5\nprompt_tokens = 3\n"
)


def declarations():
    """Return the declarations with the targets of the reports."""
    revision = RevisionId(index=1, digest="")
    return read_declarations(DECLARATIONS, file="test", revision=revision).unwrap()


def write_plan(context, text):
    """Write a plan to a file and read it into the context."""
    path = Path(context.directory) / "plan.ini"
    path.write_text(text)
    context.plan = read_plan(path).unwrap()


@given("a plan with a burst")
def write_burst_plan(context):
    burst = "rate = 50\nburst_start = 10\nburst_length = 10\nburst_factor = 4\n"
    write_plan(context, f"[plan]\nduration = 20\n{STREAM}{burst}")


@when("its requests are generated twice with seed 7 and once with seed 8")
def generate_request_lists(context):
    context.planned = [generate_requests(context.plan, seed=seed) for seed in (7, 7, 8)]


@then("the first two lists are equal and the third differs")
def compare_request_lists(context):
    first, second, third = context.planned
    assert first == second
    assert first != third


@then("the request rate in the burst is multiplied by its factor")
def check_burst_rate(context):
    offsets = [one.offset for one in context.planned[0]]
    before = sum(offset < timedelta(seconds=10) for offset in offsets)
    ratio = (len(offsets) - before) / before
    assert 3.3 < ratio < 4.7, ratio


@given("a plan of {rate:d} requests a second for {duration:g} second")
@given("a plan of {rate:d} requests a second for {duration:g} seconds")
def write_rate_plan(context, rate, duration):
    text = f"[plan]\nduration = {duration}\n{STREAM}rate = {rate}\n"
    write_plan(context, text)


@given("a plan of {rate:d} requests a second for {duration:g} seconds whose {callers}")
def write_vanishing_plan(context, rate, duration, callers):
    text = f"[plan]\nduration = {duration}\n{STREAM}rate = {rate}\nvanish = 1\n"
    write_plan(context, text)


class FaultyHandler(tornado.web.RequestHandler):
    """Answers chat requests with a given fault."""

    semaphore = None

    def initialize(self, fault):
        """Set the fault, which is the text of the step."""
        self.fault = fault

    async def post(self):
        """Answer with the fault."""
        delay_s = SERVICE_TIME_SECONDS.get(self.fault, 0)
        if delay_s:
            async with FaultyHandler.semaphore:
                await asyncio.sleep(delay_s)
        if self.fault == "closes the connection":
            self.request.connection.stream.close()
            return
        if self.fault == "refuses":
            self.set_status(503)
            self.set_header("Zinniaramp-Outcome", "not-run")
            return
        tokens = expected_tokens(json.loads(self.request.body))
        if self.fault == "answers with wrong text":
            tokens = ["other", *tokens[1:]]
        for token in tokens:
            choices = [{"delta": {"content": token}}]
            self.write(f"data: {json.dumps({'choices': choices})}\n\n")
        if self.fault != "ends its streams early":
            self.write("data: [DONE]\n\n")


@given("a server that {fault}")
def set_server_fault(context, fault):
    context.fault = fault


async def run_against_faulty_server(context):
    """Run the plan against a new server with the fault; return the records."""
    FaultyHandler.semaphore = asyncio.Semaphore(1)
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
    context.records = asyncio.run(run_against_faulty_server(context))
    assert context.records


@then("the latency of the last request includes the wait for the others")
def check_latency(context):
    count = len(context.records)
    last = max(context.records, key=lambda one: one.offset)
    min_latency = timedelta(seconds=0.1) * count - last.offset
    assert last.first_token >= min_latency, (last.first_token, min_latency)


def make_context_report(context, executions):
    """Return the report of the context's records and some executions."""
    return make_report(
        context.records,
        executions,
        declarations(),
        plan="test",
        seed=1,
        duration=timedelta(seconds=1),
    )


@then('the report counts all requests as "{fate}" and has "{whole}" for all whole')
def check_fates(context, fate, whole):
    report = make_context_report(context, [])
    assert report.classes[0].fates == {fate: len(context.records)}, report.classes[0]
    assert report.all_whole == (whole == "yes")


@given("a record of a non-repeatable request with the outcome not-run")
def make_not_run_record(context):
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


@given("stand-ins that executed it twice")
def make_double_execution(context):
    execution = Execution(stand_in="e", mark="m-1", tokens=3, was_cancelled=False)
    context.executions = [execution, execution]


@when("the report is made")
def make_run_report(context):
    context.report = make_context_report(context, context.executions)


@then("it lists the request as doubled and as untrue not-run")
def check_doubled_and_untrue(context):
    assert context.report.doubled_marks == ["m-1"]
    assert context.report.untrue_not_run == ["m-1"]
