"""State that an endpoint process reports to operators."""

from dataclasses import dataclass

__all__ = ["EndpointStatus"]


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointStatus:
    """State of an endpoint process at one time.

    Parameters
    ----------
    incarnation : str
        Name of the host and identifier of this start of the process.
    is_leaving : bool
        Whether the process accepts no new attempts.
    running, paused : int
        Attempts that use a slot of the engine, and preempted attempts.
    waiting : dict of str to int
        Attempts that wait for a slot, by class.
    held : int
        Accepted attempts that do not start until their entry process resumes them,
        because this process was paused.
    answers : int
        Retained answers, finished or not.
    retained_bytes : int
        Size of the content of these answers.
    tickets : int
        Tickets in the table.
    tombstones : int
        Tombstones of attempts that were cancelled before they started.
    revision_index : int
        Index of the revision in force.
    streams : int
        Open streams.
    tokens_per_s : float
        Observed throughput of the engine.
    token_interval_s : float
        Moving average of the inter-token latency, in seconds.
    """

    incarnation: str
    is_leaving: bool
    running: int
    paused: int
    waiting: dict[str, int]
    held: int
    answers: int
    retained_bytes: int
    tickets: int
    tombstones: int
    revision_index: int
    streams: int
    tokens_per_s: float
    token_interval_s: float
