"""Opening of the callers' listener, without third-party libraries.

Third-party libraries take about 0.3 s to load on the platform's hosts.  Callers that
connect during this time wait in the listen backlog instead of being refused.
"""

import os
import socket
import tomllib
from pathlib import Path

from ..buffers import WAITING_BUFFER_BYTES, limit_receive_buffer

__all__ = ["EarlyListener", "open_listener", "settings_path"]

SETTINGS_VARIABLE = "ZINNIARAMP_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

DEFAULT_SETTINGS_PATH = "/etc/zinniaramp/node.toml"
"""Path of the settings file if the variable is not set."""

LISTEN_BACKLOG = 512
"""Maximum number of connections that wait to be accepted.

A host of today's deployments gets about 10 connections a second.
"""


class EarlyListener:
    """Result of opening the callers' listener before the libraries are loaded.

    Attributes
    ----------
    socket : socket.socket or None
        Listening socket; None if it could not be opened.
    problem : str
        Cause of the failure, for the log; empty on success.
    """

    __slots__ = ("socket", "problem")

    def __init__(self, *, socket: socket.socket | None, problem: str):
        self.socket = socket
        self.problem = problem


def settings_path() -> Path:
    """Return the path of the settings file, from the environment or the default."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH))


def open_listener(path: Path) -> EarlyListener:
    """Listen for callers at the address given by a settings file.

    Parameters
    ----------
    path : Path
        Settings file. Only the address is read here; `read_host_settings` checks the
        whole file later.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        document = tomllib.loads(path.read_text())
        ip, _, port = document["listen"]["frontend"].rpartition(":")
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        limit_receive_buffer(listener, WAITING_BUFFER_BYTES)
        listener.bind((ip, int(port)))
        listener.listen(LISTEN_BACKLOG)
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        listener.close()
        return EarlyListener(socket=None, problem=repr(error))
    return EarlyListener(socket=listener, problem="")
