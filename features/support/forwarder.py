"""The forwarder of the stand-ins, under the name by which features import it."""

from zinniaramp.standins.forwarder import Forwarder, ForwarderServer

__all__ = ["Forwarder", "ForwarderServer"]
