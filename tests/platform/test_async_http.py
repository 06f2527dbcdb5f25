"""HTTP client on an event loop: lost, late, refused, withheld and malformed answers."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from toucandoor.platform.async_http import (
    ANSWER_BYTES_MAX,
    CALLS_PER_ADDRESS_MAX,
    AsyncPlatformHttp,
    CallWithheldError,
)
from toucandoor.platform.http import Answer, CallNotSentError, CallUnansweredError

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
TIMEOUT_S = 5.0
"""Longer than any answer takes, on a busy machine too."""


async def async_read_request(reader: asyncio.StreamReader) -> bytes:
    """Read one request and return its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    length = next(int(line.split(":")[1]) for line in lines if line.startswith("Content-Length"))
    return await reader.readexactly(length)


class AsyncHttpTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a server on loopback that answers as each test says."""

    async def asyncSetUp(self) -> None:
        self.http = AsyncPlatformHttp()
        self.connections = 0
        self.served: set[asyncio.Task[None]] = set()

    async def asyncTearDown(self) -> None:
        self.http.close()
        await asyncio.gather(*self.served)

    async def serve(self, serve: Serve) -> str:
        async def count(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections += 1
            task = asyncio.current_task()
            assert task is not None
            self.served.add(task)
            try:
                await serve(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(count, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve_answer(self, answer: bytes) -> str:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await async_read_request(reader)
                writer.write(answer)

        return await self.serve(serve)

    async def post(
        self,
        address: str,
        timeout_s: float = TIMEOUT_S,
        may_send: Callable[[], bool] | None = None,
    ) -> Answer:
        return await self.http.async_post(
            address,
            "/",
            step="t",
            timeout_s=timeout_s,
            body={"a": 1},
            headers={"X-A": "b"},
            may_send=may_send,
        )

    async def test_calls_in_turn_use_one_connection(self) -> None:
        address = await self.serve_answer(OK)
        for _ in range(3):
            answer = await self.post(address)
            self.assertEqual((answer.status, answer.body), (200, b"{}"))
        self.assertEqual(self.connections, 1)

    async def test_calls_at_once_share_a_bounded_number_of_connections(self) -> None:
        address = await self.serve_answer(OK)
        answers = await asyncio.gather(*(self.post(address) for _ in range(50)))
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertLessEqual(self.connections, CALLS_PER_ADDRESS_MAX)

    async def test_an_unanswered_call_resets_its_connection(self) -> None:
        """Otherwise unsent data of an order could be delivered later, after a network partition."""
        reset = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await async_read_request(reader)
            try:
                await reader.read()
            except ConnectionResetError:
                reset.set()

        address = await self.serve(serve)
        with self.assertRaises(CallUnansweredError):
            await self.post(address, timeout_s=0.2)
        async with asyncio.timeout(TIMEOUT_S):
            await reset.wait()

    async def test_the_answer_to_a_timed_out_call_goes_to_no_later_call(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            first = self.connections == 1
            await async_read_request(reader)
            if first:
                await asyncio.sleep(0.3)
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % (500 if first else 200))
            await reader.read()

        address = await self.serve(serve)
        with self.assertRaises(CallUnansweredError):
            await self.post(address, timeout_s=0.1)
        await asyncio.sleep(0.4)
        self.assertEqual((await self.post(address)).status, 200)

    async def test_a_connection_that_closes_before_the_answer(self) -> None:
        async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            await async_read_request(reader)

        with self.assertRaises(CallUnansweredError):
            await self.post(await self.serve(serve))

    async def test_a_body_that_ends_early_is_no_answer(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await async_read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}")

        with self.assertRaises(CallUnansweredError):
            await self.post(await self.serve(serve))

    async def test_a_body_without_a_length_ends_with_the_connection(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await async_read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}")

        answer = await self.post(await self.serve(serve))
        self.assertEqual((answer.status, answer.body), (200, b"{}"))

    async def test_a_connection_that_closed_while_idle_is_replaced(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await async_read_request(reader)
            writer.write(OK)

        address = await self.serve(serve)
        for _ in range(3):
            self.assertEqual((await self.post(address)).status, 200)
            await asyncio.sleep(0.05)
        self.assertEqual(self.connections, 3)

    async def test_malformed_and_endless_answers_are_no_answers(self) -> None:
        endless = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"100000\r\n"
        endless += b"x" * 0x100000 + b"\r\n"
        endless += (b"100000\r\n" + b"x" * 0x100000 + b"\r\n") * (ANSWER_BYTES_MAX // 0x100000)
        for answer in (b"not HTTP\r\n\r\n", endless):
            with self.subTest(start=answer[:16]), self.assertRaises(CallUnansweredError):
                await self.post(await self.serve_answer(answer))

    async def test_a_refused_connection_was_not_sent(self) -> None:
        server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        with self.assertRaises(CallNotSentError):
            await self.post(f"{host}:{port}")

    async def test_addresses_that_are_no_longer_used_are_forgotten(self) -> None:
        """Each move of a VM brings a new address; a process runs for months."""
        with mock.patch("toucandoor.platform.async_http.HOSTS_MAX_MIN", 4):
            http = AsyncPlatformHttp()
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            for number in range(1, 40):
                address = f"127.0.1.{number}:{port}"
                with self.assertRaises(CallNotSentError):
                    await http.async_post(
                        address, "/", step="t", timeout_s=TIMEOUT_S, body={}, headers={}
                    )
        self.assertLess(len(http._hosts), 39)
        address = await self.serve_answer(OK)
        await self.post(address)
        self.assertEqual((await self.post(address)).status, 200)
        self.assertEqual(self.connections, 1)

    async def test_a_call_that_waits_for_a_connection_in_vain_was_not_sent(self) -> None:
        received = 0

        async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            nonlocal received
            await async_read_request(reader)
            received += 1
            await reader.read()

        address = await self.serve(serve)
        long = [
            asyncio.create_task(self.post(address, timeout_s=1.0))
            for _ in range(CALLS_PER_ADDRESS_MAX)
        ]
        await asyncio.sleep(0.1)
        with self.assertRaises(CallNotSentError):
            await self.post(address, timeout_s=0.2)
        results = await asyncio.gather(*long, return_exceptions=True)
        self.assertEqual({type(result) for result in results}, {CallUnansweredError})
        self.assertEqual(received, CALLS_PER_ADDRESS_MAX)

    async def test_permission_is_asked_after_the_wait_for_a_connection(self) -> None:
        """A process that was paused meanwhile may have lost the permission."""
        received: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                received.append(await async_read_request(reader))
                await asyncio.sleep(0.2)
                writer.write(OK)

        address = await self.serve(serve)
        permitted = True
        first = [asyncio.create_task(self.post(address)) for _ in range(CALLS_PER_ADDRESS_MAX)]
        await asyncio.sleep(0.05)
        waiting = asyncio.create_task(self.post(address, may_send=lambda: permitted))
        await asyncio.sleep(0.05)
        permitted = False
        with self.assertRaises(CallWithheldError):
            await waiting
        await asyncio.gather(*first)
        self.assertEqual(len(received), CALLS_PER_ADDRESS_MAX)


if __name__ == "__main__":
    unittest.main()
