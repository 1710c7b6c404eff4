"""Engine time that answers need, computed from the speed model of the stand-ins."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..declarations import Declarations
from ..load.arrivals import PlannedRequest
from ..load.executions import Execution
from ..load.records import CallerOutcome, CallerRecord
from ..standins.engine.prefix import BLOCK_TOKENS, PrefixCache, prompt_blocks
from ..standins.engine.speed import prefill_seconds, tokens_per_second

__all__ = ["EngineUsage", "Window", "compute_engine_usage", "replay_prefills"]

CACHE_BLOCKS = 4096
"""Capacity of the prefix cache of an engine stand-in, in blocks."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Window:
    """Half-open interval of a run, in seconds from its start."""

    start_s: float
    end_s: float

    def contains(self, offset_s: float) -> bool:
        """Return whether a time lies in the window."""
        return self.start_s <= offset_s < self.end_s


@dataclass(slots=True, kw_only=True)
class EngineUsage:
    """Goodput of a window and the engine time that it needs by the speed model.

    Parameters
    ----------
    tokens : int
        Tokens in the window of complete answers that met their targets.
    seconds : float
        Engine time for the decode of these tokens in a full batch and for the prefill
        of their prompts.
    late_seconds : float
        The same engine time for complete answers that missed a target.
    """

    tokens: int = 0
    seconds: float = 0.0
    late_seconds: float = 0.0


def replay_prefills(
    requests: Iterable[PlannedRequest],
    executions_by_engine: Iterable[Iterable[Execution]],
) -> dict[str, float]:
    """Return the prefill time of each prompt in seconds, by mark.

    Parameters
    ----------
    requests : iterable of PlannedRequest
        Requests that were sent.
    executions_by_engine : iterable of iterable of Execution
        Executions of each engine, in order.
    """
    bodies = {
        request.mark: request.body for request in requests if request.stream.model
    }
    seconds: dict[str, float] = {}
    for executions in executions_by_engine:
        cache = PrefixCache(capacity=CACHE_BLOCKS)
        for execution in executions:
            blocks = prompt_blocks(json.loads(bodies[execution.mark])["messages"])
            tokens = len(blocks) * BLOCK_TOKENS
            prefill_s = prefill_seconds(tokens, cache.match_and_insert(blocks))
            seconds[execution.mark] = seconds.get(execution.mark, 0.0) + prefill_s
    return seconds


def compute_engine_usage(
    requests: Iterable[PlannedRequest],
    records: Iterable[CallerRecord],
    declarations: Declarations,
    prefills: Mapping[str, float],
    *,
    window: Window,
    width: int,
) -> EngineUsage:
    """Return the engine time that the answers of a window needed.

    Parameters
    ----------
    requests : iterable of PlannedRequest
        Requests that were sent.
    records : iterable of CallerRecord
        Records of the callers, in the order of the requests.
    declarations : Declarations
        Declarations with the targets of each class.
    prefills : mapping of str to float
        Prefill time of each prompt in seconds, by mark.
    window : Window
        Part of the run whose tokens count.
    width : int
        Batch width of the engines.
    """
    usage = EngineUsage()
    for planned, record in zip(requests, records, strict=True):
        if not planned.stream.model or record.fate is not CallerOutcome.WHOLE:
            continue
        times = _token_times_s(record)
        token_count = sum(window.contains(moment) for moment in times)
        seconds = token_count / tokens_per_second(width)
        if window.contains(times[0]):
            seconds += prefills.get(planned.mark, 0.0)
        if _meets_targets(record, declarations):
            usage.tokens += token_count
            usage.seconds += seconds
        else:
            usage.late_seconds += seconds
    return usage


def _meets_targets(record: CallerRecord, declarations: Declarations) -> bool:
    declared_class = declarations.classes[record.class_name]
    is_first_token_on_time = record.first_token <= declared_class.first_token
    return is_first_token_on_time and record.finish <= declared_class.finish


def _token_times_s(record: CallerRecord) -> list[float]:
    moment = record.offset + record.first_token
    times = [moment]
    for gap in record.gaps:
        moment += gap
        times.append(moment)
    return [token_time / timedelta(seconds=1) for token_time in times]
