"""Error responses to callers; the reference documentation lists the codes."""

from dataclasses import dataclass
from enum import StrEnum

from ..contracts import Outcome

__all__ = ["CallerError", "ErrorCode", "error_body", "unknown_model"]


class ErrorCode(StrEnum):
    """Error codes; ``docs/reference/errors.md`` describes each."""

    INVALID_JSON = "invalid_json"
    INVALID_FIELD = "invalid_field"
    TOO_MANY_HEADERS = "too_many_headers"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    CLASS_NOT_ALLOWED = "class_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_REQUEST = "unknown_request"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    ANSWER_DISCARDED = "answer_discarded"
    TICKET_REQUIRED = "ticket_required"
    TICKET_MISMATCH = "ticket_mismatch"
    TICKET_REFUSED = "ticket_refused"
    TICKET_INCARNATION_GONE = "ticket_incarnation_gone"
    OVERLOADED = "overloaded"
    MEMORY_SHORT = "memory_short"
    NO_ENDPOINT = "no_endpoint"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ANSWER_FAILED = "answer_failed"
    ANSWER_TOO_LARGE = "answer_too_large"
    OUTCOME_UNKNOWN = "outcome_unknown"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL_ERROR = "internal_error"


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerError:
    """An error response to a caller.

    Parameters
    ----------
    status : int
        HTTP status.
    code : ErrorCode
        Machine-readable cause.
    message : str
        Description of the error, with the invalid value and how to correct it.
    param : str
        Name of the invalid field or header, if any.
    outcome : Outcome or None
        Outcome of the request; None if it was invalid and no attempt was made.
    retry_after_s : float
        Delay before a retry, in seconds; 0 if a retry would not help.
    ticket : str
        New ticket to send the request with, if any.
    """

    status: int
    code: ErrorCode
    message: str
    param: str = ""
    outcome: Outcome | None = None
    retry_after_s: float = 0
    ticket: str = ""


def error_body(error: CallerError) -> dict:
    """Return the body of an error response, in the format of the OpenAI API."""
    kind = "invalid_request_error" if error.status < 429 else "server_error"
    body = {
        "message": error.message,
        "type": kind,
        "param": error.param or None,
        "code": str(error.code),
    }
    if error.outcome is not None:
        body["outcome"] = str(error.outcome)
    if error.ticket:
        body["ticket"] = error.ticket
    return {"error": body}


def unknown_model(name: str) -> CallerError:
    """Return the error for a model that does not exist."""
    return CallerError(
        status=404,
        code=ErrorCode.UNKNOWN_MODEL,
        message=f"model is {name!r:.80}; send one that GET /v1/models lists",
        param="model",
    )
