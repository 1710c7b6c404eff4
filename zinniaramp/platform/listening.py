"""Opening of the callers' listener, with nothing but the standard library.

The libraries take some 0.3 s to load on the platform's hosts.  Callers who connect
meanwhile wait in the listener's queue in place of being refused.
"""

import os
import socket
import tomllib
from pathlib import Path

__all__ = ["EarlyListener", "open_listener", "settings_path"]

SETTINGS_VARIABLE = "ZINNIARAMP_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

DEFAULT_PATH = "/etc/zinniaramp/node.toml"
"""Path where the variable is not set."""

QUEUE = 512
"""Connections that wait; a host of today's deployments gets some 10 a second."""


class EarlyListener:
    """The listener, or why there is none yet.

    Attributes
    ----------
    socket : socket.socket or None
        Listening socket.
    problem : str
        What went wrong, for the log; empty if nothing did.
    """

    __slots__ = ("socket", "problem")

    def __init__(self, *, socket: socket.socket | None, problem: str):
        self.socket = socket
        self.problem = problem


def settings_path() -> Path:
    """Return the path of the settings file that the environment names."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def open_listener(path: Path) -> EarlyListener:
    """Listen for callers at the address that a settings file names.

    Parameters
    ----------
    path : Path
        Settings file; all of it is checked later.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        document = tomllib.loads(path.read_text())
        ip, _, port = document["listen"]["frontend"].rpartition(":")
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((ip, int(port)))
        listener.listen(QUEUE)
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        listener.close()
        return EarlyListener(socket=None, problem=repr(error))
    return EarlyListener(socket=listener, problem="")
