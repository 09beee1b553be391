"""Own lines: malformed and oversized frames, wrong versions, foreign datagrams
close or count, and harm nothing else."""

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
from kelpstage.common.transport.codec import Message, table_of
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import (
    TYPES,
    Done,
    FetchState,
    GossipMsg,
    RegisterEdge,
    RegisterEdgeReply,
)
from kelpstage.common.transport.server import IN_WORK_LIMIT, TransportServer
from kelpstage.testbed.simulation.loop import VirtualLoop
from kelpstage.testbed.simulation.world import SimProcess, World

ADDRESS = "10.0.0.1:7000"


class LinesTest(unittest.TestCase):
    def run_story(self, scenario) -> None:
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(self._with_world(loop, scenario))
        finally:
            asyncio.set_event_loop(None)
            loop.close()

    async def _with_world(self, loop, scenario) -> None:
        world = World(seed=1, loop=loop)
        here = world.add_machine(name="here", zone="d")
        there = world.add_machine(name="there", zone="d")
        world.homes[ADDRESS] = there
        self.world = world
        self.server_process = SimProcess(world=world, name="server", machine=there, instance=1)
        self.client = SimProcess(world=world, name="client", machine=here, instance=1)
        self.counts: Counter = Counter()

        async def on_message(message, source):
            if isinstance(message, Done):
                raise ValueError("a message that was not thought of")
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

    async def ask(self) -> object:
        return await self.transport.call(
            address=ADDRESS, message=RegisterEdge(edge="x"), wait_us=1_000_000
        )

    async def raw(self, data: bytes) -> object:
        stream = await self.client.ports.net.connect(address=ADDRESS, wait_us=1_000_000)
        stream.write(data=data)
        await asyncio.sleep(0.1)
        outcome = await self.client.ports.clock.within(
            stream.read(size=frames.PREFACE.size + 1), us=1_000_000
        )
        stream.close()
        return outcome

    def test_bad_bytes_close_their_line_only(self) -> None:
        rand = random.Random(7)
        bad = {
            "not a line": b"GET / HTTP/1.1\r\n\r\n",
            "oversized": frames.preface(channel=frames.CONTROL)
            + frames.HEAD.pack(frames.FRAME_LIMITS[frames.CONTROL] + 1, 30, 0, 1),
            "unknown type": frames.preface(channel=frames.CONTROL) + frames.HEAD.pack(0, 999, 0, 1),
            "unknown flag": frames.preface(channel=frames.CONTROL) + frames.HEAD.pack(0, 30, 9, 1),
            "garbage body": frames.preface(channel=frames.CONTROL)
            + frames.HEAD.pack(8, 30, 0, 1)
            + b"\xff" * 8,
            "unasked reply": frames.preface(channel=frames.CONTROL)
            + frames.pack(message=Done(), flag=frames.REPLY, correlation_id=5),
            "unknown lane": struct.pack("!4sHH", b"KELP", frames.WIRE_VERSION, 77),
            "noise": rand.randbytes(400),
        }

        async def scenario() -> None:
            self.assertEqual("x", (await self.ask()).cluster)
            for name, data in bad.items():
                with self.subTest(case=name):
                    before = self.counts["line_bad_frame"]
                    self.assertIsInstance(await self.raw(data), KelpstageError)
                    self.assertEqual(before + 1, self.counts["line_bad_frame"])
                    self.assertEqual("x", (await self.ask()).cluster)

        self.run_story(scenario)

    def test_other_wire_version_is_a_typed_error(self) -> None:
        async def scenario() -> None:
            await self.raw(struct.pack("!4sHH", b"KELP", frames.WIRE_VERSION + 1, 0))
            self.assertEqual(1, self.counts["line_wire_mismatch"])
            self.assertEqual("x", (await self.ask()).cluster)

        self.run_story(scenario)

    def test_slow_answer_is_over_in_time_and_others_go_on(self) -> None:
        async def scenario() -> None:
            slow = asyncio.ensure_future(
                self.transport.call(address=ADDRESS, message=FetchState(), wait_us=300_000)
            )
            await asyncio.sleep(0)
            self.assertEqual("x", (await self.ask()).cluster)
            self.assertIsInstance(await slow, ReplyTimeoutError)

        self.run_story(scenario)

    def test_a_quiet_line_does_not_fail_calls_that_have_time_left(self) -> None:
        async def scenario() -> None:
            patient = asyncio.ensure_future(
                self.transport.call(address=ADDRESS, message=FetchState(), wait_us=15_000_000)
            )
            hasty = await self.transport.call(
                address=ADDRESS, message=FetchState(), wait_us=4_000_000
            )
            self.assertIsInstance(hasty, ReplyTimeoutError)
            self.assertEqual("x", (await self.ask()).cluster)
            self.assertIsInstance(await patient, Done)

        self.run_story(scenario)

    def test_an_answer_to_an_earlier_connections_call_settles_no_other(self) -> None:
        """Each connection counts its calls from one; a late answer under the same number
        comes by the connection that it was asked on, and there nobody waits any more."""

        async def scenario() -> None:
            held: list = []

            async def serve(stream: Any, source: str) -> None:
                held.append(stream)
                await stream.read(size=frames.PREFACE.size)
                stream.write(data=frames.preface(channel=frames.CONTROL))
                await self.world_sleep()

            address = "10.0.0.1:7001"
            self.world.homes[address] = self.world.machines["there"]
            await self.server_process.ports.net.listen(address=address, on_stream=serve)
            late = await self.transport.call(
                address=address, message=RegisterEdge(edge="a"), wait_us=4_000_000
            )
            self.assertIsInstance(late, ReplyTimeoutError)
            self.assertTrue(late.was_sent)
            second = asyncio.ensure_future(
                self.transport.call(
                    address=address, message=RegisterEdge(edge="b"), wait_us=2_000_000
                )
            )
            await asyncio.sleep(0.2)
            first, other = held
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

        self.run_story(scenario)

    async def world_sleep(self) -> None:
        await self.server_process.ports.clock.sleep(us=60_000_000)

    def test_what_is_no_answer_ends_the_connection_and_settles_nobody(self) -> None:
        async def scenario() -> None:
            for flag in (frames.ASK, frames.ONEWAY):
                with self.subTest(flag=flag):
                    address = f"10.0.0.1:71{flag}"
                    self.world.homes[address] = self.world.machines["there"]
                    serve = partial(self.speak_up, flag=flag)
                    await self.server_process.ports.net.listen(address=address, on_stream=serve)
                    got = await self.transport.call(
                        address=address, message=RegisterEdge(edge="a"), wait_us=4_000_000
                    )
                    self.assertIsInstance(got, InvalidFrameError)

        self.run_story(scenario)

    async def speak_up(self, stream: Any, source: str, *, flag: int) -> None:
        """A server that sends a message of its own under the number of a call."""
        await stream.read(size=frames.PREFACE.size + frames.HEAD.size)
        message = frames.pack(message=RegisterEdgeReply(cluster="z"), flag=flag, correlation_id=1)
        stream.write(data=frames.preface(channel=frames.CONTROL) + message)
        await self.world_sleep()

    def test_one_that_never_says_what_it_is_is_closed(self) -> None:
        async def scenario() -> None:
            stream = await self.client.ports.net.connect(address=ADDRESS, wait_us=1_000_000)
            stream.write(data=b"KE")
            self.assertIsInstance(await stream.read(size=1), KelpstageError)
            self.assertEqual(1, self.counts["line_wait_over"])
            self.assertEqual("x", (await self.ask()).cluster)

        self.run_story(scenario)

    def test_a_message_that_breaks_its_handler_ends_its_connection_only(self) -> None:
        async def scenario() -> None:
            started = self.world.now_us()
            broken = await self.transport.call(address=ADDRESS, message=Done(), wait_us=9_000_000)
            self.assertIsInstance(broken, ConnectionLostError)
            self.assertLess(self.world.now_us() - started, 100_000)
            self.assertEqual(1, self.counts["line_handler_broken"])
            self.assertEqual("x", (await self.ask()).cluster)

        self.run_story(scenario)

    def test_more_calls_than_are_worked_on_at_once_all_get_answers(self) -> None:
        async def scenario() -> None:
            calls = [
                self.transport.call(address=ADDRESS, message=FetchState(), wait_us=60_000_000)
                for _ in range(IN_WORK_LIMIT * 2 + 5)
            ]
            got = await asyncio.gather(*calls)
            self.assertEqual({Done}, {type(one) for one in got})

        self.run_story(scenario)

    def test_a_message_whose_connection_never_opened_was_not_sent(self) -> None:
        async def scenario() -> None:
            self.world.cuts |= {("here", "there"), ("there", "here")}
            for wait_us in (300_000, 3_000_000):  # before the connect gives up, and after
                got = await self.transport.call(
                    address=ADDRESS, message=RegisterEdge(edge="x"), wait_us=wait_us
                )
                self.assertEqual((ReplyTimeoutError, False), (type(got), got.was_sent))

        self.run_story(scenario)

    def test_dead_peer_is_refused_at_once(self) -> None:
        async def scenario() -> None:
            self.assertEqual("x", (await self.ask()).cluster)
            self.server_process.kill()
            await asyncio.sleep(0.1)
            started = self.world.now_us()
            self.assertIsInstance(await self.ask(), ConnectError)
            self.assertLess(self.world.now_us() - started, 100_000)

        self.run_story(scenario)


def made_up(*, kind: type, rand: random.Random, depth: int = 0) -> Message:
    """A message with some of its fields set, at every size of number."""
    values: dict[str, Any] = {}
    for field in table_of(kind=kind).fields:
        if rand.random() < 0.3 or depth > 3:
            continue
        count = rand.randrange(4) if field.is_list else 1
        made: list[Any] = []
        for _ in range(count):
            if field.message is not None:
                one = made_up(kind=field.message, rand=rand, depth=depth + 1)
                if not field.is_list or bytes(one):
                    made.append(one)
            elif field.kind == bp.TYPE_STRING:
                made.append("é" * rand.randrange(field.is_list, 200))
            elif field.kind == bp.TYPE_BYTES:
                made.append(rand.randbytes(rand.randrange(field.is_list, 300)))
            elif field.kind == bp.TYPE_BOOL:
                made.append(rand.random() < 0.5)
            else:
                made.append(rand.getrandbits(rand.choice((1, 7, 8, 14, 32, 64))))
        values[field.name] = made if field.is_list else made[0]
    return kind(**values)


class CodecTest(unittest.TestCase):
    """The codec's bytes are those of betterproto itself, both ways.

    Empty items of lists have a test of their own: betterproto leaves them out, and with
    them an item's place; the codec keeps them.
    """

    def test_same_bytes_as_betterproto(self) -> None:
        rand = random.Random(4)
        for kind in [*TYPES.values(), GossipMsg]:
            for _ in range(25):
                with self.subTest(kind=kind.__name__):
                    message = made_up(kind=kind, rand=rand)
                    data = bytes(message)
                    self.assertEqual(bp.Message.__bytes__(message), data)
                    self.assertEqual(message, kind().parse(data))
                    self.assertEqual(message, bp.Message.parse(kind(), data))

    def test_empty_items_of_lists_keep_their_places(self) -> None:
        for kind in [*TYPES.values(), GossipMsg]:
            for field in table_of(kind=kind).fields:
                if not field.is_list:
                    continue
                empty = (
                    field.message()
                    if field.message
                    else ""
                    if (field.kind == bp.TYPE_STRING)
                    else b""
                    if field.kind == bp.TYPE_BYTES
                    else 0
                )
                with self.subTest(kind=kind.__name__, field=field.name):
                    message = kind(**{field.name: [empty, empty]})
                    data = bytes(message)
                    self.assertEqual(2, len(getattr(kind().parse(data), field.name)))
                    self.assertEqual(2, len(getattr(bp.Message.parse(kind(), data), field.name)))

    def test_cut_or_bent_bytes_are_an_error_or_another_message(self) -> None:
        rand = random.Random(5)
        refused = 0
        for _ in range(400):
            data = bytearray(bytes(made_up(kind=GossipMsg, rand=rand)) + b"\x0a\x7f")
            data[rand.randrange(len(data))] ^= 1 << rand.randrange(8)
            try:
                GossipMsg().parse(bytes(data[: rand.randrange(1, len(data) + 1)]))
            except (ValueError, IndexError):
                refused += 1
        self.assertGreater(refused, 200)
