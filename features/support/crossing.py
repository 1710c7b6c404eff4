"""A forwarder that duplicates and reorders chunks; for tests only."""

from tornado.iostream import StreamClosedError

from zinniaramp.contracts import Chunk, Decoder, encode
from zinniaramp.standins.forwarder import READ_BYTES, Forwarder, ForwarderServer


class ReorderingServer(ForwarderServer):
    """Forwards the far side's messages, with some chunks duplicated and delayed."""

    async def forward(self, connection, source, sink):
        """Forward messages; send every second chunk twice and one message later."""
        if source is connection.client:
            await super().forward(connection, source, sink)
            return
        decoder, delayed, count = Decoder(), [], 0
        try:
            while True:
                data = await source.read_bytes(READ_BYTES, partial=True)
                frames = []
                for message in decoder.feed(data).unwrap():
                    count += isinstance(message, Chunk)
                    if isinstance(message, Chunk) and count % 2:
                        delayed += [message, message]
                        continue
                    frames += [message, *delayed]
                    delayed = []
                await sink.write(b"".join(map(encode, frames)))
        except StreamClosedError:
            sink.close()


class ReorderingForwarder(Forwarder):
    """A forwarder that duplicates and reorders the chunks of its far side."""

    server_class = ReorderingServer
