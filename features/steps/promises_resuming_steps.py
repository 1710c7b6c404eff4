"""Steps for answers that callers request again from another entry process."""

from behave import then, when

from features.support.fleets import Answer, wait_until


@when("its callers resume their answers at the second entry")
def resume_elsewhere(context):
    url = context.bench.by_role("entry")[1].url
    for one in context.bench.answers:
        context.bench.start_thread(lambda one=one: one.resume_at(url))


@when("the second entry is asked for an answer from a position after its end")
def resume_after_end(context):
    first = context.bench.answers[0]
    context.after_end = Answer(
        kind="streamed",
        url=context.bench.by_role("entry")[1].url,
        mark="after-end",
        body=first.body,
        request_id=first.request_id,
        next_event=1000,
    )
    context.after_end.resume_at(context.after_end.url)


@then("that answer does not appear complete")
def check_after_end(context):
    assert not context.after_end.is_ended and context.after_end.error, context.after_end


@when("the answer to a plain call is requested again from the second entry")
def request_plain_again(context):
    entry = context.bench.by_role("entry")[1]
    # Without a stream to the service's endpoint the call is refused as not run.
    wait_until(lambda: context.bench.opened(entry), "streams to every endpoint")
    plain = context.bench.send_request("plain", entry)
    context.bench.join()
    assert plain.is_complete(), (plain.status, plain.error)
    plain.status, plain.response_body = 0, b""
    plain.resume_at(plain.url)
