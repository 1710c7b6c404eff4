"""Steps for the parser of server-sent events."""

from behave import given, then
from result import Err

from zinniaramp.answers import EventReader

PIECE_BYTES = 64 * 1024
MEGABYTE = 1024 * 1024


def unescape(text):
    return text.encode().decode("unicode_escape").encode()


def repeat(data):
    """Return a piece of a body that consists of the same bytes."""
    return data * (PIECE_BYTES // len(data))


@given('an engine that sends "{text}" again and again')
def endless_engine(context, text):
    context.piece = repeat(unescape(text))


@then("reading its answer ends with an error after {megabytes:d} MB at most")
def check_error(context, megabytes):
    reader = EventReader()
    pieces = [context.piece] * (megabytes * MEGABYTE // len(context.piece))
    assert any(isinstance(reader.read(piece), Err) for piece in pieces)


@given('an engine that sends "{event}" after {megabytes:d} MB of "{comment}"')
def commenting_engine(context, event, megabytes, comment):
    piece = repeat(unescape(comment))
    count = megabytes * MEGABYTE // len(piece)
    context.pieces = [*[piece] * count, unescape(event)]


@then('reading its answer returns the event "{data}"')
def check_event(context, data):
    reader = EventReader()
    read = [reader.read(piece).unwrap() for piece in context.pieces]
    assert [event for events in read for event in events] == [data]
