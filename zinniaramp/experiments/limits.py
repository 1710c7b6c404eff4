"""What the engine stand-ins can give by their own speed law, and what was used."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..declarations import Declarations
from ..load.arrivals import PlannedRequest
from ..load.records import CallerRecord, Fate
from ..standins.engine.prefix import TOKEN_BYTES
from ..standins.engine.speed import prefill_seconds, tokens_per_second

__all__ = ["EngineUse", "Window", "engine_use"]

TOKENS_PER_WORD = 7 / TOKEN_BYTES
"""Prompt tokens of one planned word and the space after it."""


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
    """

    tokens: int = 0
    seconds: float = 0.0


def engine_use(
    requests: Iterable[PlannedRequest],
    records: Iterable[CallerRecord],
    declarations: Declarations,
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
    window : Window
        Part of the run that counts.
    width : int
        Batch width of the engines.

    Notes
    -----
    Prefixes that sessions share are taken as cached, so the engine time is a
    lower bound.
    """
    use = EngineUse()
    for planned, record in zip(requests, records, strict=True):
        if not planned.stream.model or not _is_good(record, declarations):
            continue
        times = _token_times_s(record)
        count = sum(window.holds(moment) for moment in times)
        use.tokens += count
        use.seconds += count / tokens_per_second(width)
        if window.holds(times[0]):
            prompt = planned.stream.prompt_tokens * TOKENS_PER_WORD
            use.seconds += prefill_seconds(round(prompt), 0)
    return use


def _is_good(record: CallerRecord, declarations: Declarations) -> bool:
    declared = declarations.classes[record.class_name]
    if record.fate is not Fate.WHOLE:
        return False
    is_soon = record.first_token <= declared.first_token
    return is_soon and record.finish <= declared.finish


def _token_times_s(record: CallerRecord) -> list[float]:
    moment = record.offset + record.first_token
    times = [moment]
    for gap in record.gaps:
        moment += gap
        times.append(moment)
    return [one / timedelta(seconds=1) for one in times]
