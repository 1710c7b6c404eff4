"""What a caller has received of one answer, and whether it is whole."""

import json
from dataclasses import asdict
from datetime import datetime

from ..answers import EventReader
from ..standins import expected_text
from ..standins.service import expected_reply
from .arrivals import PlannedRequest

__all__ = ["ReceivedAnswer", "is_whole"]

STREAM_END = "[DONE]"
"""Data of the event that ends a streamed answer."""

OUTCOME_FIELD = "zinniaramp"
"""Field of the streamed event that carries the request's outcome."""


class ReceivedAnswer:
    """Collects the bytes of one answer as they arrive.

    Parameters
    ----------
    is_events : bool
        Whether server-sent events are expected.
    """

    __slots__ = (
        "is_events",
        "events",
        "body",
        "token_texts",
        "token_times",
        "outcome",
        "is_ended",
    )

    def __init__(self, *, is_events: bool):
        self.is_events = is_events
        self.events = EventReader()
        self.body = bytearray()
        self.token_texts: list[str] = []
        self.token_times: list[datetime] = []
        self.outcome = ""
        self.is_ended = False

    def receive(self, data: bytes, now: datetime) -> None:
        """Take bytes that arrived."""
        self.body += data
        if not self.is_events:
            return
        for event in self.events.read(data).unwrap_or([]):
            self.take_event(event, now)

    def take_event(self, data: str, now: datetime) -> None:
        """Take one server-sent event."""
        if data == STREAM_END:
            self.is_ended = True
            return
        try:
            fields = json.loads(data)
        except ValueError:
            return
        self.outcome = (fields.get(OUTCOME_FIELD) or {}).get("outcome", self.outcome)
        for choice in fields.get("choices") or []:
            text = (choice.get("delta") or {}).get("content")
            if text:
                self.token_texts.append(text)
                self.token_times.append(now)

    def error_code(self) -> str:
        """Return the error code of an answer that is an error."""
        try:
            return str(json.loads(bytes(self.body))["error"]["code"])
        except (ValueError, KeyError, TypeError):
            return ""


def _whole_chat_text(answer: ReceivedAnswer) -> str:
    try:
        fields = json.loads(bytes(answer.body))
        return fields["choices"][0]["message"]["content"]
    except (ValueError, KeyError, IndexError, TypeError):
        return ""


def is_whole(planned: PlannedRequest, answer: ReceivedAnswer) -> bool:
    """Tell whether an answer is, byte for byte, the one its request asks for."""
    stream = planned.stream
    if stream.service:
        return _is_whole_record(planned, answer)
    expected = expected_text(json.loads(planned.body))
    if stream.is_streamed:
        return answer.is_ended and "".join(answer.token_texts) == expected
    return _whole_chat_text(answer) == expected


def _is_whole_record(planned: PlannedRequest, answer: ReceivedAnswer) -> bool:
    path = f"/{planned.stream.path}"
    expected = expected_reply(planned.stream.method, path, planned.body)
    try:
        return json.loads(bytes(answer.body)) == asdict(expected)
    except ValueError:
        return False
