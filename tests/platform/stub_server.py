"""HTTP server for tests of the platform's clients; a function returns its answers."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import msgspec
from cheroot import wsgi

Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], Any, dict[str, str]], Answer]


class StubServer:
    """Serves ``handler(method, path, query, body, headers) -> (status, body)`` on loopback."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server = wsgi.Server(("127.0.0.1", 0), self._app, numthreads=4)
        self._server.prepare()
        host, port = self._server.bind_addr
        self.address = f"{host}:{port}"
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.shutdown_timeout = 0.1
        self._server.stop()

    def _app(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        raw = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        query = {key: values[0] for key, values in parse_qs(environ["QUERY_STRING"]).items()}
        headers = {key[5:]: value for key, value in environ.items() if key.startswith("HTTP_")}
        body = msgspec.json.decode(raw) if raw else None
        status, answer = self._handler(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], query, body, headers
        )
        data = answer if isinstance(answer, bytes) else msgspec.json.encode(answer)
        start_response(f"{status} X", [("Content-Length", str(len(data)))])
        return [data]
