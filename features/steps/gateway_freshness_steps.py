"""Steps for the time since the store confirmed what a gateway knows."""

from datetime import timedelta

from behave import then, when

from features.steps.gateway_belief_steps import advance_clock


@when("the store is silent for {seconds:d} s by the gateway's clock")
def pass_time_in_silence(context, seconds):
    context.rig.store.is_silent = True
    advance_clock(context.rig.daemons[0], timedelta(seconds=seconds))


@then("the log of the send says that the store confirmed it over {seconds:d} s ago")
def check_logged_age(context, seconds):
    (chosen,) = context.rig.logged_events("endpoint-chosen")
    assert chosen["confirmed_ms"] >= seconds * 1000, chosen
