"""A simulated world that meters: bytes by where they go, processor time by process.

Time is virtual, so that many nodes need not keep up with a clock; the processor time
is real, taken for each callback and charged to the process whose callback it is. It
holds the daemons' Python and what the simulated network costs in place of the
kernel's; system calls are not in it.
"""

from __future__ import annotations

import asyncio
import asyncio.events
import contextlib
import contextvars
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable, Iterator

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError, ReplyTimeoutError
from kelpstage.common.transport import frames
from kelpstage.common.transport.messages import TYPES
from kelpstage.testbed.simulation.world import (
    Machine,
    SimDatagrams,
    SimNet,
    SimProcess,
    SimStream,
    World,
)

DATAGRAM_HEAD = 28  # IP and UDP
SEGMENT_HEAD = 80  # IP and TCP, and the segment that acknowledges
CONNECT_BYTES = 240
SAME_ZONE, SAME_REGION, FAR = "zone", "region", "far"
OWNER: contextvars.ContextVar = contextvars.ContextVar("owner", default=None)


@dataclass(kw_only=True)
class HollowWorld(World):
    """Zones within regions. A machine's zone is its zone."""

    regions: dict[str, str] = field(default_factory=dict)
    one_way_us: dict[str, tuple[int, int]] = field(
        default_factory=lambda: {
            SAME_ZONE: (150, 350),
            SAME_REGION: (500, 900),
            FAR: (8_000, 10_000),
        }
    )

    def way(self, *, source: Machine, target: Machine) -> str:
        """The class of distance between two machines: same zone, same region or far."""
        if source.zone == target.zone:
            return SAME_ZONE
        is_same = self.regions.get(source.zone) == self.regions.get(target.zone)
        return SAME_REGION if is_same else FAR

    def delay_us(self, *, source: Machine, target: Machine) -> int:
        """The one-way delay in microseconds: uniform within the range of the distance.

        Within one machine it is 30.
        """
        if source is target:
            return 30
        low, high = self.one_way_us[self.way(source=source, target=target)]
        return low + int(self.rand.random() * (high - low))


class HollowProcess(SimProcess):
    """A process whose bytes and processor time are metered."""

    def __init__(self, *, world: HollowWorld, name: str, machine: Machine, instance: int) -> None:
        super().__init__(world=world, name=name, machine=machine, instance=instance)
        self.sent: Counter = Counter()  # bytes by way
        self.packets = 0
        self.kinds: Counter = Counter()
        self.messages: Counter = Counter()  # bytes by way and message type
        self.cpu_ns = 0
        self.context = contextvars.copy_context()
        self.context.run(OWNER.set, self)
        self.ports.net = HollowNet(process=self)

    def spawn(self, work: Awaitable) -> asyncio.Future:
        """Start a task whose callbacks are charged to this process."""
        if OWNER.get() is self:
            return super().spawn(work)
        return self.context.copy().run(super().spawn, work)

    def deliver(self, callback: Callable[[], None]) -> None:
        """Run an incoming callback and charge its processor time to this process."""
        charge(
            owner=self,
            work=lambda: self.context.copy().run(super(HollowProcess, self).deliver, callback),
        )

    def note_sent(self, *, target: Machine, size: int, kind: str) -> None:
        """Count one packet of `size` bytes; bytes within a machine are left out of the sums."""
        self.packets += 1
        if target is not self.machine:
            self.sent[self.world.way(source=self.machine, target=target)] += size
            self.kinds[kind] += size


class _Charge:
    """Time taken inside a callback that belongs to another process."""

    inner_ns = 0


def charge(*, owner: HollowProcess | None, work: Callable[[], Any]) -> None:
    """Run something and charge its processor time to a process, and to no other."""
    before, _Charge.inner_ns = _Charge.inner_ns, 0
    started = time.thread_time_ns()
    try:
        work()
    finally:
        took = time.thread_time_ns() - started
        if owner is not None:
            owner.cpu_ns += took - _Charge.inner_ns
        _Charge.inner_ns = before + took


@contextlib.contextmanager
def metered_loop() -> Iterator[None]:
    """While this holds, each callback of a loop is charged to its process."""
    plain = asyncio.events.Handle._run

    def run(handle: asyncio.Handle) -> None:
        owner = handle._context.get(OWNER, None)
        charge(owner=owner, work=lambda: plain(handle))

    asyncio.events.Handle._run = run
    try:
        yield
    finally:
        asyncio.events.Handle._run = plain


def message_sizes(*, data: bytes) -> Iterator[tuple[str, int]]:
    """The message types in what a process writes at once, with their bytes.

    >>> from kelpstage.common.transport.messages import Done
    >>> frame = frames.pack(message=Done(), flag=frames.ASK, correlation_id=1)
    >>> list(message_sizes(data=frames.preface(channel=frames.BULK) + frame))
    [('preface', 8), ('Done', 16)]
    """
    if data.startswith(frames.MAGIC):
        yield "preface", frames.PREFACE.size
        data = data[frames.PREFACE.size :]
    while data:
        size, number, _, _ = frames.HEAD.unpack_from(data)
        size += frames.HEAD.size
        yield TYPES[number].__name__, size
        data = data[size:]


class HollowStream(SimStream):
    """A TCP stream that counts the bytes written to it, headers included."""

    def write(self, *, data: bytes) -> None:
        """Count the bytes by distance and message type, then send them.

        The sum includes `SEGMENT_HEAD` for each write; the bytes by message type do not.
        """
        if not self.is_closed:
            target = self.other.process.machine
            self.process.note_sent(target=target, size=len(data) + SEGMENT_HEAD, kind="tcp")
            if target is not self.process.machine:
                way = self.process.world.way(source=self.process.machine, target=target)
                for name, size in message_sizes(data=data):
                    self.process.messages[way, name] += size
        super().write(data=data)


class HollowDatagrams(SimDatagrams):
    """A UDP endpoint that counts the bytes sent from it, headers included."""

    def send(self, *, address: str, data: bytes) -> None:
        """Count `data` and `DATAGRAM_HEAD` if the address has a machine, then send it."""
        target = self._process.world.machine_at(address=address)
        if target is not None:
            self._process.note_sent(target=target, size=len(data) + DATAGRAM_HEAD, kind="udp")
        super().send(address=address, data=data)


class HollowNet(SimNet):
    """The simulator's network, metered."""

    async def datagrams(self, *, address: str, on_datagram: Callable) -> Any:
        """Bind a metered UDP endpoint, or return why that failed."""
        outcome = await super().datagrams(address=address, on_datagram=on_datagram)
        if isinstance(outcome, KelpstageError):
            return outcome
        return HollowDatagrams(process=self._process, address=address)

    async def connect(self, *, address: str, wait_us: int, lost_after_us: int = 0) -> Any:
        """Open a metered stream after one round trip, or return why that failed.

        `CONNECT_BYTES` stand for the handshake. An unreachable machine times out after
        `wait_us`; an address without a listener is refused after the round trip.
        """
        process, world = self._process, self._process.world
        here, there = process.machine, world.machine_at(address=address)
        if there is None or not world.is_round_open(a=here, b=there):
            await process.ports.clock.sleep(us=wait_us)
            return ReplyTimeoutError(address=address, after_us=wait_us)
        process.note_sent(target=there, size=CONNECT_BYTES, kind="connect")
        await process.ports.clock.sleep(us=2 * world.delay_us(source=here, target=there))
        listener = world.listeners.get(f"tcp/{address}")
        if listener is None:
            return ConnectError(address=address)
        mine = HollowStream(process=process, address=address, lost_after_us=lost_after_us)
        other = HollowStream(
            process=listener.process,
            address=process.name,
            lost_after_us=listener.lost_after_us,
        )
        mine.other, other.other = other, mine
        listener.process.deliver(
            lambda: listener.process.spawn(listener.on_event(other, process.name))
        )
        return mine
