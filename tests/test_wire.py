"""The transport between edges and cores, and its message codec.

Malformed or oversized frames, unknown versions and failing handlers are counted and close only
their own connection.
"""

from __future__ import annotations

import asyncio
import random
import struct
import unittest
from collections import Counter
from functools import partial
from typing import Any

import betterproto as bp

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import (
    ConnectError,
    ConnectionLostError,
    InvalidFrameError,
    ReplyTimeoutError,
)
from kelpstage.common.transport import frames
from kelpstage.common.transport.codec import Message, field_table
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import (
    TYPES,
    Done,
    FetchState,
    GossipMsg,
    RegisterEdge,
    RegisterEdgeReply,
)
from kelpstage.common.transport.server import IN_FLIGHT_LIMIT, TransportServer
from kelpstage.testbed.simulation.loop import VirtualLoop
from kelpstage.testbed.simulation.world import SimProcess, World

ADDRESS = "10.0.0.1:7000"


class TransportTest(unittest.TestCase):
    def run_scenario(self, scenario) -> None:
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(self._run_in_world(loop, scenario))
        finally:
            asyncio.set_event_loop(None)
            loop.close()

    async def _run_in_world(self, loop, scenario) -> None:
        world = World(seed=1, loop=loop)
        here = world.add_machine(name="here", zone="d")
        there = world.add_machine(name="there", zone="d")
        world.machine_by_address[ADDRESS] = there
        self.world = world
        self.server_process = SimProcess(world=world, name="server", machine=there, instance=1)
        self.client = SimProcess(world=world, name="client", machine=here, instance=1)
        self.counts: Counter = Counter()

        async def on_message(message, source):
            if isinstance(message, Done):
                raise ValueError("unexpected message")
            if isinstance(message, RegisterEdge):
                return RegisterEdgeReply(cluster=message.edge)
            await self.server_process.ports.clock.sleep(us=10_000_000)
            return Done(is_ok=True)

        server = TransportServer(
            ports=self.server_process.ports,
            address=ADDRESS,
            on_message=on_message,
            counts=self.counts,
        )
        self.assertIsNone(await server.open())
        self.transport = Transport(ports=self.client.ports, counts=Counter())
        await scenario()
        for process in (self.client, self.server_process):
            process.kill()
        await asyncio.sleep(0)

    async def call_server(self) -> object:
        return await self.transport.call(
            address=ADDRESS, message=RegisterEdge(edge="x"), wait_us=1_000_000
        )

    async def send_raw(self, data: bytes) -> object:
        stream = await self.client.ports.net.connect(address=ADDRESS, wait_us=1_000_000)
        stream.write(data=data)
        await asyncio.sleep(0.1)
        outcome = await self.client.ports.clock.within(
            stream.read(size=frames.PREFACE.size + 1), us=1_000_000
        )
        stream.close()
        return outcome

    def test_malformed_bytes_close_only_their_own_connection(self) -> None:
        rand = random.Random(7)
        bad = {
            "not the protocol": b"GET / HTTP/1.1\r\n\r\n",
            "oversized": frames.preface(channel=frames.CONTROL)
            + frames.HEADER.pack(frames.FRAME_LIMITS[frames.CONTROL] + 1, 30, 0, 1),
            "unknown type": frames.preface(channel=frames.CONTROL)
            + frames.HEADER.pack(0, 999, 0, 1),
            "unknown flag": frames.preface(channel=frames.CONTROL)
            + frames.HEADER.pack(0, 30, 9, 1),
            "malformed body": frames.preface(channel=frames.CONTROL)
            + frames.HEADER.pack(8, 30, 0, 1)
            + b"\xff" * 8,
            "reply without a request": frames.preface(channel=frames.CONTROL)
            + frames.pack(message=Done(), flag=frames.REPLY, correlation_id=5),
            "unknown channel": struct.pack("!4sHH", b"KELP", frames.WIRE_VERSION, 77),
            "noise": rand.randbytes(400),
        }

        async def scenario() -> None:
            self.assertEqual("x", (await self.call_server()).cluster)
            for name, data in bad.items():
                with self.subTest(case=name):
                    before = self.counts["line_bad_frame"]
                    self.assertIsInstance(await self.send_raw(data), KelpstageError)
                    self.assertEqual(before + 1, self.counts["line_bad_frame"])
                    self.assertEqual("x", (await self.call_server()).cluster)

        self.run_scenario(scenario)

    def test_another_wire_version_is_a_typed_error(self) -> None:
        async def scenario() -> None:
            await self.send_raw(struct.pack("!4sHH", b"KELP", frames.WIRE_VERSION + 1, 0))
            self.assertEqual(1, self.counts["line_wire_mismatch"])
            self.assertEqual("x", (await self.call_server()).cluster)

        self.run_scenario(scenario)

    def test_a_slow_call_times_out_without_delaying_others(self) -> None:
        async def scenario() -> None:
            slow = asyncio.ensure_future(
                self.transport.call(address=ADDRESS, message=FetchState(), wait_us=300_000)
            )
            await asyncio.sleep(0)
            self.assertEqual("x", (await self.call_server()).cluster)
            self.assertIsInstance(await slow, ReplyTimeoutError)

        self.run_scenario(scenario)

    def test_a_timeout_does_not_fail_other_calls_on_a_silent_connection(self) -> None:
        async def scenario() -> None:
            long_call = asyncio.ensure_future(
                self.transport.call(address=ADDRESS, message=FetchState(), wait_us=15_000_000)
            )
            short_call = await self.transport.call(
                address=ADDRESS, message=FetchState(), wait_us=4_000_000
            )
            self.assertIsInstance(short_call, ReplyTimeoutError)
            self.assertEqual("x", (await self.call_server()).cluster)
            self.assertIsInstance(await long_call, Done)

        self.run_scenario(scenario)

    def test_a_late_reply_on_an_old_connection_does_not_complete_a_new_call(self) -> None:
        """Correlation ids start from one on each connection. A late reply arrives on the connection
        of its request, where the call has timed out, and not on the new connection, where
        another call has the same id."""

        async def scenario() -> None:
            streams: list = []

            async def serve(stream: Any, source: str) -> None:
                streams.append(stream)
                await stream.read(size=frames.PREFACE.size)
                stream.write(data=frames.preface(channel=frames.CONTROL))
                await self.sleep_for_a_minute()

            address = "10.0.0.1:7001"
            self.world.machine_by_address[address] = self.world.machines["there"]
            await self.server_process.ports.net.listen(address=address, on_stream=serve)
            timed_out = await self.transport.call(
                address=address, message=RegisterEdge(edge="a"), wait_us=4_000_000
            )
            self.assertIsInstance(timed_out, ReplyTimeoutError)
            self.assertTrue(timed_out.was_sent)
            second = asyncio.ensure_future(
                self.transport.call(
                    address=address, message=RegisterEdge(edge="b"), wait_us=2_000_000
                )
            )
            await asyncio.sleep(0.2)
            first, other = streams
            answer = frames.pack(
                message=RegisterEdgeReply(cluster="a"), flag=frames.REPLY, correlation_id=1
            )
            first.write(data=answer)
            await asyncio.sleep(0.2)
            self.assertFalse(second.done())
            other.write(
                data=frames.pack(
                    message=RegisterEdgeReply(cluster="b"), flag=frames.REPLY, correlation_id=1
                )
            )
            self.assertEqual("b", (await second).cluster)

        self.run_scenario(scenario)

    async def sleep_for_a_minute(self) -> None:
        await self.server_process.ports.clock.sleep(us=60_000_000)

    def test_a_message_that_is_not_a_reply_closes_the_connection(self) -> None:
        async def scenario() -> None:
            for flag in (frames.REQUEST, frames.ONEWAY):
                with self.subTest(flag=flag):
                    address = f"10.0.0.1:71{flag}"
                    self.world.machine_by_address[address] = self.world.machines["there"]
                    serve = partial(self.serve_without_reply, flag=flag)
                    await self.server_process.ports.net.listen(address=address, on_stream=serve)
                    got = await self.transport.call(
                        address=address, message=RegisterEdge(edge="a"), wait_us=4_000_000
                    )
                    self.assertIsInstance(got, InvalidFrameError)

        self.run_scenario(scenario)

    async def serve_without_reply(self, stream: Any, source: str, *, flag: int) -> None:
        """Serve a connection by sending a message that is not a reply, with a call's id."""
        await stream.read(size=frames.PREFACE.size + frames.HEADER.size)
        message = frames.pack(message=RegisterEdgeReply(cluster="z"), flag=flag, correlation_id=1)
        stream.write(data=frames.preface(channel=frames.CONTROL) + message)
        await self.sleep_for_a_minute()

    def test_a_connection_without_a_preface_is_closed(self) -> None:
        async def scenario() -> None:
            stream = await self.client.ports.net.connect(address=ADDRESS, wait_us=1_000_000)
            stream.write(data=b"KE")
            self.assertIsInstance(await stream.read(size=1), KelpstageError)
            self.assertEqual(1, self.counts["line_wait_over"])
            self.assertEqual("x", (await self.call_server()).cluster)

        self.run_scenario(scenario)

    def test_an_exception_in_a_handler_closes_only_its_connection(self) -> None:
        async def scenario() -> None:
            started = self.world.now_us()
            failed = await self.transport.call(address=ADDRESS, message=Done(), wait_us=9_000_000)
            self.assertIsInstance(failed, ConnectionLostError)
            self.assertLess(self.world.now_us() - started, 100_000)
            self.assertEqual(1, self.counts["line_handler_broken"])
            self.assertEqual("x", (await self.call_server()).cluster)

        self.run_scenario(scenario)

    def test_calls_above_the_in_flight_limit_all_get_replies(self) -> None:
        async def scenario() -> None:
            calls = [
                self.transport.call(address=ADDRESS, message=FetchState(), wait_us=60_000_000)
                for _ in range(IN_FLIGHT_LIMIT * 2 + 5)
            ]
            got = await asyncio.gather(*calls)
            self.assertEqual({Done}, {type(one) for one in got})

        self.run_scenario(scenario)

    def test_a_message_on_a_connection_that_never_opened_was_not_sent(self) -> None:
        async def scenario() -> None:
            self.world.blocked_paths |= {("here", "there"), ("there", "here")}
            for wait_us in (300_000, 3_000_000):  # below and above the connect timeout
                got = await self.transport.call(
                    address=ADDRESS, message=RegisterEdge(edge="x"), wait_us=wait_us
                )
                self.assertEqual((ReplyTimeoutError, False), (type(got), got.was_sent))

        self.run_scenario(scenario)

    def test_a_call_to_a_dead_peer_fails_at_once(self) -> None:
        async def scenario() -> None:
            self.assertEqual("x", (await self.call_server()).cluster)
            self.server_process.kill()
            await asyncio.sleep(0.1)
            started = self.world.now_us()
            self.assertIsInstance(await self.call_server(), ConnectError)
            self.assertLess(self.world.now_us() - started, 100_000)

        self.run_scenario(scenario)


def random_message(*, kind: type, rand: random.Random, depth: int = 0) -> Message:
    """Return a message with some of its fields set; integers have all varint lengths."""
    values: dict[str, Any] = {}
    for field in field_table(message_class=kind).fields:
        if rand.random() < 0.3 or depth > 3:
            continue
        count = rand.randrange(4) if field.is_list else 1
        items: list[Any] = []
        for _ in range(count):
            if field.message is not None:
                one = random_message(kind=field.message, rand=rand, depth=depth + 1)
                if not field.is_list or bytes(one):
                    items.append(one)
            elif field.proto_type == bp.TYPE_STRING:
                items.append("é" * rand.randrange(field.is_list, 200))
            elif field.proto_type == bp.TYPE_BYTES:
                items.append(rand.randbytes(rand.randrange(field.is_list, 300)))
            elif field.proto_type == bp.TYPE_BOOL:
                items.append(rand.random() < 0.5)
            else:
                items.append(rand.getrandbits(rand.choice((1, 7, 8, 14, 32, 64))))
        values[field.name] = items if field.is_list else items[0]
    return kind(**values)


class CodecTest(unittest.TestCase):
    """Encoding and decoding are identical to betterproto's own.

    Empty list items are tested separately: betterproto omits them, which shifts the items after
    them; the codec keeps them.
    """

    def test_encoding_is_identical_to_betterproto(self) -> None:
        rand = random.Random(4)
        for kind in [*TYPES.values(), GossipMsg]:
            for _ in range(25):
                with self.subTest(kind=kind.__name__):
                    message = random_message(kind=kind, rand=rand)
                    data = bytes(message)
                    self.assertEqual(bp.Message.__bytes__(message), data)
                    self.assertEqual(message, kind().parse(data))
                    self.assertEqual(message, bp.Message.parse(kind(), data))

    def test_empty_list_items_are_kept(self) -> None:
        for kind in [*TYPES.values(), GossipMsg]:
            for field in field_table(message_class=kind).fields:
                if not field.is_list:
                    continue
                empty = (
                    field.message()
                    if field.message
                    else ""
                    if (field.proto_type == bp.TYPE_STRING)
                    else b""
                    if field.proto_type == bp.TYPE_BYTES
                    else 0
                )
                with self.subTest(kind=kind.__name__, field=field.name):
                    message = kind(**{field.name: [empty, empty]})
                    data = bytes(message)
                    self.assertEqual(2, len(getattr(kind().parse(data), field.name)))
                    self.assertEqual(2, len(getattr(bp.Message.parse(kind(), data), field.name)))

    def test_corrupt_bytes_raise_an_error_or_decode_to_another_message(self) -> None:
        rand = random.Random(5)
        rejected = 0
        for _ in range(400):
            data = bytearray(bytes(random_message(kind=GossipMsg, rand=rand)) + b"\x0a\x7f")
            data[rand.randrange(len(data))] ^= 1 << rand.randrange(8)
            try:
                GossipMsg().parse(bytes(data[: rand.randrange(1, len(data) + 1)]))
            except (ValueError, IndexError):
                rejected += 1
        self.assertGreater(rejected, 200)
