"""Tests of the loopback addresses that local deployments use."""

from __future__ import annotations

import socket
import unittest

from toucandoor.measures._deployment import free_address

_ADDRESSES = 3000


class FreeAddressTest(unittest.TestCase):
    def test_no_address_is_given_twice(self) -> None:
        given = [free_address() for _ in range(_ADDRESSES)]
        self.assertEqual(len(set(given)), _ADDRESSES)

    def test_no_outgoing_connection_can_take_a_given_address(self) -> None:
        host, _, port = free_address().partition(":")
        with socket.socket() as outgoing, socket.socket() as listener:
            # As the system does when it picks this port for an outgoing loopback connection.
            outgoing.bind(("127.0.0.1", int(port)))
            listener.bind((host, int(port)))
            self.assertNotEqual(outgoing.getsockname(), listener.getsockname())
