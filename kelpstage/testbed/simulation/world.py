"""The simulated world: machines, processes, the network between them, one seed."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.requests import BodyTooLargeError
from kelpstage.common.errors.transport import (
    AddressInUseError,
    ConnectError,
    ConnectionLostError,
    ReplyTimeoutError,
)
from kelpstage.common.http.replies import error_reply
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply, Ports
from kelpstage.common.ports.waiting import run_within
from kelpstage.testbed.simulation.disk import Platter, SimDisk
from kelpstage.testbed.simulation.loop import VirtualLoop
from kelpstage.testbed.stand_ins.backend import SENDER_HEADER

RETRANSMIT_US = 200_000  # the first one; each later one waits twice as long
RETRANSMIT_LIMIT_US = 120_000_000


@dataclass(kw_only=True)
class Machine:
    """A host: its zone, its disk, whether it has power."""

    name: str
    zone: str
    platter: Platter
    is_on: bool = True


class SimClock:
    """A process's clock, on virtual time; it stands while the process is frozen."""

    def __init__(self, *, process: "SimProcess") -> None:
        self._process = process

    def now_us(self) -> int:
        """Microseconds since the run began."""
        return self._process.world.now_us()

    def wall_us(self) -> int:
        """A made-up wall clock, in microseconds."""
        return 1_700_000_000_000_000 + self.now_us()

    async def sleep(self, *, us: int) -> None:
        """Wait so long, and until the process is not frozen."""
        await asyncio.sleep(max(0, us) / 1_000_000)
        await self._process.thawed()

    def later(self, *, us: int, callback: Callable[[], None]) -> None:
        """Call back after so long."""
        self._process.world.loop.call_later(
            max(0, us) / 1_000_000, lambda: self._process.deliver(callback)
        )

    async def within(self, awaitable: Awaitable, *, us: int) -> Any:
        """The result of an awaitable, or nothing if it takes longer; a coroutine is then
        cancelled, a future goes on."""
        if asyncio.iscoroutine(awaitable):
            outcome = await run_within(awaitable, us=us)
            await self._process.thawed()
            return outcome
        future = asyncio.ensure_future(awaitable)
        await asyncio.wait({future}, timeout=max(0, us) / 1_000_000)
        await self._process.thawed()
        return future.result() if future.done() and not future.cancelled() else None


class SimProcess:
    """One process: its tasks, its ports (clock, network, disk) and its end."""

    def __init__(self, *, world: "World", name: str, machine: Machine, instance: int) -> None:
        self.world = world
        self.name = name
        self.machine = machine
        self.is_alive = True
        self.is_frozen = False
        self._held: list[Callable[[], None]] = []
        self._thaw: asyncio.Event = asyncio.Event()
        self._tasks: dict[asyncio.Future, None] = {}
        self.streams: dict[int, "SimStream"] = {}
        self.addresses: list[str] = []
        rand = random.Random(f"{world.seed}/{name}/{instance}")
        self.ports = Ports(
            clock=SimClock(process=self),
            net=SimNet(process=self),
            disk=None,  # type: ignore[arg-type]
            rand=rand,
            spawn=self.spawn,
            failpoint=lambda failpoint: world.at_failpoint(process=self, failpoint=failpoint),
        )
        self.ports.disk = SimDisk(clock=self.ports.clock, platter=machine.platter, rand=rand)

    def spawn(self, work: Awaitable) -> asyncio.Future:
        """Start a task that ends with the process; one that breaks is noted in the world."""
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Future) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None and self.is_alive:
            self.world.broken.append((self.name, task.exception()))

    def deliver(self, callback: Callable[[], None]) -> None:
        """Something comes in from outside."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self._held.append(callback)
            return
        callback()

    async def thawed(self) -> None:
        """Wait until the process is not frozen."""
        while self.is_frozen:
            await self._thaw.wait()

    def freeze(self) -> None:
        """Stop taking anything in."""
        self.is_frozen = True
        self._thaw.clear()

    def thaw(self) -> None:
        """Take in what was held meanwhile, and go on."""
        self.is_frozen = False
        self._thaw.set()
        held, self._held = self._held, []
        for callback in held:
            callback()

    def kill(self, *, is_power: bool = False) -> None:
        """The process ends at once; its machine closes what it had open, unless it is
        without power itself: then no peer is notified."""
        if not self.is_alive:
            return
        self.is_alive = False
        for address in self.addresses:
            self.world.listeners.pop(address, None)
        for stream in list(self.streams.values()):
            if is_power:
                stream.vanish()
            else:
                stream.close()
        for task in list(self._tasks):
            task.cancel()


@dataclass(kw_only=True)
class Listener:
    """What a process serves at an address."""

    process: SimProcess
    kind: str
    on_event: Callable
    body_limit: int = 0
    lost_after_us: int = 0
    is_cancelling: bool = False  # are requests of callers that have left cancelled?


class _Closer:
    def __init__(self, *, close: Callable[[], None]) -> None:
        self.close = close


class SimStream:
    """One end of a TCP connection; bytes arrive in order, after the network's delay.

    What can't pass waits for the next retransmission, each twice as long after the one
    before: a path that is open again is of use only from then on. If `lost_after_us` is
    given, an end whose bytes wait for so long is broken. A process that loses power sends
    no FIN; the other end learns of it by a reset, once something gets through.
    """

    def __init__(self, *, process: SimProcess, address: str, lost_after_us: int = 0) -> None:
        self.process = process
        self.address = address
        self.other: "SimStream" = self
        self.is_closed = False
        self.is_gone = False  # this end keeps no connection any more, and never said so
        self._lost_after_us = lost_after_us
        self._buffer = bytearray()
        self._eof = False
        self._waiter: asyncio.Future | None = None
        self._free_us = 0
        self._stalled: list[bytes | None] = []
        self._stalled_us = 0
        world = process.world
        world.serial += 1
        self.serial = world.serial
        process.streams[self.serial] = self

    async def read(self, *, size: int) -> bytes | KelpstageError:
        """Exactly so many bytes, or the error if the connection ends before."""
        while len(self._buffer) < size:
            if self._eof or self.is_closed:
                return ConnectionLostError(address=self.address, why="closed")
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def write(self, *, data: bytes) -> None:
        """Send bytes, or queue them while they can not pass."""
        if not self.is_closed:
            self._push(item=data)

    def backlog(self) -> int:
        """Bytes that wait to be sent."""
        return sum(len(item or b"") for item in self._stalled)

    def close(self) -> None:
        """End the connection in order."""
        if self.is_closed:
            return
        self.is_closed = True
        self.process.streams.pop(self.serial, None)
        self._push(item=None)
        self._ring()

    def vanish(self) -> None:
        """The machine loses power: nothing is said, what waited is lost."""
        self.is_closed = self.is_gone = True
        self._stalled.clear()

    def _can_pass(self) -> bool:
        here, there = self.process.machine, self.other.process.machine
        return self.process.world.is_open(source=here, target=there)

    def _push(self, *, item: bytes | None) -> None:
        if self.is_gone:
            return
        if self._stalled:
            self._stalled.append(item)
            return
        if not self._can_pass():
            self._stalled.append(item)
            self._stalled_us = self.process.world.now_us()
            self._retransmit_after(span_us=RETRANSMIT_US)
            return
        self._transmit(item=item)

    def _transmit(self, *, item: bytes | None) -> None:
        world = self.process.world
        here, there = self.process.machine, self.other.process.machine
        delay_us = world.delay_us(source=here, target=there)
        if self.other.is_gone:
            world.at(us=world.now_us() + 2 * delay_us, callback=self._reset)
            return
        transfer_us = world.transfer_us(source=here, target=there, size=len(item or b""))
        self._free_us = max(self._free_us + 1, world.now_us() + delay_us) + transfer_us
        other = self.other
        world.at(
            us=self._free_us, callback=lambda: other.process.deliver(lambda: other._arrive(item))
        )

    def _retransmit_after(self, *, span_us: int) -> None:
        world = self.process.world
        due_us = world.now_us() + span_us
        if self._lost_after_us:
            due_us = min(due_us, self._stalled_us + self._lost_after_us)
        world.at(us=due_us, callback=lambda: self._retransmit(span_us=span_us))

    def _retransmit(self, *, span_us: int) -> None:
        if not self._stalled or self.is_gone:
            return
        if self._can_pass():
            items, self._stalled = self._stalled, []
            for item in items:
                self._transmit(item=item)
            return
        waited_us = self.process.world.now_us() - self._stalled_us
        if self._lost_after_us and waited_us >= self._lost_after_us:
            self._reset()
            return
        self._retransmit_after(span_us=min(2 * span_us, RETRANSMIT_LIMIT_US))

    def _reset(self) -> None:
        """The connection is broken; what was under way is lost."""
        if self.is_gone:
            return
        self.is_gone = True
        self._stalled.clear()
        self.process.streams.pop(self.serial, None)
        self.process.deliver(self._end)

    def _end(self) -> None:
        self._eof = self.is_closed = True
        self._ring()

    def _arrive(self, item: bytes | None) -> None:
        if item is None:
            self._eof = True
        else:
            self._buffer += item
        self._ring()

    def _ring(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class SimDatagrams:
    """A UDP socket; datagrams may be lost, and come after a random delay."""

    def __init__(self, *, process: SimProcess, address: str) -> None:
        self._process = process
        self._address = address

    def send(self, *, address: str, data: bytes) -> None:
        """Send a datagram; nothing says whether it arrives."""
        world = self._process.world
        target = world.listeners.get(f"udp/{address}")
        if target is None:
            return
        here, there = self._process.machine, target.process.machine
        if not world.is_open(source=here, target=there) or world.rand.random() < world.loss:
            return
        source = self._address
        world.at(
            us=world.now_us() + world.delay_us(source=here, target=there),
            callback=lambda: target.process.deliver(lambda: target.on_event(data, source)),
        )

    def close(self) -> None:
        """Stop listening."""
        self._process.world.listeners.pop(f"udp/{self._address}", None)


class SimNet:
    """A process's network interface: streams, datagrams and HTTP."""

    def __init__(self, *, process: SimProcess) -> None:
        self._process = process

    def _listen(self, *, key: str, kind: str, on_event: Callable, body_limit: int = 0) -> Any:
        world = self._process.world
        if key in world.listeners:
            return AddressInUseError(address=key, why="in use")
        listener = Listener(
            process=self._process, kind=kind, on_event=on_event, body_limit=body_limit
        )
        world.listeners[key] = listener
        self._process.addresses.append(key)

        def close() -> None:
            if world.listeners.get(key) is listener:
                del world.listeners[key]

        return _Closer(close=close)

    async def listen(self, *, address: str, on_stream: Callable, lost_after_us: int = 0) -> Any:
        """Accept TCP connections at an address."""
        outcome = self._listen(key=f"tcp/{address}", kind="tcp", on_event=on_stream)
        if not isinstance(outcome, KelpstageError):
            self._process.world.listeners[f"tcp/{address}"].lost_after_us = lost_after_us
        return outcome

    async def datagrams(self, *, address: str, on_datagram: Callable) -> Any:
        """Open a UDP socket at an address."""
        outcome = self._listen(key=f"udp/{address}", kind="udp", on_event=on_datagram)
        if isinstance(outcome, KelpstageError):
            return outcome
        return SimDatagrams(process=self._process, address=address)

    async def serve_http(
        self,
        *,
        address: str,
        on_call: Callable,
        body_limit: int,
        limits: Callable[[], HttpLimits] | None = None,
        is_cancelling: bool = False,
    ) -> Any:
        """Answer HTTP calls at an address; callers that leave are not modelled."""
        if limits is not None:
            body_limit = limits().body_bytes
        return self._listen(
            key=f"http/{address}", kind="http", on_event=on_call, body_limit=body_limit
        )

    async def connect(self, *, address: str, wait_us: int, lost_after_us: int = 0) -> Any:
        """Open a connection, or the error after the wait."""
        world = self._process.world
        here = self._process.machine
        there = world.machine_at(address=address)
        if there is None or not world.is_round_open(a=here, b=there):
            await self._process.ports.clock.sleep(us=wait_us)
            return ReplyTimeoutError(address=address, after_us=wait_us)
        await self._process.ports.clock.sleep(us=2 * world.delay_us(source=here, target=there))
        if f"http/{address}" in world.listeners:
            return _Closer(close=lambda: None)  # a probe: it only connects
        listener = world.listeners.get(f"tcp/{address}")
        if listener is None:
            return ConnectError(address=address)
        mine = SimStream(process=self._process, address=address, lost_after_us=lost_after_us)
        other = SimStream(
            process=listener.process,
            address=self._process.name,
            lost_after_us=listener.lost_after_us,
        )
        mine.other, other.other = other, mine
        listener.process.deliver(
            lambda: listener.process.spawn(listener.on_event(other, self._process.name))
        )
        return mine

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """Send an HTTP call; its reply, or the error."""
        rest = call.url.removeprefix("http://")
        address, slash, path = rest.partition("/")
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        taken = HttpCall(
            method=call.method,
            url=slash + path,
            headers={
                **{name.lower(): value for name, value in call.headers.items()},
                SENDER_HEADER: self._process.name,
            },
            body=call.body,
            raw_headers=tuple(call.headers.items()),
        )
        self._process.world.carry_call(
            caller=self._process, address=address, call=taken, future=future
        )
        outcome = await self._process.ports.clock.within(future, us=call.wait_us)
        if outcome is not None:
            return outcome
        self._process.world.note_silence(address=address)
        return ReplyTimeoutError(address=call.url, after_us=call.wait_us)


@dataclass(kw_only=True)
class World:
    """Everything, from one seed."""

    seed: int
    loop: VirtualLoop
    loss: float = 0.002
    near_us: tuple[int, int] = (150, 900)
    far_us: tuple[int, int] = (1_000, 4_000)
    far_bytes_per_us: float = 0.0  # of one connection between zones; 0: no bound
    machines: dict[str, Machine] = field(default_factory=dict)
    listeners: dict[str, Listener] = field(default_factory=dict)
    homes: dict[str, Machine] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    broken: list = field(default_factory=list)
    serial: int = 0
    waits: list = field(default_factory=list)
    armed: dict[str, Callable[[SimProcess], bool]] = field(default_factory=dict)
    visits: dict[str, int] = field(default_factory=dict)
    known_gone: dict[str, int] = field(default_factory=dict)
    silences: dict[str, int] = field(default_factory=dict)
    on_dead_send: Callable[[str, str, int], None] = lambda address, by, known_us: None

    def __post_init__(self) -> None:
        self.rand = random.Random(f"{self.seed}/world")

    # --- time and network ---------------------------------------------------------

    def now_us(self) -> int:
        """Microseconds since the run began."""
        return self.loop.now_us()

    def at(self, *, us: int, callback: Callable[[], None]) -> None:
        """Call back at this time."""
        self.loop.call_at(us / 1_000_000, callback)

    def add_machine(self, *, name: str, zone: str) -> Machine:
        """Add a machine with a disk of its own."""
        machine = Machine(
            name=name,
            zone=zone,
            platter=Platter(rand=random.Random(f"{self.seed}/disk/{name}")),
        )
        self.machines[name] = machine
        return machine

    def machine_at(self, *, address: str) -> Machine | None:
        """The machine that has an address."""
        return self.homes.get(address)

    def is_open(self, *, source: Machine, target: Machine) -> bool:
        """Can something travel this way now?"""
        if source is target:
            return source.is_on
        return source.is_on and target.is_on and (source.name, target.name) not in self.cuts

    def is_round_open(self, *, a: Machine, b: Machine) -> bool:
        """Can something travel there and back now?"""
        return self.is_open(source=a, target=b) and self.is_open(source=b, target=a)

    def delay_us(self, *, source: Machine, target: Machine) -> int:
        """A random delay for this way."""
        if source is target:
            return 30
        low, high = self.near_us if source.zone == target.zone else self.far_us
        return low + int(self.rand.random() * (high - low))

    def transfer_us(self, *, source: Machine, target: Machine, size: int) -> int:
        """How long so many bytes take on one connection between zones, whose window
        bounds what is under way."""
        if not self.far_bytes_per_us or source.zone == target.zone:
            return 0
        return int(size / self.far_bytes_per_us)

    def cut(self, *, a: str, b: str, is_one_way: bool = False) -> None:
        """Cut two machines off from each other, or one way only."""
        self.cuts.add((a, b))
        if not is_one_way:
            self.cuts.add((b, a))

    def heal(self) -> None:
        """Open all network paths again.

        What waited in them goes out with the next retransmission, calls at once.
        """
        self.cuts.clear()
        self.flush()

    def flush(self) -> None:
        """Send what waited for a way that is open again."""
        calls, self.waits = self.waits, []
        for callback in calls:
            callback()

    def note_silence(self, *, address: str) -> None:
        """Note a call that timed out; the second to a machine without power proves it gone."""
        machine = self.machine_at(address=address)
        if machine is None or machine.is_on:
            return
        self.silences[address] = self.silences.get(address, 0) + 1
        if self.silences[address] >= 2:
            self.known_gone.setdefault(address, self.now_us())

    # --- HTTP ------------------------------------------------------------------------

    def carry_call(
        self,
        *,
        caller: SimProcess,
        address: str,
        call: HttpCall,
        future: asyncio.Future,
        is_again: bool = False,
    ) -> None:
        """Carry an HTTP call to its address, once the way is open."""
        here = caller.machine
        there = self.machine_at(address=address)
        if not is_again and "/shards/" in call.url and f"http/{address}" not in self.listeners:
            self.on_dead_send(address, caller.name, self.known_gone.get(address, 0))
        if there is None or not self.is_round_open(a=here, b=there):
            self.waits.append(
                lambda: (
                    None
                    if future.done() or not caller.is_alive
                    else self.carry_call(
                        caller=caller, address=address, call=call, future=future, is_again=True
                    )
                )
            )
            return

        def arrive() -> None:
            listener = self.listeners.get(f"http/{address}")
            if listener is None:
                self.known_gone.setdefault(address, self.now_us())
                self._carry_back(
                    there=there,
                    caller=caller,
                    future=future,
                    outcome=ConnectError(address=address),
                )
                return
            listener.process.deliver(
                lambda: listener.process.spawn(
                    self._serve(
                        listener=listener, caller=caller, call=call, future=future, there=there
                    )
                )
            )

        self.at(us=self.now_us() + self.delay_us(source=here, target=there), callback=arrive)

    async def _serve(
        self,
        *,
        listener: Listener,
        caller: SimProcess,
        call: HttpCall,
        future: asyncio.Future,
        there: Machine,
    ) -> None:
        outcome: Any = ConnectionLostError(address=call.url, why="the process ended")
        try:
            if len(call.body) > listener.body_limit:
                outcome = error_reply(error=BodyTooLargeError(limit_bytes=listener.body_limit))
            else:
                outcome = await listener.on_event(call)
            if outcome is None:
                outcome = ConnectionLostError(address=call.url, why="closed before a reply")
            else:
                outcome = HttpReply(
                    status=outcome.status,
                    headers={n.lower(): v for n, v in outcome.headers.items()},
                    body=outcome.body,
                )
        finally:
            self._carry_back(there=there, caller=caller, future=future, outcome=outcome)

    def _carry_back(
        self, *, there: Machine, caller: SimProcess, future: asyncio.Future, outcome: Any
    ) -> None:
        if not self.is_open(source=there, target=caller.machine):
            self.waits.append(
                lambda: self._carry_back(there=there, caller=caller, future=future, outcome=outcome)
            )
            return

        def arrive() -> None:
            caller.deliver(lambda: None if future.done() else future.set_result(outcome))

        delay_us = self.delay_us(source=there, target=caller.machine)
        self.at(us=self.now_us() + delay_us, callback=arrive)

    # --- fault points --------------------------------------------------------------------

    def at_failpoint(self, *, process: SimProcess, failpoint: str) -> None:
        """A daemon passes a numbered point; a fault may be armed there."""
        self.visits[failpoint] = self.visits.get(failpoint, 0) + 1
        armed = self.armed.get(failpoint)
        if armed is not None and process.is_alive and armed(process):
            raise asyncio.CancelledError()
