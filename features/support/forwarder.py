"""The forwarder of the stand-ins, under the name by which features import it."""

from zinniaramp.standins.forwarder import READ_BYTES, Forwarder, ForwarderServer

__all__ = ["READ_BYTES", "Forwarder", "ForwarderServer"]
