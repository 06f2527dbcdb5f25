"""HTTP client for the platform: refused connections and missing answers."""

from __future__ import annotations

import socket
import unittest

from toucandoor.platform.http import CallNotSentError, CallUnansweredError, PlatformHttp


class UnresponsiveServerTest(unittest.TestCase):
    """A server that accepts connections and never answers."""

    def setUp(self) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(5)
        self.addCleanup(self.server.close)
        host, port = self.server.getsockname()
        self.address = f"{host}:{port}"

    def test_a_timed_out_call_resets_the_connection(self) -> None:
        """Otherwise unsent data of an order could be delivered later, after a network partition."""
        with self.assertRaises(CallUnansweredError):
            PlatformHttp().call("POST", self.address, "/", step="t", timeout_s=0.2, body={})
        peer, _ = self.server.accept()
        self.addCleanup(peer.close)
        peer.settimeout(5)
        with self.assertRaises(ConnectionResetError):
            while peer.recv(4096):
                pass

    def test_refused_connection_was_not_sent(self) -> None:
        self.server.close()
        with self.assertRaises(CallNotSentError):
            PlatformHttp().call("GET", self.address, "/", step="t", timeout_s=0.2)


if __name__ == "__main__":
    unittest.main()
