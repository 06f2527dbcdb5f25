"""HTTP servers that stop while callers keep using open connections."""

from __future__ import annotations

import http.client
import threading
import unittest
from typing import TYPE_CHECKING

from toucandoor.adapters.wsgi import close_after_answers, make_server, respond

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.adapters.wsgi import Environ, StartResponse


def answer(_environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    return respond(start_response, 200, b"{}", "application/json")


class StoppingServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.server = make_server("127.0.0.1:0", answer, threads=2)
        self.server.prepare()
        thread = threading.Thread(target=self.server.serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.stop)
        self.caller = http.client.HTTPConnection(*self.server.bind_addr[:2], timeout=5.0)
        self.addCleanup(self.caller.close)

    def call(self) -> http.client.HTTPResponse:
        self.caller.request("GET", "/")
        got = self.caller.getresponse()
        self.assertEqual(got.read(), b"{}")
        return got

    # Guards against callers that still use an open connection when the server stops: a call that
    # comes while it closes its connections gets no answer.
    def test_no_connection_stays_open_once_the_server_is_about_to_stop(self) -> None:
        self.assertIsNone(self.call().getheader("Connection"))
        sock = self.caller.sock
        close_after_answers(self.server)
        self.assertEqual(self.call().getheader("Connection"), "close")
        self.assertIsNot(self.caller.sock, sock)
        self.assertEqual(self.call().getheader("Connection"), "close")


if __name__ == "__main__":
    unittest.main()
