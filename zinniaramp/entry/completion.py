"""Putting a whole ``chat.completion`` together from streamed events."""

import json
from collections.abc import Iterable

__all__ = ["whole_completion"]

COPIED_FIELDS = ("created", "model", "system_fingerprint", "usage")
"""Fields of the events that the whole answer takes over."""


def whole_completion(payloads: Iterable[bytes], *, request_id: str) -> dict:
    """Return the whole answer that a stream of events stands for.

    Parameters
    ----------
    payloads : iterable of bytes
        Chunk payloads: JSON events joined by newlines.
    request_id : str
        Identity of the answer.

    Raises
    ------
    ValueError
        An event is not JSON.
    """
    whole = {"id": request_id, "object": "chat.completion"}
    choices: dict[int, dict] = {}
    for payload in payloads:
        for line in payload.split(b"\n"):
            if line:
                _add_event(whole, choices, json.loads(line))
    whole["choices"] = [choices[index] for index in sorted(choices)]
    return whole


def _add_event(whole: dict, choices: dict[int, dict], event: dict) -> None:
    for field in COPIED_FIELDS:
        if event.get(field) is not None:
            whole[field] = event[field]
    for part in event.get("choices") or []:
        index = part.get("index", 0)
        empty = {
            "index": index,
            "message": {"role": "assistant", "content": ""},
            "finish_reason": None,
        }
        _add_part(choices.setdefault(index, empty), part)


def _add_part(choice: dict, part: dict) -> None:
    delta = part.get("delta") or {}
    message = choice["message"]
    message["role"] = delta.get("role") or message["role"]
    message["content"] += delta.get("content") or ""
    for call in delta.get("tool_calls") or []:
        _add_tool_call(message.setdefault("tool_calls", []), call)
    choice["finish_reason"] = part.get("finish_reason") or choice["finish_reason"]


def _add_tool_call(calls: list[dict], delta: dict) -> None:
    index = delta.get("index", 0)
    known = next((one for one in calls if one["index"] == index), None)
    if known is None:
        known = {"index": index, "type": "function"}
        known["function"] = {"name": "", "arguments": ""}
        calls.append(known)
    known["id"] = delta.get("id") or known.get("id")
    function = delta.get("function") or {}
    known["function"]["name"] += function.get("name") or ""
    known["function"]["arguments"] += function.get("arguments") or ""
