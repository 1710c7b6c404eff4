"""What the engine stand-ins can give by their own speed law, and what was used."""

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

__all__ = ["EngineUse", "Window", "engine_use", "replay_prefills"]

CACHE_BLOCKS = 4096
"""Blocks that the prefix cache of an engine stand-in holds."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Window:
    """Part of a run, in seconds from its start."""

    start_s: float
    end_s: float

    def holds(self, offset_s: float) -> bool:
        """Tell whether a time lies in it."""
        return self.start_s <= offset_s < self.end_s


@dataclass(slots=True, kw_only=True)
class EngineUse:
    """Good tokens of a window and the engine time that they need by law.

    Parameters
    ----------
    tokens : int
        Tokens, in the window, of whole answers that met their targets.
    seconds : float
        Engine time that these and their prompts need in a full batch.
    late_seconds : float
        The same for whole answers that missed a target.
    """

    tokens: int = 0
    seconds: float = 0.0
    late_seconds: float = 0.0


def replay_prefills(
    requests: Iterable[PlannedRequest], by_engine: Iterable[Iterable[Execution]]
) -> dict[str, float]:
    """Return the seconds in which each prompt was read, by mark.

    Parameters
    ----------
    requests : iterable of PlannedRequest
        What was sent.
    by_engine : iterable of iterable of Execution
        What each engine ran, in order.
    """
    bodies = {one.mark: one.body for one in requests if one.stream.model}
    seconds: dict[str, float] = {}
    for executions in by_engine:
        cache = PrefixCache(capacity=CACHE_BLOCKS)
        for execution in executions:
            blocks = prompt_blocks(json.loads(bodies[execution.mark])["messages"])
            tokens = len(blocks) * BLOCK_TOKENS
            spent = prefill_seconds(tokens, cache.match_and_insert(blocks))
            seconds[execution.mark] = seconds.get(execution.mark, 0.0) + spent
    return seconds


def engine_use(
    requests: Iterable[PlannedRequest],
    records: Iterable[CallerRecord],
    declarations: Declarations,
    prefills: Mapping[str, float],
    *,
    window: Window,
    width: int,
) -> EngineUse:
    """Return what the good answers took of the engines in a window.

    Parameters
    ----------
    requests : iterable of PlannedRequest
        What was sent.
    records : iterable of CallerRecord
        What its callers saw, in the same order.
    declarations : Declarations
        Targets by class.
    prefills : mapping of str to float
        Seconds in which each prompt was read, by mark.
    window : Window
        Part of the run that counts.
    width : int
        Batch width of the engines.
    """
    use = EngineUse()
    for planned, record in zip(requests, records, strict=True):
        if not planned.stream.model or record.fate is not CallerOutcome.WHOLE:
            continue
        times = _token_times_s(record)
        count = sum(window.holds(moment) for moment in times)
        seconds = count / tokens_per_second(width)
        if window.holds(times[0]):
            seconds += prefills.get(planned.mark, 0.0)
        if _is_good(record, declarations):
            use.tokens += count
            use.seconds += seconds
        else:
            use.late_seconds += seconds
    return use


def _is_good(record: CallerRecord, declarations: Declarations) -> bool:
    declared = declarations.classes[record.class_name]
    is_soon = record.first_token <= declared.first_token
    return is_soon and record.finish <= declared.finish


def _token_times_s(record: CallerRecord) -> list[float]:
    moment = record.offset + record.first_token
    times = [moment]
    for gap in record.gaps:
        moment += gap
        times.append(moment)
    return [one / timedelta(seconds=1) for one in times]
