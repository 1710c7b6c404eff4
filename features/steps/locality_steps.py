"""Steps for traffic between data centres."""

from datetime import timedelta
from random import Random

from behave import given, then, when
from loguru import logger
from result import Err, Ok

from features.locality.play import DATA_CENTERS, LOADS, SERVICE, START, TRAITS, Play
from zinniaramp.locality import DEFAULT_PRICE, Locality, PathLatencies
from zinniaramp.placement import Demand, EndpointView, Prediction
from zinniaramp.platform.settings import read_host_settings
from zinniaramp.standins.platform import GatewayProcess

BUCKET_MS = 500.0
HOME = EndpointView(name="home", data_center="dc-0")
AWAY = EndpointView(name="away", data_center="dc-1", is_remote=True)
SECONDS = 60


def at(seconds):
    """Return a time of the scenario."""
    return START + timedelta(seconds=seconds)


@given('the load "{name}" at {gateways:d} gateways')
def take_load(context, name, gateways):
    context.load, context.gateways = LOADS[name], gateways


@when("it is played with the flat cost and with the model of locality")
def play_both(context):
    context.before, context.after = (
        Play(context.load, gateways=context.gateways, is_local_aware=is_aware).run()
        for is_aware in (False, True)
    )


@then("with the model at most 1 in 100 requests leave")
def check_few_leave(context):
    assert context.after.remote <= len(context.after.moments) / 100, context.after


@then("with the model no more bytes leave")
def check_bytes(context):
    assert context.after.sent_bytes <= context.before.sent_bytes, (
        f"{context.before}; {context.after}"
    )


@then("with the model no fewer requests are on time")
def check_on_time(context):
    assert context.after.on_time >= context.before.on_time, (
        f"{context.before}; {context.after}"
    )


@then(
    "in no half second of the rush all or none of the first data centre's "
    "requests leave"
)
def check_oscillation(context):
    _, begin_s, end_s = context.load.rush
    # The first second is the time in which the queue at home forms.
    begin_ms, end_ms = (begin_s + 1) * 1000, end_s * 1000
    buckets = {}
    for ms, center, is_remote in context.after.moments:
        if center == DATA_CENTERS[0] and begin_ms <= ms < end_ms:
            buckets.setdefault(ms // BUCKET_MS, []).append(is_remote)
    shares = [sum(one) / len(one) for one in buckets.values()]
    assert min(shares) > 0 and max(shares) < 1, shares


@then("with the model requests leave while it is dark, and 3 s later 1 in 100 at most")
def check_return(context):
    _, end_s = context.load.dark_s
    own = [
        (ms / 1000, is_remote)
        for ms, center, is_remote in context.after.moments
        if center == DATA_CENTERS[0]
    ]
    assert any(is_remote for at_s, is_remote in own if at_s < end_s)
    later = [is_remote for at_s, is_remote in own if at_s >= end_s + 3]
    assert sum(later) <= len(later) / 100, (sum(later), len(later))


def place(locality, body_bytes, wait_ms, now):
    """Return the cheaper of a home engine with a wait and an idle one elsewhere."""
    demand = Demand(
        prompt_tokens=1000,
        output_limit=0,
        output_estimate=0,
        parts=(),
        target=timedelta(milliseconds=100),
        transfer_bytes=body_bytes,
    )
    locality.begin(SERVICE, demand, now)
    costs = {}
    for view, ms in ((HOME, wait_ms), (AWAY, 0.0)):
        predicted = Prediction(wait_ms=ms, prefill_ms=20, prefill_tokens=1000)
        costs[view] = ms + locality.cost_ms(demand, view, predicted, now)
    selected = min(costs, key=costs.get)
    locality.finish(SERVICE, selected, body_bytes, now)
    return selected


@given("a home engine with a wait of {ms:d} ms and an idle one elsewhere")
def set_up_engines(context, ms):
    assert TRAITS.service == SERVICE
    context.wait_ms = ms
    context.locality = Locality(
        data_center="dc-0", price=lambda: DEFAULT_PRICE, random=Random(1)
    )
    for second in range(3):
        place(context.locality, 1000, ms, at(second))


@then(
    "under full pressure a request of {small:d} bytes leaves and one of {large:d} "
    "bytes stays"
)
def check_sizes(context, small, large):
    state = context.locality.service(SERVICE)
    state.pressure.value = 1.0
    assert place(context.locality, small, context.wait_ms, at(3)) == AWAY
    state.pressure.value = 1.0
    assert place(context.locality, large, context.wait_ms, at(3)) == HOME


@given("paths to two data centres, of which one loses every tenth connection")
def set_up_paths(context):
    context.paths = PathLatencies(data_center="dc-0")
    for number in range(40):
        for center in DATA_CENTERS:
            is_lost = center == "dc-2" and number % 10 == 9
            context.paths.record(center, 300.0 if is_lost else 1.0, at(number / 10))


@then("that path costs more than the other")
def check_path(context):
    lossy_ms = context.paths.extra_ms("dc-2", at(4))
    assert lossy_ms > context.paths.extra_ms("dc-1", at(4)) + 10, lossy_ms


@then("a minute later it costs less than 1 ms more")
def check_forgotten(context):
    assert context.paths.extra_ms("dc-2", at(4 + SECONDS)) < 1


@when("requests are placed there under pressure, and then in calm")
def place_many(context):
    context.names = []

    def record(message):
        context.names.append(message.record["extra"]["event"].name)

    sink = logger.add(record)
    try:
        context.locality.service(SERVICE).spill = None
        for tenth in range(100):
            wait_ms = context.wait_ms if tenth < 30 else 0.0
            place(context.locality, 1000, wait_ms, at(3 + tenth / 10))
    finally:
        logger.remove(sink)


@then("the events spill-began and spill-ended are logged once each")
def check_events(context):
    assert context.names == ["spill-began", "spill-ended"], context.names


@given("a process's settings file {table}")
def write_settings(context, table):
    process = GatewayProcess(directory=context.directory, name="node", store=1)
    process.write_settings()
    context.path = process.settings_path
    if table.startswith("with the locality"):
        name, value = table.split()[-2:]
        with context.path.open("a") as file:
            file.write(f"[locality]\n{name} = {value}\n")


@then("its price of 1000 bytes is {price}")
def check_price(context, price):
    match read_host_settings(context.path):
        case Ok(settings):
            assert str(settings.transfer_price) == price, settings.transfer_price
        case Err(problem):
            assert price == "refused", problem
            assert "locality.transfer_ms_per_kb" in str(problem), problem
