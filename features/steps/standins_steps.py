"""Steps about properties of the stand-ins that hold for any input."""

import statistics

from behave import then
from hypothesis import given as forall
from hypothesis import strategies as st

from features.standins.support import START
from zinniaramp.standins import expected_text, expected_tokens
from zinniaramp.standins.engine import prefill_seconds, step_seconds
from zinniaramp.standins.engine.core import Engine, FinishReason
from zinniaramp.standins.engine.prefix import PrefixCache, prompt_blocks
from zinniaramp.standins.fleet import MODEL
from zinniaramp.standins.serving import Controls


def new_engine(width):
    """Return an engine whose step loop is not running."""
    return Engine(
        width=width,
        models=[MODEL],
        cache=PrefixCache(capacity=64),
        controls=Controls(),
        clock=lambda: START,
    )


def submit(engine, number, priority, count):
    """Submit a request whose tokens contain its number."""
    return engine.submit(
        request_id=str(number),
        mark="",
        priority=priority,
        tokens=[f"{number}-{i}" for i in range(count)],
        blocks=prompt_blocks([{"role": "user", "content": "x" * number}]),
    )


def drain_answer(request):
    """Return the items of an answer so far: tokens, and the end if it has ended."""
    items = []
    while not request.answer.empty():
        items.append(request.answer.get_nowait())
    return items


def check_step(engine):
    """Run one step and check which requests it admits."""
    waiting = sorted(engine.waiting, key=lambda each: (each.priority, each.number))
    free_slots = engine.width - len(engine.running)
    before = list(engine.running)
    engine.fill_batch()
    assert engine.running == before + waiting[:free_slots]
    assert len(engine.running) <= engine.width
    engine.generate()


@then(
    "any sequence of submissions, pauses, resumptions and cancellations "
    "is batched by priority"
)
def check_batching(context):
    operation = st.tuples(
        st.sampled_from(["submit", "pause", "resume", "cancel", "step"]),
        st.integers(0, 20),
        st.integers(1, 5),
    )

    @forall(st.integers(1, 4), st.lists(operation, max_size=60))
    def check(width, operations):
        engine, taken, paused = new_engine(width), [], set()
        for verb, choice, count in operations:
            if verb == "step":
                check_step(engine)
            elif verb == "submit":
                taken.append(submit(engine, len(taken), choice % 3, count))
            elif live := [
                r for r in taken if r.execution.request_id in engine.requests
            ]:
                request = live[choice % len(live)]
                getattr(engine, verb)(request)
                {"pause": paused.add}.get(verb, paused.discard)(request)
            assert not paused & {*engine.running, *engine.waiting}
        for request in paused:
            engine.resume(request)
        while engine.requests:
            check_step(engine)
        for request in taken:
            *tokens, ending = drain_answer(request)
            texts = [token.text for token in tokens]
            assert texts == request.tokens[: len(texts)]
            is_complete = len(texts) == len(request.tokens)
            assert ending is (
                FinishReason.STOP if is_complete else FinishReason.CANCELLED
            )
            assert request.execution.cancelled is not is_complete

    check()


@then("the step time grows with the batch, and the prefill time with uncached tokens")
def check_times(context):
    @forall(st.integers(1, 500), st.integers(0, 5000), st.integers(1, 5000))
    def check(batch, cached, more):
        assert step_seconds(batch) < step_seconds(batch + 1)
        assert batch / step_seconds(batch) < (batch + 1) / step_seconds(batch + 1)
        assert prefill_seconds(cached, cached) == 0
        assert prefill_seconds(cached + more, cached) > 0

    check()


@then("a prefix cache never contains more blocks than its capacity")
def check_cache(context):
    prompts = st.lists(st.text("ab", max_size=400), max_size=20)

    @forall(st.integers(1, 8), prompts)
    def check(capacity, texts):
        cache = PrefixCache(capacity=capacity)
        for text in texts:
            cache.match_and_insert(prompt_blocks([{"content": text}]))
            assert len(cache.blocks) <= capacity
        first = prompt_blocks([{"content": "c" * 30}])
        assert cache.match_and_insert(first) == 0
        assert cache.match_and_insert(first) > 0

    check()


@then("the expected text does not depend on the request id, priority or streaming")
def check_text_function(context):
    @forall(st.text(), st.text(), st.integers(), st.booleans(), st.integers(1, 50))
    def check(content, mark, priority, stream, count):
        messages = [{"role": "user", "content": content}]
        bare = {"model": MODEL, "messages": messages}
        full = bare | {"priority": priority, "stream": stream, "request_id": mark}
        assert expected_text(full | {"metadata": {"mark": mark}}) == expected_text(bare)
        exact = full | {"metadata": {"output_tokens": count}}
        assert len(expected_tokens(exact)) == count
        assert len(expected_tokens(bare | {"max_tokens": count})) <= count
        other = bare | {"messages": [{"role": "user", "content": content + "!"}]}
        assert expected_text(other) != expected_text(bare)

    check()


@then("the lengths of answers have a heavy tail if the requests do not set them")
def check_tail(context):
    requests = [{"model": MODEL, "messages": [{"content": i}]} for i in range(2000)]
    lengths = [len(expected_tokens(request)) for request in requests]
    assert statistics.mean(lengths) > 2 * statistics.median(lengths)
