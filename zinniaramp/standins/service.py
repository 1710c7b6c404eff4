"""Stand-in for a plain service: each call that it takes counts as one run."""

import asyncio
import hashlib
from dataclasses import asdict, dataclass

import fire

from ..clock import Clock, monotonic_clock
from .serving import Controls, Execution, Faults, StandinHandler, serve

__all__ = ["ServiceReply", "expected_reply"]

CALL_SECONDS = 0.02
"""Time that one call takes, in seconds."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceReply:
    """Answer of a plain service."""

    method: str
    path: str
    body_sha256: str


def expected_reply(method: str, path: str, body: bytes) -> ServiceReply:
    """Return what the service stand-in answers to a call.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with its query, as sent.
    body : bytes
        Body of the call.
    """
    digest = hashlib.sha256(body).hexdigest()
    return ServiceReply(method=method, path=path, body_sha256=digest)


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A plain service with a number of slots."""

    slots: asyncio.Semaphore
    clock: Clock


class CallHandler(StandinHandler):
    """Any method and path."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    async def run_call(self):
        """Run the call once and answer it."""
        execution = Execution(
            mark=self.request.headers.get("X-Mark", ""),
            request_id=self.request.headers.get("Idempotency-Key", ""),
        )
        self.controls.log.append(execution)
        async with self.state.slots:
            execution.started = self.state.clock().timestamp()
            await asyncio.sleep(CALL_SECONDS * self.controls.faults.slow)
            execution.finished = self.state.clock().timestamp()
        request = self.request
        answer = expected_reply(request.method, request.uri, request.body)
        await self.reply(asdict(answer))

    get = head = post = put = patch = delete = options = run_call


async def run(*, port: int, width: int, faults: Faults) -> None:
    """Serve until the process is ended."""
    service = Service(slots=asyncio.Semaphore(width), clock=monotonic_clock())
    controls = Controls(faults=faults)
    await serve([("/.*", CallHandler)], port=port, controls=controls, state=service)


def main(*, port: int, width: int = 8, slow: float = 1.0) -> None:
    """Serve a stand-in for a plain service on loopback.

    Parameters
    ----------
    port : int
        TCP port.
    width : int
        Calls that run at a time.
    slow : float
        Factor on every call's time.
    """
    asyncio.run(run(port=port, width=width, faults=Faults(slow=slow)))


if __name__ == "__main__":
    fire.Fire(main)
