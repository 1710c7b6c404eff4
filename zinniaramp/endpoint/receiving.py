"""Receiving the engine's response to an attempt."""

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from ..contracts import Head, Outcome
from ..observability import emit
from ..scheduling import JobState
from .attempts import Attempt
from .events import ENGINE_SILENT
from .metrics import TOKENS_GENERATED
from .responses import ResponseReader
from .transfer import Transfer

if TYPE_CHECKING:
    from .executor import Executor

__all__ = ["receive_response"]

COALESCE_SECONDS = 0.005
"""Time for which further tokens are collected before they are delivered, in seconds."""

ENGINE_BACKOFF = timedelta(seconds=1)
"""Time for which offers are refused after connecting to the engine failed."""

SILENT_DETAIL = "engine-silent"
"""Detail of the `End` of an attempt whose engine stopped sending data."""


async def receive_response(
    executor: "Executor", attempt: Attempt, transfer: Transfer
) -> None:
    """Receive the engine's response until it ends, then end the attempt."""
    reader = ResponseReader(is_chat=executor.is_chat)
    while reader.end is None and not attempt.has_ended():
        if not await _wait_for_item(executor, attempt, transfer):
            _end_silent(executor, attempt)
            return
        for item in transfer.pop_items():
            reader.read(item)
        _store_answer(executor, attempt, reader)
    if attempt.has_ended():
        return
    _finish_transfer(executor, attempt, transfer, reader.end.outcome)
    if reader.end.outcome is Outcome.NOT_RUN:
        executor.unavailable_until = executor.clock() + ENGINE_BACKOFF
    executor.end(attempt, reader.end.outcome, reader.end.detail)


def _finish_transfer(
    executor: "Executor", attempt: Attempt, transfer: Transfer, outcome: Outcome
) -> None:
    """End the transfer of a response whose end is known before it has ended."""
    if transfer.is_ended:
        return
    if outcome is Outcome.DONE:
        transfer.finish()
    else:
        executor.cancel_at_engine(attempt)


async def _wait_for_item(
    executor: "Executor", attempt: Attempt, transfer: Transfer
) -> bool:
    """Wait until the engine sends data; return false if it is silent."""
    is_first = not attempt.answer.tokens
    while not transfer.items:
        bound = executor.intervals.silence_timeout(is_first=is_first)
        remaining = attempt.last_activity + bound - executor.clock()
        is_generating = executor.is_chat and attempt.job.state is JobState.RUNNING
        if is_generating and remaining <= timedelta(0) and not executor.check_pause():
            return False
        await transfer.wait((remaining if is_generating else bound).total_seconds())
    if not is_first:
        await asyncio.sleep(COALESCE_SECONDS)
    return True


def _store_answer(
    executor: "Executor", attempt: Attempt, reader: ResponseReader
) -> None:
    """Store the data that the engine has sent, and deliver it."""
    if attempt.has_ended():
        return
    is_first = not attempt.answer.tokens
    _record_interval(executor, attempt)
    if reader.head is not None and attempt.answer.head is None:
        attempt.answer.head = Head(
            attempt_id=attempt.attempt_id,
            status=reader.head.status,
            headers=reader.head.headers,
        )
    for piece in reader.pop_pieces():
        executor.answers.append(attempt.answer, piece)
        if piece.tokens:
            executor.scheduler.record_tokens(attempt.attempt_id, piece.tokens)
            TOKENS_GENERATED.labels(attempt.job.class_name).inc(piece.tokens)
    if is_first and attempt.answer.tokens:
        executor.changed.set()
    if reader.end is None:
        attempt.deliver()


def _record_interval(executor: "Executor", attempt: Attempt) -> None:
    """Record the time since the engine last sent data."""
    now = executor.clock()
    if attempt.job.state is JobState.RUNNING:
        is_first = not attempt.answer.tokens
        executor.intervals.record(now - attempt.last_activity, is_first=is_first)
    attempt.last_activity = now


def _end_silent(executor: "Executor", attempt: Attempt) -> None:
    """End an attempt whose engine has sent nothing within the timeout."""
    if attempt.has_ended():
        return
    bound = executor.intervals.silence_timeout(is_first=not attempt.answer.tokens)
    emit(
        ENGINE_SILENT,
        attempt=attempt.attempt_id,
        bound_s=bound.total_seconds(),
        tokens=attempt.answer.tokens,
    )
    executor.cancel_at_engine(attempt)
    executor.end(attempt, Outcome.UNKNOWN, SILENT_DETAIL)
