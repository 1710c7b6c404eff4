"""Stand-in for a plain service, which logs one execution for each call."""

import asyncio
import hashlib
from dataclasses import asdict, dataclass

import fire

from ..clock import Clock, monotonic_clock
from .serving import Controls, Execution, Faults, StandinHandler, serve

__all__ = ["ServiceReply", "expected_reply"]

CALL_SECONDS = 0.02
"""Processing time of one call, in seconds."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceReply:
    """Answer of a plain service: the call's method, path and body digest.

    `body_sha256` is hexadecimal.
    """

    method: str
    path: str
    body_sha256: str


def expected_reply(method: str, path: str, body: bytes) -> ServiceReply:
    """Return the service stand-in's answer to a call.

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
    """State of a plain service.

    Parameters
    ----------
    slots : asyncio.Semaphore
        Limits the number of concurrent calls.
    clock : Clock
        The process's clock.
    """

    slots: asyncio.Semaphore
    clock: Clock


class CallHandler(StandinHandler):
    """Handler of every method and path."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    async def run_call(self):
        """Execute the call in a slot, log the execution, and answer."""
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
    """Serve until the process ends."""
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
        Largest number of concurrent calls.
    slow : float
        Factor by which the processing time of calls is multiplied.
    """
    asyncio.run(run(port=port, width=width, faults=Faults(slow=slow)))


if __name__ == "__main__":
    fire.Fire(main)
