"""Assembly of a ``chat.completion`` object from streamed events."""

import json
from collections.abc import Iterable

__all__ = ["assemble_completion"]

COPIED_FIELDS = ("created", "model", "system_fingerprint", "usage")
"""Fields copied from the events to the completion."""


def assemble_completion(payloads: Iterable[bytes], *, request_id: str) -> dict:
    """Return the ``chat.completion`` object for a stream of events.

    Parameters
    ----------
    payloads : iterable of bytes
        Chunk payloads: JSON events joined by newlines.
    request_id : str
        Id of the request, used as the ``id`` of the completion.

    Raises
    ------
    ValueError
        If an event is not JSON.
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
    for event_choice in event.get("choices") or []:
        index = event_choice.get("index", 0)
        initial = {
            "index": index,
            "message": {"role": "assistant", "content": ""},
            "finish_reason": None,
        }
        _add_choice_delta(choices.setdefault(index, initial), event_choice)


def _add_choice_delta(choice: dict, event_choice: dict) -> None:
    delta = event_choice.get("delta") or {}
    message = choice["message"]
    message["role"] = delta.get("role") or message["role"]
    message["content"] += delta.get("content") or ""
    for call in delta.get("tool_calls") or []:
        _add_tool_call(message.setdefault("tool_calls", []), call)
    choice["finish_reason"] = (
        event_choice.get("finish_reason") or choice["finish_reason"]
    )


def _add_tool_call(calls: list[dict], delta: dict) -> None:
    index = delta.get("index", 0)
    tool_call = next((call for call in calls if call["index"] == index), None)
    if tool_call is None:
        tool_call = {"index": index, "type": "function"}
        tool_call["function"] = {"name": "", "arguments": ""}
        calls.append(tool_call)
    tool_call["id"] = delta.get("id") or tool_call.get("id")
    function = delta.get("function") or {}
    tool_call["function"]["name"] += function.get("name") or ""
    tool_call["function"]["arguments"] += function.get("arguments") or ""
