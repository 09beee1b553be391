"""The live ports: outcomes of refused, aborted, late and successful exchanges."""

from __future__ import annotations

import asyncio
import socket
import unittest
from typing import Any
from unittest import mock

from tornado import iostream, tcpclient

from kelpstage.common.errors.requests import UnknownResourceError
from kelpstage.common.errors.transport import (
    AddressInUseError,
    ConnectError,
    ConnectionLostError,
    ReplyTimeoutError,
)
from kelpstage.common.http.replies import error_reply
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.ports.live import live_ports


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class LiveHttp(unittest.TestCase):
    def test_outcomes_are_typed(self) -> None:
        async def scenario() -> None:
            ports = live_ports(data_folder=None)
            address = free_address()
            seen: list[HttpCall] = []
            never = asyncio.Event()

            async def answer(call: HttpCall) -> HttpReply | None:
                seen.append(call)
                if call.url == "/broken":
                    return None
                if call.url == "/late":
                    await never.wait()
                if call.url == "/missing":
                    return error_reply(error=UnknownResourceError(path="/missing"))
                return HttpReply(status=200, headers={"X-One": "1"}, body=call.body)

            async def fetch(path: str, method: str = "POST", wait_us: int = 5_000_000):
                return await ports.net.fetch(
                    call=HttpCall(
                        method=method,
                        url=f"http://{address}{path}",
                        body=b"\x00\xffbytes",
                        wait_us=wait_us,
                    )
                )

            self.assertIsInstance(await fetch("/x"), ConnectError)
            listener = await ports.net.serve_http(address=address, on_call=answer, body_limit=100)
            good = await fetch("/good")
            self.assertEqual(
                (200, b"\x00\xffbytes", "1"), (good.status, good.body, good.headers["x-one"])
            )
            self.assertEqual(404, (await fetch("/missing", "GET")).status)
            self.assertIsInstance(await fetch("/broken"), ConnectionLostError)
            self.assertEqual(1, sum(call.url == "/broken" for call in seen), "request was retried")
            self.assertIsInstance(await fetch("/late", wait_us=100_000), ReplyTimeoutError)
            big = await ports.net.fetch(
                call=HttpCall(method="PUT", url=f"http://{address}/b", body=b"x" * 101)
            )
            self.assertEqual(413, big.status)
            taken = await ports.net.serve_http(address=address, on_call=answer, body_limit=1)
            self.assertIsInstance(taken, AddressInUseError)
            listener.close()
            never.set()

        asyncio.run(scenario())


class LiveStreams(unittest.TestCase):
    def test_connection_closed_before_use_is_an_error(self) -> None:
        """Guards against an exception in the connecting task if the peer is killed after accept."""

        async def scenario() -> None:
            ports = live_ports(data_folder=None)
            ended = iostream.IOStream(socket.socket())
            ended.close()
            with mock.patch.object(
                tcpclient.TCPClient, "connect", mock.AsyncMock(return_value=ended)
            ):
                outcome = await ports.net.connect(
                    address="127.0.0.1:1", wait_us=1_000_000, lost_after_us=2_000_000
                )
            self.assertIsInstance(outcome, ConnectError)

        asyncio.run(scenario())

    def test_loss_timeout_is_set_on_both_ends(self) -> None:
        """Both ends set TCP_USER_TIMEOUT, which every supported system has."""
        option = socket.TCP_USER_TIMEOUT

        async def scenario() -> None:
            ports = live_ports(data_folder=None)
            address = free_address()
            accepted: asyncio.Future = asyncio.get_running_loop().create_future()

            async def on_stream(stream: Any, source: str) -> None:
                accepted.set_result(stream)

            listener = await ports.net.listen(
                address=address, on_stream=on_stream, lost_after_us=2_000_000
            )
            mine = await ports.net.connect(
                address=address, wait_us=1_000_000, lost_after_us=2_000_000
            )
            for stream in (mine, await accepted):
                sock = stream._stream.socket
                self.assertEqual(2_000, sock.getsockopt(socket.IPPROTO_TCP, option))
                self.assertEqual(1, sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
                stream.close()
            listener.close()

        asyncio.run(scenario())
