"""A peer that sends arbitrary bytes over a stream; for tests only."""

import socket

from zinniaramp.contracts import Challenge, Hello, RevisionId
from zinniaramp.contracts.codec import Decoder, encode
from zinniaramp.links.handshake import compute_proof
from zinniaramp.standins.daemons import FLEET_KEY

TIMEOUT_SECONDS = 10
READ_BYTES = 64 * 1024
INCARNATION = "entry-9/start"
REVISION = RevisionId(index=0, digest="")


class RawPeer:
    """One TCP connection to an address, with the messages that it receives.

    Attributes
    ----------
    name : str
        Local address of the connection, which the logs of the other end contain.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), TIMEOUT_SECONDS)
        self.name = "{}:{}".format(*self.socket.getsockname())
        self.decoder = Decoder()

    def read_messages(self):
        """Return the next messages; an empty list at the end of the stream."""
        while True:
            try:
                data = self.socket.recv(READ_BYTES)
            except ConnectionError:
                return []
            if not data:
                return []
            if messages := self.decoder.feed(data).unwrap():
                return messages

    def make_hello(self, key=FLEET_KEY):
        """Return the encoded hello with a proof for the connection's challenge."""
        challenge = self.read_messages()[0]
        assert isinstance(challenge, Challenge)
        proof = compute_proof(key, challenge.nonce, INCARNATION)
        return encode(
            Hello(incarnation=INCARNATION, role="entry", revision=REVISION, proof=proof)
        )

    def open(self):
        """Complete the handshake and return this peer."""
        self.send(self.make_hello())
        assert self.read_messages()
        return self

    def send(self, data):
        """Send bytes; ignore that the connection is closed."""
        try:
            self.socket.sendall(data)
        except ConnectionError:
            return

    def finish(self):
        """Shut down the sending side of the connection."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def is_closed(self):
        """Return whether the other end closes the connection before a timeout."""
        try:
            while self.socket.recv(READ_BYTES):
                pass
        except ConnectionError:
            return True
        except TimeoutError:
            return False
        return True

    def close(self):
        """Close the connection."""
        self.socket.close()
