"""What the stand-ins say that they ran, read after a run."""

import json
from dataclasses import dataclass

from tornado.httpclient import HTTPClient

__all__ = ["Execution", "read_executions"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Execution:
    """One entry of a stand-in's log.

    Parameters
    ----------
    stand_in : str
        URL of the stand-in.
    mark : str
        The request.
    tokens : int
        Tokens generated for it.
    was_cancelled : bool
        Whether it was ended before its time.
    """

    stand_in: str
    mark: str
    tokens: int
    was_cancelled: bool


def read_executions(urls: list[str]) -> list[Execution]:
    """Return the log entries of engine and service stand-ins.

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
