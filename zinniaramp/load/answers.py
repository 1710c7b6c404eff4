"""Collects one answer as its caller receives it and checks its content."""

import json
from dataclasses import asdict
from datetime import datetime

from ..answers import EventReader
from ..standins import expected_text
from ..standins.service import expected_reply
from .arrivals import PlannedRequest

__all__ = ["ReceivedAnswer", "matches_expected"]

STREAM_END = "[DONE]"
"""Data of the last server-sent event of a streamed answer."""

OUTCOME_FIELD = "zinniaramp"
"""Field of a streamed event that contains the outcome of the request."""


class ReceivedAnswer:
    """Collects the bytes and tokens of one answer as they arrive.

    Parameters
    ----------
    is_events : bool
        Whether the answer is expected as server-sent events.

    Attributes
    ----------
    body : bytearray
        All bytes received.
    token_texts, token_times : list
        Text and arrival time of each token of a streamed answer.
    outcome : str
        Outcome reported in the stream; empty if none.
    is_ended : bool
        Whether the event that ends the stream arrived.
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
        """Process bytes that arrived at the time `now`."""
        self.body += data
        if not self.is_events:
            return
        for event in self.events.read(data).unwrap_or([]):
            self.process_event(event, now)

    def process_event(self, data: str, now: datetime) -> None:
        """Process the data of one server-sent event; ignore it if it is not JSON."""
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
        """Return the code of an error answer; empty if there is none."""
        try:
            return str(json.loads(bytes(self.body))["error"]["code"])
        except (ValueError, KeyError, TypeError):
            return ""


def _chat_text(answer: ReceivedAnswer) -> str:
    try:
        fields = json.loads(bytes(answer.body))
        return fields["choices"][0]["message"]["content"]
    except (ValueError, KeyError, IndexError, TypeError):
        return ""


def matches_expected(planned: PlannedRequest, answer: ReceivedAnswer) -> bool:
    """Return whether an answer is complete and has the content its request expects."""
    stream = planned.stream
    if stream.service:
        return _reply_matches(planned, answer)
    expected = expected_text(json.loads(planned.body))
    if stream.is_streamed:
        return answer.is_ended and "".join(answer.token_texts) == expected
    return _chat_text(answer) == expected


def _reply_matches(planned: PlannedRequest, answer: ReceivedAnswer) -> bool:
    path = f"/{planned.stream.path}"
    expected = expected_reply(planned.stream.method, path, planned.body)
    try:
        return json.loads(bytes(answer.body)) == asdict(expected)
    except ValueError:
        return False
