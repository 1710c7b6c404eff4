"""The history of a run as callers, stand-ins and processes recorded it.

Nothing here depends on the code that is judged; times are Unix seconds.
"""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["History", "Limits", "LogLine", "Outage", "RequestRecord", "ExecutionRecord"]


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestRecord:
    """What one caller saw of one request.

    Parameters
    ----------
    mark : str
        Name of the request in the stand-ins' logs.
    class_name : str
        Its class.
    is_repeatable : bool
        Whether it may run more than once.
    entry : str
        URL of the entry process that it was sent to.
    sent, ended : float
        When it was sent and when its caller had the last answer.
    fate : str
        How it ended, as in `zinniaramp.load.records.CallerOutcome`.
    outcome, request_id : str
        What the system said of it.
    sends, not_run_answers : int
        Times that it was sent, and answers to that which said ``not-run``.
    """

    mark: str
    class_name: str
    is_repeatable: bool
    entry: str
    sent: float
    ended: float
    fate: str
    outcome: str
    request_id: str
    sends: int
    not_run_answers: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ExecutionRecord:
    """One request that a stand-in took."""

    stand_in: str
    mark: str


@dataclass(slots=True, kw_only=True, frozen=True)
class LogLine:
    """One numbered event of a process.

    Parameters
    ----------
    process : str
        Name of the process.
    time : float
        When it was logged.
    name : str
        Name of the event in docs/EVENTS.md.
    fields : dict
        The event's fields.
    """

    process: str
    time: float
    name: str
    fields: dict[str, Any] = field(default_factory=dict)

    def get(self, name: str) -> Any:
        """Return a field, or None."""
        return self.fields.get(name)


@dataclass(slots=True, kw_only=True, frozen=True)
class Outage:
    """Time in which a process was killed, stopped or cut off on purpose.

    Parameters
    ----------
    process, url : str
        Its name, and its URL for callers if it is an entry process.
    start, end : float
        From when to when.
    is_graceful : bool
        Whether it finished what it had; only what was sent from the start on
        could then meet it.
    """

    process: str
    url: str
    start: float
    end: float
    is_graceful: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Limits:
    """Bounds that a history is judged by, in seconds but for the last.

    Parameters
    ----------
    progress_s : float
        Longest time that an admitted attempt waits for its start or resumption.
    leaving_s : float
        Time after which a leaving endpoint is chosen no more.
    in_force_s : float
        Time after which an accepted revision is in force everywhere.
    settle_s : float
        Time for which a slot may stay with a lower class after it became usable.
    queue_places : int
        Waiting attempts that an endpoint process holds at most.
    """

    progress_s: float = 600.0
    leaving_s: float = 3.0
    in_force_s: float = 9.0
    settle_s: float = 0.5
    queue_places: int = 5000


@dataclass(slots=True, kw_only=True)
class History:
    """Everything that was recorded of a run.

    Parameters
    ----------
    requests : list of RequestRecord
        What callers saw.
    runs : list of ExecutionRecord
        What stand-ins ran.
    logs : dict of list of LogLine
        Events of each process, in the order in which it logged them.
    outages : list of Outage
        Faults that were injected into processes.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    runs: list[ExecutionRecord] = field(default_factory=list)
    logs: dict[str, list[LogLine]] = field(default_factory=dict)
    outages: list[Outage] = field(default_factory=list)
