"""HTTP handlers of the engine stand-in."""

import json
import secrets
from dataclasses import asdict, dataclass
from typing import Annotated, Any

import pydantic
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from tornado.iostream import StreamClosedError

from ..serving import StandinHandler, format_validation_error
from ..text import expected_tokens
from .core import EngineRequest, FinishReason, Token
from .prefix import prompt_blocks

__all__ = ["ROUTES"]

REQUEST_ID_BYTES = 8
"""Number of random bytes in the generated id of a request without one."""

LONGEST_ANSWER_TOKENS = 100_000
"""Longest answer that a request can specify, in tokens."""

_body_dataclass = pydantic.dataclasses.dataclass(
    slots=True, kw_only=True, config=ConfigDict(strict=True, extra="ignore")
)


@_body_dataclass
class Metadata:
    """``metadata`` of a chat request: the fields that the stand-in uses.

    Parameters
    ----------
    mark : str
        Label of the request in the log.
    output_tokens : int or None
        Length of the answer, in tokens; None for a length from the distribution.
    """

    mark: str = ""
    output_tokens: (
        Annotated[int, Field(strict=False, ge=1, le=LONGEST_ANSWER_TOKENS)] | None
    ) = None


@_body_dataclass
class ChatRequest:
    """Body of a chat request: the fields that the stand-in uses.

    ``request_id`` and ``priority`` are extensions of the OpenAI API.
    """

    model: str
    messages: list[dict[str, Any]] = Field(min_length=1)
    stream: bool | None = False
    max_tokens: Annotated[int, Field(ge=1)] | None = None
    request_id: str = Field(default="", max_length=200)
    priority: int = 0
    metadata: Metadata | None = Field(default_factory=Metadata)


@dataclass(slots=True, kw_only=True, frozen=True)
class Usage:
    """Token counts of a request, in the format of the OpenAI API."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: dict[str, int]


def _usage(request: EngineRequest) -> dict:
    completion_tokens = request.execution.tokens
    usage = Usage(
        prompt_tokens=request.prompt_tokens,
        completion_tokens=completion_tokens,
        total_tokens=request.prompt_tokens + completion_tokens,
        prompt_tokens_details={"cached_tokens": request.cached_tokens},
    )
    return asdict(usage)


class ChatHandler(StandinHandler):
    """Handler of ``POST /v1/chat/completions``."""

    taken: EngineRequest | None = None

    async def post(self):
        """Validate the body, submit the request to the engine and answer it."""
        try:
            chat = TypeAdapter(ChatRequest).validate_json(self.request.body)
        except ValidationError as failure:
            await self.reply_error(
                400, "invalid_request", format_validation_error(failure)
            )
            return
        if chat.model not in self.state.models:
            message = f"model {chat.model} is not served here"
            await self.reply_error(404, "model_not_found", message)
            return
        request_id = chat.request_id or secrets.token_hex(REQUEST_ID_BYTES)
        if request_id in self.state.requests:
            message = f"request_id {request_id} is in use; choose another"
            await self.reply_error(409, "duplicate_request_id", message)
            return
        self.chat = chat
        self.taken = self.state.submit(
            request_id=request_id,
            mark=chat.metadata.mark if chat.metadata else "",
            priority=chat.priority,
            tokens=expected_tokens(json.loads(self.request.body)),
            blocks=prompt_blocks(chat.messages),
        )
        try:
            await (self.stream() if chat.stream else self.answer_complete())
        except StreamClosedError:
            self.state.cancel(self.taken)

    def on_connection_close(self):
        """Cancel the request when the caller closes its connection."""
        if self.taken is not None:
            self.state.cancel(self.taken)

    async def next_item(self) -> Token | FinishReason:
        """Return the answer's next token or its end; waits while silent."""
        item = await self.taken.answer.get()
        await self.controls.audible.wait()
        return item

    async def stream(self) -> None:
        """Answer with one server-sent event per token.

        Usage and ``[DONE]`` follow only if the request was not cancelled.
        """
        self.set_header("Content-Type", "text/event-stream")
        while isinstance(item := await self.next_item(), Token):
            self.write_event(delta={"content": item.text}, finish_reason=None)
            await self.flush()
        if item is FinishReason.STOP:
            self.write_event(
                delta={}, finish_reason=str(item), usage=_usage(self.taken)
            )
            self.write("data: [DONE]\n\n")

    def write_event(self, *, delta: dict, finish_reason: str | None, **extra) -> None:
        """Write one server-sent event of a streamed answer."""
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        event = self.common_fields("chat.completion.chunk", choice) | extra
        self.write(f"data: {json.dumps(event)}\n\n")

    def common_fields(self, kind: str, choice: dict) -> dict:
        """Return the fields that complete answers and chunks of streams share."""
        return {
            "id": self.taken.execution.request_id,
            "object": kind,
            "created": int(self.state.now()),
            "model": self.chat.model,
            "choices": [choice],
        }

    async def answer_complete(self) -> None:
        """Answer with one JSON object after the last token."""
        texts = []
        while isinstance(item := await self.next_item(), Token):
            texts.append(item.text)
        if item is FinishReason.CANCELLED:
            await self.reply_error(409, "cancelled", "the request was cancelled")
            return
        message = {"role": "assistant", "content": "".join(texts)}
        choice = {"index": 0, "message": message, "finish_reason": str(item)}
        answer = self.common_fields("chat.completion", choice)
        await self.reply(answer | {"usage": _usage(self.taken)})


class OrderHandler(StandinHandler):
    """Handler of ``POST /v1/requests/ID/pause``, ``resume`` and ``cancel``."""

    async def post(self, request_id: str, verb: str):
        """Pause, resume or cancel a request that has not ended."""
        request = self.state.requests.get(request_id)
        if request is None:
            message = f"no request {request_id} is in the engine"
            await self.reply_error(404, "request_not_found", message)
            return
        verbs = {
            "pause": self.state.pause,
            "resume": self.state.resume,
            "cancel": self.state.cancel,
        }
        verbs[verb](request)
        await self.reply({"request_id": request_id, "tokens": request.execution.tokens})


class ModelsHandler(StandinHandler):
    """Handler of ``GET /v1/models``."""

    async def get(self):
        """Answer with the list of served models."""
        models = [{"id": name, "object": "model"} for name in self.state.models]
        await self.reply({"object": "list", "data": models})


class LoadHandler(StandinHandler):
    """Handler of ``GET /v1/load``."""

    async def get(self):
        """Answer with the load as it was ``lag_s`` seconds ago."""
        lag_s = self.controls.faults.lag_s
        load = asdict(self.state.load.as_of(lag_s))
        await self.reply({**load, "as_of": self.state.now() - lag_s})


ROUTES = [
    ("/v1/chat/completions", ChatHandler),
    (r"/v1/requests/([^/]+)/(pause|resume|cancel)", OrderHandler),
    ("/v1/models", ModelsHandler),
    ("/v1/load", LoadHandler),
]
"""Path pattern and handler class of each route."""
