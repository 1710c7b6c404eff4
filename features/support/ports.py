"""Ports for processes that tests start."""

from tornado.testing import bind_unused_port


def free_port():
    """Return a port of loopback that is free now."""
    sock, port = bind_unused_port()
    sock.close()
    return port
