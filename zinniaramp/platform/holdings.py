"""What a model server says that it keeps of prompts."""

from datetime import timedelta

from result import Err, Ok, Result

from ..placement.prompts import PromptSegment
from ..reads import ReadError, ReadJson
from ..sockets import Address

__all__ = ["make_holdings_reader"]

LIST_TIMEOUT = timedelta(seconds=1)
"""Longest wait for a list; a server answers in some milliseconds."""


def _part(entry: object) -> PromptSegment:
    # [empty text, id, tokens kept, model]
    if not isinstance(entry, list) or len(entry) < 3:
        raise ReadError(f"entry {str(entry)[:80]!r} of the list is too short")
    name, tokens = entry[1], entry[2]
    if not isinstance(name, str) or type(tokens) is not int:
        raise ReadError(f"entry {str(entry)[:80]!r} lacks an id or tokens")
    return PromptSegment(name=name, tokens=tokens)


def make_holdings_reader(read: ReadJson):
    """Return a function that asks a model server for the parts that it keeps.

    Parameters
    ----------
    read : callable
        Reads JSON.
    """

    async def read_held(
        address: Address,
    ) -> Result[tuple[PromptSegment, ...], ReadError]:
        answer = await read(f"http://{address}/kv-list", LIST_TIMEOUT)
        if isinstance(answer, Err):
            return answer
        held = answer.ok_value.get("held") if isinstance(answer.ok_value, dict) else 0
        if not isinstance(held, list):
            return Err(ReadError(f"{address}: answer without the list held"))
        try:
            return Ok(tuple(_part(entry) for entry in held))
        except ReadError as error:
            return Err(error)

    return read_held
