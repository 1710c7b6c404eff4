"""Non-blocking writer of log lines to a file descriptor."""

import os
from collections import deque

__all__ = ["LogWriter"]

MAX_QUEUED_BYTES = 256 * 1024
"""Limit of the queue for a slow reader: about a minute of lines on an ordinary day."""


class LogWriter:
    """Sink for `configure_logging` that drops lines when the reader is too slow.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last report.  When the queue is empty again, a
        line with the name ``lines-dropped`` reports their number.
    """

    __slots__ = ("descriptor", "queue", "queued_bytes", "dropped")

    def __init__(self, *, descriptor: int):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.dropped = 0

    def __call__(self, message: str) -> None:
        """Queue a line, or drop it if the queue is full, and flush the queue."""
        data = message.encode()
        if self.queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.dropped += 1
        else:
            self._append(data)
        self.flush()

    def flush(self) -> None:
        """Write as much of the queue as possible without blocking."""
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
            # The reader is gone, so the error cannot be reported: discard the line.
            return len(data)
