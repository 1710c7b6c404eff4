"""Writing log lines to a descriptor without ever waiting for its reader."""

import os
from collections import deque

__all__ = ["LogWriter"]

MAX_QUEUED_BYTES = 256 * 1024
"""Bytes that wait for a slow reader: a minute of an ordinary day's lines."""


class LogWriter:
    """Sink for `configure_logging` that drops lines rather than block.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is made non-blocking.

    Attributes
    ----------
    dropped : int
        Lines that were left out since the last one that was written; a line says
        how many once there is room again.
    """

    __slots__ = ("descriptor", "queue", "queued_bytes", "dropped")

    def __init__(self, *, descriptor: int):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.dropped = 0

    def __call__(self, message: str) -> None:
        """Write a line, now or when there is room."""
        data = message.encode()
        if self.queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.dropped += 1
        else:
            self._append(data)
        self.flush()

    def flush(self) -> None:
        """Write what can be written without waiting."""
        while self.queue:
            data = self.queue.popleft()
            self.queued_bytes -= len(data)
            written = self._write(data)
            if written < len(data):
                self.queue.appendleft(data[written:])
                self.queued_bytes += len(data) - written
                return
            if self.dropped and not self.queue:
                dropped, self.dropped = self.dropped, 0
                self._append(b'{"name": "lines-dropped", "lines": %d}\n' % dropped)

    def _append(self, data: bytes) -> None:
        self.queue.append(data)
        self.queued_bytes += len(data)

    def _write(self, data: bytes) -> int:
        try:
            return os.write(self.descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # Nobody reads any more, and there is nowhere left to say so.
            return len(data)
