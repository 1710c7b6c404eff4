"""State of the process for the operators' HTTP handlers."""

import dataclasses
from dataclasses import dataclass
from typing import Any

from ..links import Identity
from ..settings import Settings
from .followers import Followers
from .shutdown import Shutdown

__all__ = ["ProcessView"]


@dataclass(slots=True, kw_only=True)
class ProcessView:
    """Gives the operators' HTTP handlers the readiness and status of the process.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    process : EntryProcess or EndpointProcess
        The process that handles requests.
    identity : Identity
        Role, incarnation and revision of the process.
    followers : Followers
        Followers of the configuration and the host list.
    shutdown : Shutdown
        State of the shutdown.
    """

    settings: Settings
    process: Any
    identity: Identity
    followers: Followers
    shutdown: Shutdown

    def is_ready(self) -> bool:
        """Return whether the process accepts requests.

        It does not while it shuts down, or before the initial lookup of the newest
        revision has ended.
        """
        if self.shutdown.is_leaving() or not self.followers.is_initial_lookup_done:
            return False
        return self.process.is_ready()

    def status(self) -> dict[str, Any]:
        """Return the status and the identity of the process, to be written as JSON."""
        status = getattr(self.process, "status", None)
        return {
            **(dataclasses.asdict(status()) if status is not None else {}),
            "name": self.settings.process.name,
            "role": self.identity.role,
            "data_centre": self.settings.process.data_centre,
            "incarnation": self.identity.incarnation,
            "revision": dataclasses.asdict(self.identity.revision()),
            "ready": self.is_ready(),
            "leaving": self.shutdown.is_leaving(),
        }
