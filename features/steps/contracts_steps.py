"""Steps about messages between processes."""

import msgpack
from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import strategies as st
from result import Err, Ok

from zinniaramp.contracts import Chunk, ContractError, Decoder, encode

MAX_FRAME_BYTES = 4096

CHUNKS = st.builds(
    Chunk,
    attempt_id=st.text(max_size=20),
    sequence=st.integers(0, 2**40),
    payload=st.binary(max_size=200),
    tokens=st.integers(0, 100),
)


@given("any list of chunks")
def any_chunks(context):
    context.cases = st.lists(CHUNKS, max_size=8)


@when("they are encoded and received in pieces of any size")
def receive_in_pieces(context):
    @for_any(context.cases, st.integers(1, 64))
    def check(chunks, size):
        data = b"".join(encode(chunk) for chunk in chunks)
        decoder = Decoder()
        decoded = []
        for start in range(0, len(data), size):
            decoded += decoder.feed(data[start : start + size]).unwrap()
        assert decoded == chunks

    context.check = check


@then("the same chunks are decoded")
def check_decoded(context):
    context.check()


@given("any bytes")
def any_bytes(context):
    context.cases = st.lists(st.binary(max_size=MAX_FRAME_BYTES), max_size=4)


@when("a decoder receives them")
def feed_bytes(context):
    @for_any(context.cases)
    def check(pieces):
        decoder = Decoder(max_frame_bytes=MAX_FRAME_BYTES)
        for piece in pieces:
            match decoder.feed(piece):
                case Ok(messages):
                    assert isinstance(messages, list)
                case Err(error):
                    assert isinstance(error, ContractError)
                    return

    context.check = check


@then("it returns messages or a contract error and bounds its buffer")
def check_bytes_and_buffer(context):
    context.check()
    decoder = Decoder(max_frame_bytes=MAX_FRAME_BYTES)
    oversized = msgpack.packb([7, b"x" * (2 * MAX_FRAME_BYTES)])
    assert isinstance(decoder.feed(oversized), Err)


@when("a decoder receives a chunk whose sequence is text")
def feed_wrong_type(context):
    frame = encode(Chunk(attempt_id="a", sequence=1, payload=b"", tokens=1))
    values = msgpack.unpackb(frame)
    values[2] = "one"
    context.result = Decoder().feed(msgpack.packb(values))


@then('it returns a contract error that names the field "{name}"')
def check_error_names_field(context, name):
    match context.result:
        case Err(ContractError() as error):
            assert name in str(error), str(error)
        case other:
            raise AssertionError(f"expected an error, got {other}")
