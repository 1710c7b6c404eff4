"""What an endpoint process tells operators about itself."""

from dataclasses import dataclass

__all__ = ["EndpointStatus"]


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointStatus:
    """State of an endpoint process at one time.

    Parameters
    ----------
    incarnation : str
        Name of the host and identity of this start.
    is_leaving : bool
        Whether it takes no new work.
    running, paused : int
        Attempts that hold a slot of the engine, and that gave theirs up.
    waiting : dict of str to int
        Attempts that wait for a slot, by class.
    held : int
        Accepted attempts that wait for their entry after a pause of this process.
    answers : int
        Answers retained, finished or not.
    retained_bytes : int
        Bytes of these answers.
    tickets : int
        Tickets in the table.
    tombstones : int
        Attempts that were cancelled before they were offered.
    revision_index : int
        Revision in force.
    streams : int
        Open streams.
    tokens_per_s : float
        Observed speed of the engine.
    token_interval_s : float
        Observed mean time between tokens of one answer, in seconds.
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
