"""HTTP handlers of the engine stand-in."""

import json
import secrets
from dataclasses import asdict, dataclass
from typing import Annotated, Any

import pydantic
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from tornado.iostream import StreamClosedError

from ..serving import StandinHandler, problem_text
from ..text import expected_tokens
from .core import Ending, EngineRequest, Token
from .prefix import prompt_blocks

__all__ = ["ROUTES"]

REQUEST_ID_BYTES = 8
"""Random bytes of the identity of a request that brings none."""

LONGEST_ANSWER_TOKENS = 100_000
"""Longest answer that a request may ask for, in tokens."""

_body = pydantic.dataclasses.dataclass(
    slots=True, kw_only=True, config=ConfigDict(strict=True, extra="ignore")
)


@_body
class Metadata:
    """``metadata`` of a chat request, as far as the stand-in reads it."""

    mark: str = ""
    output_tokens: (
        Annotated[int, Field(strict=False, ge=1, le=LONGEST_ANSWER_TOKENS)] | None
    ) = None


@_body
class ChatRequest:
    """Body of a chat request, as far as the stand-in reads it."""

    model: str
    messages: list[dict[str, Any]] = Field(min_length=1)
    stream: bool | None = False
    max_tokens: Annotated[int, Field(ge=1)] | None = None
    request_id: str = Field(default="", max_length=200)
    priority: int = 0
    metadata: Metadata | None = Field(default_factory=Metadata)


@dataclass(slots=True, kw_only=True, frozen=True)
class Usage:
    """Tokens that a request took."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: dict[str, int]


def _usage(request: EngineRequest) -> dict:
    produced = request.execution.tokens
    usage = Usage(
        prompt_tokens=request.prompt_tokens,
        completion_tokens=produced,
        total_tokens=request.prompt_tokens + produced,
        prompt_tokens_details={"cached_tokens": request.cached_tokens},
    )
    return asdict(usage)


class ChatHandler(StandinHandler):
    """``POST /v1/chat/completions``."""

    taken: EngineRequest | None = None

    async def post(self):
        """Check the body, queue the request and answer it."""
        try:
            chat = TypeAdapter(ChatRequest).validate_json(self.request.body)
        except ValidationError as failure:
            await self.reply_error(400, "invalid_request", problem_text(failure))
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
        self.taken = self.state.take(
            request_id=request_id,
            mark=chat.metadata.mark if chat.metadata else "",
            priority=chat.priority,
            tokens=expected_tokens(json.loads(self.request.body)),
            blocks=prompt_blocks(chat.messages),
        )
        try:
            await (self.stream() if chat.stream else self.answer_whole())
        except StreamClosedError:
            self.state.cancel(self.taken)

    def on_connection_close(self):
        """Cancel the request when its caller has gone."""
        if self.taken is not None:
            self.state.cancel(self.taken)

    async def next_item(self) -> Token | Ending:
        """Return the answer's next token or its end."""
        item = await self.taken.answer.get()
        await self.controls.audible.wait()
        return item

    async def stream(self) -> None:
        """Answer with one server-sent event for each token."""
        self.set_header("Content-Type", "text/event-stream")
        while isinstance(item := await self.next_item(), Token):
            self.write_event(delta={"content": item.text}, finish_reason=None)
            await self.flush()
        if item is Ending.STOP:
            self.write_event(
                delta={}, finish_reason=str(item), usage=_usage(self.taken)
            )
            self.write("data: [DONE]\n\n")

    def write_event(self, *, delta: dict, finish_reason: str | None, **extra) -> None:
        """Write one event of a streamed answer."""
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        event = self.envelope("chat.completion.chunk", choice) | extra
        self.write(f"data: {json.dumps(event)}\n\n")

    def envelope(self, kind: str, choice: dict) -> dict:
        """Return the parts that whole and streamed answers share."""
        return {
            "id": self.taken.execution.request_id,
            "object": kind,
            "created": int(self.state.now()),
            "model": self.chat.model,
            "choices": [choice],
        }

    async def answer_whole(self) -> None:
        """Answer with one JSON object when all tokens are there."""
        texts = []
        while isinstance(item := await self.next_item(), Token):
            texts.append(item.text)
        if item is Ending.CANCELLED:
            await self.reply_error(409, "cancelled", "the request was cancelled")
            return
        message = {"role": "assistant", "content": "".join(texts)}
        choice = {"index": 0, "message": message, "finish_reason": str(item)}
        answer = self.envelope("chat.completion", choice)
        await self.reply(answer | {"usage": _usage(self.taken)})


class OrderHandler(StandinHandler):
    """``POST /v1/requests/ID/pause``, ``resume`` and ``cancel``."""

    async def post(self, request_id: str, verb: str):
        """Carry out the verb on a request that has not ended."""
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
    """``GET /v1/models``."""

    async def get(self):
        """Answer with the models that the engine serves."""
        models = [{"id": name, "object": "model"} for name in self.state.models]
        await self.reply({"object": "list", "data": models})


class LoadHandler(StandinHandler):
    """``GET /v1/load``."""

    async def get(self):
        """Answer with the load as it was some time ago."""
        lag_s = self.controls.faults.lag_s
        load = asdict(self.state.load.as_of(lag_s))
        await self.reply({**load, "as_of": self.state.now() - lag_s})


ROUTES = [
    ("/v1/chat/completions", ChatHandler),
    (r"/v1/requests/([^/]+)/(pause|resume|cancel)", OrderHandler),
    ("/v1/models", ModelsHandler),
    ("/v1/load", LoadHandler),
]
"""Path pattern and handler class of each call."""
