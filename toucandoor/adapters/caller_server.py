"""HTTP server that callers connect to: cheroot with limits on request size and send time."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

from cheroot import wsgi
from cheroot.server import HTTPConnection, HTTPRequest

from toucandoor.adapters.slow_senders import SenderWatch
from toucandoor.adapters.wsgi import make_server
from toucandoor.core.requests.models import ExecutionStatus

if TYPE_CHECKING:
    from toucandoor.adapters.settings import EntrySettings
    from toucandoor.adapters.wsgi import WsgiApp
    from toucandoor.clock import Clock

ATTR_SOCKET: Final = "toucandoor.socket"
ATTR_SENDER_WATCH: Final = "toucandoor.sender"


class _CallerGateway(wsgi.Gateway_10):
    """Passes the connection's socket and the watch over slow senders to the application."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        environ[ATTR_SOCKET] = self.req.conn.socket
        environ[ATTR_SENDER_WATCH] = self.req.server.sender_watch
        return environ


class _CallerRequest(HTTPRequest):
    """Limits the time to send a request, and refuses malformed ones with problem details."""

    def parse_request(self) -> None:
        watch: SenderWatch = self.server.sender_watch
        watch.start_timer(self.conn.socket)
        try:
            super().parse_request()
        finally:
            if not self.ready:
                watch.stop_timer(self.conn.socket)

    def respond(self) -> None:
        length = self.inheaders.get(b"Content-Length", b"0")
        if not length.isdigit():
            self.simple_response("400 Bad Request", "Content-Length is not a number")
            self.close_connection = True
            return
        try:
            super().respond()
        finally:
            self.server.sender_watch.stop_timer(self.conn.socket)

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse a request that is malformed or timed out, and close its connection."""
        self.close_connection = True
        code = int(str(status)[:3])
        if self.server.sender_watch.stop_timer(self.conn.socket):
            code, status, msg = 408, "408 Request Timeout", "the request did not come in time"
        body = json.dumps(
            {
                "type": "about:blank",
                "title": msg or str(status)[4:],
                "status": code,
                "fate": ExecutionStatus.NOT_RUN.value,
                "step": "http.read",
                "peer": "",
            }
        ).encode()
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/problem+json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
        except OSError:
            return  # the caller has disconnected


class _CallerConnection(HTTPConnection):
    RequestHandlerClass = _CallerRequest


def make_caller_server(settings: EntrySettings, app: WsgiApp, clock: Clock) -> wsgi.Server:
    """Return the server for callers, not yet started."""
    server = make_server(settings.caller_address, app, settings.threads, settings.body_timeout_s)
    server.max_request_body_size = settings.body_bytes_max
    server.ConnectionClass = _CallerConnection
    server.gateway = _CallerGateway
    watch = SenderWatch(settings.body_timeout_s, clock)
    watch.start()
    server.sender_watch = watch  # type: ignore[attr-defined]
    return server
