"""Steps for the assembly of answers."""

import json
import zlib

from behave import given, then
from hypothesis import given as for_any
from hypothesis import strategies as st

from zinniaramp.answers import Assembly, AssemblyResult
from zinniaramp.contracts import Chunk, End, Outcome
from zinniaramp.entry.completion import assemble_completion

PAYLOADS = st.lists(st.binary(min_size=1, max_size=4), max_size=8)
ARRIVALS = st.lists(st.integers(0, 9), max_size=30)
WORDS = st.lists(st.tuples(st.integers(0, 1), st.text(max_size=5)), max_size=12)


def make_chunk(payloads, sequence, attempt_id="own"):
    return Chunk(
        attempt_id=attempt_id,
        sequence=sequence,
        payload=payloads[sequence],
        tokens=1,
    )


def make_end(payloads, *, count=None, checksum=None, attempt_id="own"):
    whole = zlib.crc32(b"".join(payloads))
    return End(
        attempt_id=attempt_id,
        count=len(payloads) if count is None else count,
        checksum=whole if checksum is None else checksum,
        outcome=Outcome.DONE,
        detail="",
        retry_after_s=0.0,
    )


@given("any answer whose chunks arrive reordered, duplicated or not at all")
@given("any words and finish reason of two choices")
def declare_cases(context):
    """Do nothing; the ``then`` step draws the cases."""


def reference_delivery(payloads, arrivals):
    """Return the payloads delivered in order and the sequence numbers of gaps."""
    delivered, gaps = [], set()
    for sequence in arrivals:
        if sequence == len(delivered):
            delivered.append(payloads[sequence])
        elif sequence > len(delivered):
            gaps.add(len(delivered))
    return delivered, gaps


@then(
    "assembly delivers the same chunks as a reference model and reports each gap once"
)
def check_delivery(context):
    @for_any(PAYLOADS, ARRIVALS)
    def check(payloads, arrivals):
        arrivals = [one for one in arrivals if one < len(payloads)]
        assembly = Assembly(attempt_id="own")
        delivered, reported_gaps = [], []
        for sequence in arrivals:
            addition = assembly.add(make_chunk(payloads, sequence))
            if addition is AssemblyResult.NEXT:
                delivered.append(payloads[sequence])
            elif addition is AssemblyResult.GAP:
                reported_gaps.append(assembly.next_sequence)
        expected, gaps = reference_delivery(payloads, arrivals)
        assert delivered == expected
        assert (
            len(reported_gaps) == len(set(reported_gaps)) and set(reported_gaps) == gaps
        )
        is_whole = assembly.end(make_end(payloads)) is AssemblyResult.WHOLE
        assert is_whole == (len(expected) == len(payloads))

    check()


@then("chunks of another attempt have no effect")
def check_other_attempt(context):
    @for_any(PAYLOADS)
    def check(payloads):
        assembly = Assembly(attempt_id="own")
        for sequence in range(len(payloads)):
            other = assembly.add(make_chunk(payloads, sequence, "other"))
            assert other is AssemblyResult.OTHER_ATTEMPT
            assert assembly.add(make_chunk(payloads, sequence)) is AssemblyResult.NEXT
        other = assembly.end(make_end(payloads, attempt_id="other"))
        assert other is AssemblyResult.OTHER_ATTEMPT
        assert assembly.end(make_end(payloads)) is AssemblyResult.WHOLE

    check()


@then("an end that differs from the answer is never accepted")
def check_end(context):
    @for_any(PAYLOADS, st.integers(0, 9), st.integers(0, 2**32 - 1))
    def check(payloads, count, checksum):
        assembly = Assembly(attempt_id="own")
        for sequence in range(len(payloads)):
            assembly.add(make_chunk(payloads, sequence))
        wrong = make_end(payloads, count=count, checksum=checksum)
        is_whole = assembly.end(wrong) is AssemblyResult.WHOLE
        assert is_whole == (wrong == make_end(payloads))
        wrong_count = assembly.end(make_end(payloads, count=count))
        assert (wrong_count is AssemblyResult.WHOLE) == (count == len(payloads))

    check()


@then("the completion has the text and finish reason of each choice")
def check_completion(context):
    @for_any(WORDS, st.sampled_from(["stop", "length"]))
    def check(words, reason):
        events = [
            {"choices": [{"index": index, "delta": {"content": word}}]}
            for index, word in words
        ]
        indexes = sorted({index for index, _ in words})
        events += [
            {"choices": [{"index": one, "delta": {}, "finish_reason": reason}]}
            for one in indexes
        ]
        events.append({"choices": [], "usage": {"total_tokens": 3}})
        payload = "\n".join(json.dumps(event) for event in events).encode()
        whole = assemble_completion([payload], request_id="r")
        for choice in whole["choices"]:
            index = choice["index"]
            text = "".join(
                word for choice_index, word in words if choice_index == index
            )
            assert choice["message"]["content"] == text
            assert choice["finish_reason"] == reason
        assert [one["index"] for one in whole["choices"]] == indexes
        assert whole["usage"] == {"total_tokens": 3}

    check()
