"""Whether an answer may go on with a stream, and whether its end completes it."""

from http import HTTPStatus

from .upstream import AnswerEnd, AnswerHead

__all__ = ["find_end_problem", "find_head_problem"]

EVENT_STREAM = "text/event-stream"
"""Media type of streams; answers without a length may have none."""


def find_head_problem(head: AnswerHead) -> str:
    """Return why an answer can't go on with a stream that has begun, or nothing."""
    if head.status != HTTPStatus.OK:
        return f"status {head.status} in the middle of a stream"
    content_type = head.headers.get("Content-Type", EVENT_STREAM)
    if content_type.partition(";")[0].strip().lower() != EVENT_STREAM:
        return f"Content-Type {content_type!r} in the middle of a stream"
    return ""


def find_end_problem(end: AnswerEnd, *, pending: bytes, events: int) -> str:
    """Return why the end of an answer is not that of a complete stream, or nothing.

    Parameters
    ----------
    end : AnswerEnd
        End of the answer.
    pending : bytes
        Beginning of an event that is not complete.
    events : int
        Number of reads of this answer that completed events.
    """
    if not end.is_complete:
        return end.problem
    if pending:
        return "incomplete event"
    if end.is_closed and not events:
        # An endpoint that ends before its first event also closes the connection.
        return "connection closed before the first event"
    return ""
