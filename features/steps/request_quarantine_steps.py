"""Steps for the quarantine of requests to plain endpoints, without a network."""

from behave import given, then, when

from features.quarantine.request_play import RequestLoad, RequestPlay

FIRST_SEED = 1
HALF = 0.5


@given(
    "{endpoints:d} plain endpoints and {gateways:d} gateways with {rate:g} sound "
    "requests/s of about {contents:g} contents"
)
def describe_load(context, endpoints, gateways, rate, contents):
    context.load = RequestLoad(
        engines=endpoints, gateways=gateways, sound_rate=rate, sound_contents=contents
    )


@given(
    "{rate:g} requests/s of {count:d} that crash an endpoint within {seconds:g} s, "
    "sent {sends:d} times each"
)
def describe_bad_requests(context, rate, count, seconds, sends):
    load = context.load
    load.bad_rate, load.bad_requests = rate, count
    load.crash_seconds, load.sends_per_request = seconds, sends


@given("nothing else happens")
def describe_nothing(context):
    pass


@given("{count:d} gateway hears nothing of the others")
def describe_cut_off(context, count):
    context.load.cut_off = count


@given("all gateways are restarted from second {second:g}")
def describe_restarts(context, second):
    context.load.restart_gateways_at = second


@given("an endpoint crashes every {seconds:g} s on average")
def describe_other_crashes(context, seconds):
    context.load.other_crash_interval = seconds


@given("half of these requests crash no endpoint")
def describe_harmless_half(context):
    context.load.crash_share = HALF


@when("the requests are played {count:d} times for {seconds:d} s")
def play_requests(context, count, seconds):
    context.plays = []
    for seed in range(FIRST_SEED, FIRST_SEED + count):
        play = RequestPlay(load=context.load, seed=seed)
        play.run(seconds)
        context.plays.append(play)


@then(
    "the connected gateways send none of them more than {count:d} times from "
    "{seconds:d} s after its third crash"
)
def check_late_sends(context, count, seconds):
    cut_off = context.load.cut_off
    late = [
        play.report.late_sends(seconds, connected_from=cut_off)
        for play in context.plays
    ]
    assert all(late), late
    assert max(max(one.values()) for one in late) <= count, late


@then("in no play over a tenth of the sound requests is refused")
def check_sound_refused(context):
    for play in context.plays:
        refused = [is_refused for _, is_refused in play.report.sound_requests]
        assert sum(refused) <= 0.1 * len(refused), play.sound_quarantines()
