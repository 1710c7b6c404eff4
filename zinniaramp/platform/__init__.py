"""The users' platform: its settings file, store, documents and headers.

Nothing here decides, and nothing outside knows a name of the platform.
"""

from .documents import decode_item
from .headers import make_wire
from .holdings import make_holdings_reader
from .settings import HostBounds, HostSettings, SettingsError, read_host_settings
from .store import make_direct_reader, make_store

__all__ = [
    "HostBounds",
    "HostSettings",
    "SettingsError",
    "decode_item",
    "make_direct_reader",
    "make_holdings_reader",
    "make_store",
    "make_wire",
    "read_host_settings",
]
