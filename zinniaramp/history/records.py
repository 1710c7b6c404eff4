"""Records of a run by its callers, stand-ins and processes.

This module does not import the code under test.  Times are Unix seconds.
"""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["ExecutionRecord", "History", "Limits", "LogLine", "Outage", "RequestRecord"]


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestRecord:
    """One request as its caller observed it.

    Parameters
    ----------
    mark : str
        Unique text that identifies the request in the stand-ins' logs.
    class_name : str
        Its class.
    is_repeatable : bool
        Whether it may be executed more than once.
    entry : str
        URL of the entry process to which it was sent.
    sent, ended : float
        When it was planned to be sent and when its last answer ended.
    fate : str
        How it ended; a value of `zinniaramp.load.records.CallerOutcome`.
    outcome, request_id : str
        Outcome and request identifier that the system reported; empty if none.
    sends, not_run_answers : int
        Number of times it was sent, and number of answers that were ``not-run``.
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
    """One execution of a request by an engine or service stand-in.

    Parameters
    ----------
    stand_in : str
        URL of the stand-in.
    mark : str
        Unique text that identifies the request.
    """

    stand_in: str
    mark: str


@dataclass(slots=True, kw_only=True, frozen=True)
class LogLine:
    """One event in the log of a process.

    Parameters
    ----------
    process : str
        Name of the process.
    time : float
        When it was logged.
    name : str
        Name of the event, as in docs/EVENTS.md.
    fields : dict
        Fields of the event.
    """

    process: str
    time: float
    name: str
    fields: dict[str, Any] = field(default_factory=dict)

    def get(self, name: str) -> Any:
        """Return the value of a field; None if the event does not have it."""
        return self.fields.get(name)


@dataclass(slots=True, kw_only=True, frozen=True)
class Outage:
    """Injected fault: a process was killed, stopped or disconnected for a time.

    Parameters
    ----------
    process, url : str
        Name of the process, and its URL for callers if it is an entry process.
    start, end : float
        When the fault began and ended.
    is_graceful : bool
        Whether the process finished its requests in flight.  If so, the fault can
        affect only requests sent after its start.
    """

    process: str
    url: str
    start: float
    end: float
    is_graceful: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Limits:
    """Bounds that the checks apply.

    Parameters
    ----------
    progress_s : float
        Longest wait of an accepted attempt for its start or resumption, in seconds.
    leaving_s : float
        Seconds after which a leaving endpoint may not receive new attempts.
    in_force_s : float
        Seconds after which an accepted revision must be in force everywhere.
    settle_s : float
        Seconds for which a lower class may keep a slot after it became usable.
    queue_places : int
        Largest number of waiting attempts of an endpoint process.
    """

    progress_s: float = 600.0
    leaving_s: float = 3.0
    in_force_s: float = 9.0
    settle_s: float = 0.5
    queue_places: int = 5000


@dataclass(slots=True, kw_only=True)
class History:
    """All records of one run.

    Parameters
    ----------
    requests : list of RequestRecord
        Requests as their callers observed them.
    runs : list of ExecutionRecord
        Executions that the stand-ins recorded.
    logs : dict of list of LogLine
        Events of each process in the order of its log, by process name.
    outages : list of Outage
        Faults that were injected.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    runs: list[ExecutionRecord] = field(default_factory=list)
    logs: dict[str, list[LogLine]] = field(default_factory=dict)
    outages: list[Outage] = field(default_factory=list)
