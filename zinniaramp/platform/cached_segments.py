"""Reading of the list of prompt segments in an engine's KV cache."""

from datetime import timedelta

from result import Err, Ok, Result

from ..placement.prompts import PromptSegment
from ..reads import ReadError, ReadJson
from ..sockets import Address

__all__ = ["make_cached_segment_reader"]

KV_LIST_TIMEOUT = timedelta(seconds=1)
"""Timeout of one call; an engine answers within a few milliseconds."""


def _parse_segment(entry: object) -> PromptSegment:
    # Format: [empty string, segment id, cached tokens, model].
    if not isinstance(entry, list) or len(entry) < 3:
        raise ReadError(f"entry {str(entry)[:80]!r} has fewer than 3 values")
    name, tokens = entry[1], entry[2]
    if not isinstance(name, str) or type(tokens) is not int:
        raise ReadError(
            f"entry {str(entry)[:80]!r} has no valid id or number of tokens"
        )
    return PromptSegment(name=name, tokens=tokens)


def make_cached_segment_reader(read: ReadJson):
    """Return a function that reads the prompt segments cached by an engine.

    Parameters
    ----------
    read : callable
        Sends a GET request and returns the JSON of the answer.
    """

    async def read_cached_segments(
        address: Address,
    ) -> Result[tuple[PromptSegment, ...], ReadError]:
        answer = await read(f"http://{address}/kv-list", KV_LIST_TIMEOUT)
        if isinstance(answer, Err):
            return answer
        held = answer.ok_value.get("held") if isinstance(answer.ok_value, dict) else 0
        if not isinstance(held, list):
            return Err(ReadError(f"{address}: answer has no list 'held'"))
        try:
            return Ok(tuple(_parse_segment(entry) for entry in held))
        except ReadError as error:
            return Err(error)

    return read_cached_segments
