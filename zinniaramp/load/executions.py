"""Reads the executions that the stand-ins logged, after a run."""

import json
from dataclasses import dataclass

from tornado.httpclient import HTTPClient

__all__ = ["Execution", "read_executions"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Execution:
    """One execution of a request in the log of a stand-in.

    Parameters
    ----------
    stand_in : str
        URL of the stand-in.
    mark : str
        Unique text that identifies the request.
    tokens : int
        Number of tokens generated.
    was_cancelled : bool
        Whether it was cancelled before it completed.
    """

    stand_in: str
    mark: str
    tokens: int
    was_cancelled: bool


def read_executions(urls: list[str]) -> list[Execution]:
    """Return the executions that engine and service stand-ins logged.

    Parameters
    ----------
    urls : list of str
        Base URLs of the stand-ins.
    """
    client = HTTPClient()
    executions = []
    for url in urls:
        entries = json.loads(client.fetch(f"{url}/standin/log").body)
        executions += [
            Execution(
                stand_in=url,
                mark=str(entry.get("mark") or ""),
                tokens=int(entry.get("tokens") or 0),
                was_cancelled=bool(entry.get("cancelled")),
            )
            for entry in entries
        ]
    client.close()
    return executions
