"""Helpers for the WSGI applications served by cheroot."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi

from toucandoor.adapters.settings import split_address

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def status_line(status: int) -> str:
    """Return the code and phrase of a status line."""
    return f"{status} {_PHRASES.get(status, 'Status')}"


def respond(
    start_response: StartResponse,
    status: int,
    body: bytes,
    content_type: str,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a response with its length, and return its body."""
    fixed = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(status_line(status), fixed + list(headers))
    return [body]


def respond_json(
    start_response: StartResponse,
    status: int,
    body: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a JSON response, and return its body."""
    return respond(start_response, status, json.dumps(body).encode(), "application/json", headers)


def read_json(environ: Environ) -> dict[str, Any]:
    """Return the request's JSON object; empty if the request has no body.

    Raises:
        ValueError: The body is not a JSON object.
    """
    raw = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
    body = json.loads(raw) if raw else {}
    if not isinstance(body, dict):
        raise ValueError("the body is not a JSON object")
    return body


def make_server(address: str, app: WsgiApp, threads: int, timeout_s: int = 10) -> wsgi.Server:
    """Return a cheroot server for an application, not yet started.

    Args:
        address: ``IP:port`` to listen on.
        threads: Requests served at once.
        timeout_s: Time for which a connection may be idle.
    """
    server = wsgi.Server(
        split_address(address),
        app,
        numthreads=threads,
        max=threads,
        request_queue_size=256,
        timeout=timeout_s,
        shutdown_timeout=1,
    )
    server.max_request_header_size = 16 * 1024
    return server


def close_after_answers(server: wsgi.Server) -> None:
    """Close each connection after its next answer, which tells the caller so.

    A server that stops cuts the connections that are still open, also one on which a call has just
    come.
    """
    server.keep_alive_conn_limit = 0
