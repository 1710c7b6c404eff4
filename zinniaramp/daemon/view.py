"""What operators see of the process."""

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
    """The parts of the daemon that the operators' handlers ask.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    process : EntryProcess or EndpointProcess
        The process.
    identity : Identity
        Its identity.
    followers : Followers
        Its followers.
    shutdown : Shutdown
        Whether it is to stop.
    """

    settings: Settings
    process: Any
    identity: Identity
    followers: Followers
    shutdown: Shutdown

    def is_ready(self) -> bool:
        """Tell whether the process can take requests."""
        if self.shutdown.is_leaving() or not self.followers.is_settled:
            return False
        return self.process.is_ready()

    def status(self) -> dict[str, Any]:
        """Return the process's status with its identity, for JSON."""
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
