"""Addresses of servers in the platform's records."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Final

PORT_MAX: Final = 65535


def parse_address(address: str) -> tuple[str, int]:
    """Split an address ``IP:port`` into its parts; the platform has no name lookups.

    Raises:
        ValueError: It is not an IPv4 address with a port.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError("has no port")
    IPv4Address(host)
    if not (port.isascii() and port.isdigit()) or not 1 <= int(port) <= PORT_MAX:
        raise ValueError(f"{port[:20]!r} is not a port")
    return host, int(port)
