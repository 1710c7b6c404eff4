"""Orders to the engine about attempts."""

from result import Err, Ok

from ..observability import emit
from .attempts import Attempt
from .engine import EngineClient
from .events import ENGINE_ORDER_FAILED

__all__ = ["send_order"]


async def send_order(engine: EngineClient, attempt: Attempt, order: str) -> None:
    """Send the engine an order; orders about one attempt are sent in sequence."""
    async with attempt.order_lock:
        answer = await engine.order(attempt.attempt_id, order)
    match answer:
        case Ok(status) if status < 400:
            return
        case Ok(status):
            error = f"status {status}"
        case Err(engine_error):
            error = str(engine_error)
    emit(
        ENGINE_ORDER_FAILED,
        attempt=attempt.attempt_id,
        order=order,
        error=error,
    )
