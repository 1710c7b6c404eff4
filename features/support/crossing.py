"""A forwarder that doubles chunks and lets them cross; for tests only."""

from tornado.iostream import StreamClosedError

from zinniaramp.contracts import Chunk, Decoder, encode
from zinniaramp.standins.forwarder import READ_BYTES, Forwarder, ForwarderServer


class CrossingServer(ForwarderServer):
    """Passes on what the far side sends with its chunks doubled and crossed."""

    async def forward(self, connection, source, sink):
        """Pass bytes on; every second chunk goes after the next message."""
        if source is connection.client:
            await super().forward(connection, source, sink)
            return
        decoder, late, count = Decoder(), [], 0
        try:
            while True:
                data = await source.read_bytes(READ_BYTES, partial=True)
                frames = []
                for message in decoder.feed(data).unwrap():
                    count += isinstance(message, Chunk)
                    if isinstance(message, Chunk) and count % 2:
                        late += [message, message]
                        continue
                    frames += [message, *late]
                    late = []
                await sink.write(b"".join(map(encode, frames)))
        except StreamClosedError:
            sink.close()


class CrossingForwarder(Forwarder):
    """A forwarder whose far side's chunks come doubled and crossed."""

    server_class = CrossingServer
