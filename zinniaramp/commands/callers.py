"""Verbs that send callers' requests to an entry: ``ticket`` and ``send``."""

import json as json_library
import sys
from dataclasses import dataclass

from ..answers import EventReader
from .operators import Answer, base_url, send_request
from .output import EXIT_NOT_RUN, EXIT_UNKNOWN, EXIT_USAGE, fail, print_json, verb

__all__ = ["send", "ticket"]

TIMEOUT_SECONDS = 3600
"""Default timeout of a complete answer, in seconds."""

OUTCOME_HEADER = "Zinniaramp-Outcome"

OUTCOME_EXIT_CODES = {"done": 0, "not-run": EXIT_NOT_RUN}
"""Exit code by outcome; for any other outcome it is `EXIT_UNKNOWN`."""


def _make_headers(
    class_name: str, workspace: str, ticket_text: str = ""
) -> dict[str, str]:
    headers = {
        "Zinniaramp-Class": class_name,
        "Zinniaramp-Workspace": workspace,
        "Idempotency-Key": ticket_text,
    }
    return {name: value for name, value in headers.items() if value}


def _exit_on_error(answer: Answer) -> None:
    """Exit with the code of the answer's outcome if its status is 400 or higher.

    A status from 400 to 499 without an outcome means that the request was not run.
    """
    if answer.status < 400:
        return
    outcome = answer.headers.get(OUTCOME_HEADER, "")
    retry_after = answer.headers.get("Retry-After")
    text = answer.body.decode(errors="replace").strip()
    retry_hint = f"; try again after {retry_after} s" if retry_after else ""
    is_refused = answer.status < 500 and not outcome
    code = EXIT_NOT_RUN if is_refused else OUTCOME_EXIT_CODES.get(outcome, EXIT_UNKNOWN)
    fail(
        f"{answer.status} {outcome or 'refused'}: {text}{retry_hint}",
        code or EXIT_UNKNOWN,
    )


@verb(flags=("json",))
def ticket(
    url: str,
    target: str,
    *,
    class_name: str = "",
    workspace: str = "",
    json: bool = False,
) -> None:
    """Request a ticket for one non-repeatable request and print it.

    Parameters
    ----------
    url : str
        URL of an entry's listener for callers.
    target : str
        Model or plain service of the request.
    class_name, workspace : str
        Class and workspace of the request; default as in the declarations.
    json : bool
        Print JSON.
    """
    answer = send_request(
        f"{base_url(url)}/v1/tickets",
        method="POST",
        headers=_make_headers(class_name, workspace),
        body=json_library.dumps({"target": target}).encode(),
    )
    _exit_on_error(answer)
    issued = answer.json()
    if json:
        print_json(issued)
    else:
        print(issued["ticket"])


@dataclass(slots=True)
class StreamPrinter:
    """Prints the text of a streamed answer as it arrives.

    Parameters
    ----------
    events : EventReader
        Parser of the event stream.
    raw : bytearray
        First `MAX_KEPT_BYTES` of the body.
    outcome : str
        Last outcome that an event reported; empty if none did.
    finish_reason : str
        Last finish reason that a choice reported; empty if none did.
    """

    events: EventReader
    raw: bytearray
    outcome: str = ""
    finish_reason: str = ""

    def receive(self, data: bytes) -> None:
        """Print the text of the events that a chunk of the body completes."""
        self.raw += data[: max(0, MAX_KEPT_BYTES - len(self.raw))]
        for event in self.events.read(data).unwrap_or([]):
            self.show(event)

    def show(self, data: str) -> None:
        """Print the text of one event."""
        try:
            event = json_library.loads(data)
        except ValueError:
            return
        if not isinstance(event, dict):
            return
        self.outcome = (event.get("zinniaramp") or {}).get("outcome") or self.outcome
        for choice in event.get("choices") or []:
            print((choice.get("delta") or {}).get("content") or "", end="", flush=True)
            self.finish_reason = choice.get("finish_reason") or self.finish_reason


MAX_KEPT_BYTES = 64 * 1024
"""Limit of the bytes of an answer that are kept for an error message."""


@verb(numbers=("max_tokens", "timeout"))
def send(
    url: str,
    text: str = "",
    *,
    model: str = "",
    service: str = "",
    path: str = "",
    method: str = "POST",
    class_name: str = "",
    workspace: str = "",
    ticket: str = "",
    max_tokens: float = 0,
    timeout: float = TIMEOUT_SECONDS,
) -> None:
    """Send one chat or plain request and print its answer.

    The answer of a chat request is printed as it arrives.

    Parameters
    ----------
    url : str
        URL of an entry's listener for callers.
    text : str
        Text of the chat message, or body of the plain request.
    model : str
        Model of a chat request.
    service, path, method : str
        Plain service, path and HTTP method of a plain request.
    class_name, workspace : str
        Class and workspace of the request; default as in the declarations.
    ticket : str
        Ticket of a non-repeatable request.
    max_tokens : int
        Limit of the completion tokens of a chat answer; 0 leaves it to the engine.
    timeout : float
        Timeout of the complete answer, in seconds.
    """
    if bool(model) == bool(service):
        fail("specify either --model or --service", EXIT_USAGE)
    headers = _make_headers(class_name, workspace, ticket)
    if service:
        answer = send_request(
            f"{base_url(url)}/services/{service}/{path.lstrip('/')}",
            method=method,
            headers=headers,
            body=text.encode() if text or method in ("POST", "PUT", "PATCH") else None,
            timeout_s=timeout,
            lost_connection_code=EXIT_UNKNOWN,
        )
        _exit_on_error(answer)
        sys.stdout.write(answer.body.decode(errors="replace"))
        return
    body = {
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "stream": True,
    }
    if max_tokens:
        body["max_tokens"] = int(max_tokens)
    printer = StreamPrinter(events=EventReader(), raw=bytearray())
    answer = send_request(
        f"{base_url(url)}/v1/chat/completions",
        method="POST",
        headers={**headers, "Content-Type": "application/json"},
        body=json_library.dumps(body).encode(),
        timeout_s=timeout,
        on_data=printer.receive,
        lost_connection_code=EXIT_UNKNOWN,
    )
    print()
    _exit_on_error(
        Answer(status=answer.status, headers=answer.headers, body=bytes(printer.raw))
    )
    outcome = printer.outcome or ("done" if printer.finish_reason else "unknown")
    request_id = answer.headers.get("Zinniaramp-Request-Id", "")
    print(f"outcome {outcome}, request {request_id}", file=sys.stderr)
    sys.exit(OUTCOME_EXIT_CODES.get(outcome, EXIT_UNKNOWN))
