"""Validation of callers' requests against a revision of the declarations."""

import json
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from ..declarations import ClassDeclaration, Declarations, resolve_class
from .errors import CallerError, ErrorCode

__all__ = [
    "Call",
    "ChatRequest",
    "TicketBody",
    "parse_body",
    "request_deadline",
    "resolve_request_class",
    "resolve_workspace",
]

CLASS_HEADER = "Zinniaramp-Class"
WORKSPACE_HEADER = "Zinniaramp-Workspace"
TICKET_HEADER = "Idempotency-Key"

BUILT_IN_CLASS = ClassDeclaration(name="default", tier=1)
"""Class of all requests if no class is declared."""

BUILT_IN_WORKSPACE = "default"
"""Workspace of all requests if no workspace is declared."""

MAX_NAME_LENGTH = 200
"""Maximum length of the name of a model or service, in characters."""

MAX_MESSAGES = 10_000
"""Maximum number of messages in a chat request."""

AFFINITY_PREFIX_LENGTH = 512
"""Length of the prompt prefix that determines prefix affinity, in characters."""


class ChatRequest(BaseModel):
    """The validated fields of a chat request; others are forwarded unchanged."""

    model_config = ConfigDict(strict=True, extra="allow")

    model: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    messages: list[dict[str, Any]] = Field(min_length=1, max_length=MAX_MESSAGES)
    stream: bool | None = False
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)
    metadata: dict[str, Any] | None = None

    def prompt_prefix(self) -> str:
        """Return the prompt prefix that determines prefix affinity."""
        return json.dumps(self.messages)[:AFFINITY_PREFIX_LENGTH]


class TicketBody(BaseModel):
    """Body of ``POST /v1/tickets``.

    Headers give the class and the workspace if the body omits them.
    """

    model_config = ConfigDict(
        strict=True, extra="forbid", populate_by_name=True, serialize_by_alias=True
    )

    target: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    class_name: str = Field(default="", alias="class")
    workspace: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Call:
    """A validated request.

    All its attempts use the revision that was current on arrival.

    Parameters
    ----------
    target : str
        Name of the model or plain service.
    class_declaration : ClassDeclaration
        The request's class, with the overrides of its workspace.
    workspace : str
        Name of the request's workspace.
    declarations : Declarations
        The revision that was current on arrival.
    ticket : str
        Value of the `Idempotency-Key` header.
    method, path : str
        HTTP method and path for the engine or service.
    headers : list of list of str
        Headers to forward, as pairs of name and value.
    body : bytes
        Body to forward.
    affinity_key : bytes
        Key that determines prefix affinity.
    arrived, deadline : datetime
        Arrival time, and the deadline for the first chunk of an answer.
    """

    target: str
    class_declaration: ClassDeclaration
    workspace: str
    declarations: Declarations
    ticket: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    affinity_key: bytes
    arrived: datetime
    deadline: datetime


def parse_body(model: type[BaseModel], body: bytes) -> Result[Any, CallerError]:
    """Parse a JSON body and validate its fields.

    Returns
    -------
    Result
        The model; or an error that names the first invalid field.
    """
    try:
        return Ok(model.model_validate_json(body))
    except ValidationError as failure:
        first = failure.errors(include_url=False, include_input=False)[0]
    if first["type"] == "json_invalid":
        return Err(
            CallerError(
                status=400,
                code=ErrorCode.INVALID_JSON,
                message=f"body is not JSON ({first['msg']}); send one JSON object",
            )
        )
    field = ".".join(str(segment) for segment in first["loc"])
    return Err(
        CallerError(
            status=400,
            code=ErrorCode.INVALID_FIELD,
            message=f"{field or 'body'}: {first['msg']}; correct it and send again",
            param=field,
        )
    )


def resolve_workspace(
    declarations: Declarations, headers: HTTPHeaders, body_value: str = ""
) -> Result[str, CallerError]:
    """Return the name of a request's workspace.

    A name in the body takes precedence over the header, and the header over the
    default.
    """
    name = (
        body_value
        or headers.get(WORKSPACE_HEADER, "")
        or declarations.defaults.workspace
    )
    workspaces = declarations.workspaces
    if not workspaces and name in ("", BUILT_IN_WORKSPACE):
        return Ok(BUILT_IN_WORKSPACE)
    if name in workspaces:
        return Ok(name)
    return Err(
        CallerError(
            status=400,
            code=ErrorCode.UNKNOWN_WORKSPACE,
            message=f"{WORKSPACE_HEADER} is {name!r:.80}; send a declared workspace",
            param=WORKSPACE_HEADER,
        )
    )


def resolve_request_class(
    declarations: Declarations,
    headers: HTTPHeaders,
    workspace: str,
    *,
    body_value: str = "",
    default: str = "",
) -> Result[ClassDeclaration, CallerError]:
    """Return a request's class, with the overrides of its workspace.

    Parameters
    ----------
    declarations : Declarations
        The current revision.
    headers : HTTPHeaders
        The request's headers.
    workspace : str
        The request's workspace.
    body_value : str
        Class named in the body, if any.
    default : str
        Class if the request names none; the default of the declarations if empty.
    """
    default = default or declarations.defaults.class_name
    name = body_value or headers.get(CLASS_HEADER, "") or default
    if not declarations.classes and name in ("", BUILT_IN_CLASS.name):
        return Ok(BUILT_IN_CLASS)
    if name not in declarations.classes:
        class_names = ", ".join(sorted(declarations.classes)[:20])
        return Err(
            CallerError(
                status=400,
                code=ErrorCode.UNKNOWN_CLASS,
                message=f"{CLASS_HEADER} is {name!r:.80}; send one of: {class_names}",
                param=CLASS_HEADER,
            )
        )
    declared = declarations.workspaces.get(workspace)
    allowed = declared.classes.split() if declared else []
    if allowed and name not in allowed:
        return Err(
            CallerError(
                status=403,
                code=ErrorCode.CLASS_NOT_ALLOWED,
                message=f"workspace {workspace!r} may not use class {name!r}; "
                f"send one of: {', '.join(allowed)}",
                param=CLASS_HEADER,
            )
        )
    return Ok(resolve_class(declarations, name, workspace))


def request_deadline(
    arrived: datetime, declared: ClassDeclaration, *, limit: timedelta | None = None
) -> datetime:
    """Return the deadline of a request.

    Parameters
    ----------
    arrived : datetime
        Arrival time.
    declared : ClassDeclaration
        The request's class.  Its finish target applies if it has no deadline.
    limit : timedelta, optional
        Upper bound of the time from arrival to the deadline.
    """
    time = declared.deadline or declared.finish
    if limit is not None:
        time = min(time, limit)
    return arrived + time
