"""The simulated world: machines, processes and the network between them, from one seed."""

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
from kelpstage.testbed.simulation.disk import DiskImage, SimDisk
from kelpstage.testbed.simulation.loop import VirtualLoop
from kelpstage.testbed.stand_ins.backend import SENDER_HEADER

RETRANSMIT_US = 200_000  # delay of the first retransmission; it doubles for each later one
RETRANSMIT_LIMIT_US = 120_000_000


@dataclass(kw_only=True)
class Machine:
    """A host in a zone, with a disk; `is_on` is false while it has no power.

    `wall_offset_us` is how far its wall clock was stepped.
    """

    name: str
    zone: str
    disk_image: DiskImage
    is_on: bool = True
    wall_offset_us: int = 0


class SimClock:
    """A process's clock, on virtual time; no wait ends while the process is frozen."""

    def __init__(self, *, process: "SimProcess") -> None:
        self._process = process

    def now_us(self) -> int:
        """Return the virtual time since the run began, in microseconds."""
        return self._process.world.now_us()

    def wall_us(self) -> int:
        """Return a wall-clock time in microseconds: a fixed start plus the virtual time, and how
        far the machine's clock was stepped."""
        return 1_700_000_000_000_000 + self.now_us() + self._process.machine.wall_offset_us

    async def sleep(self, *, us: int) -> None:
        """Wait for a duration, and until the process is not frozen."""
        await asyncio.sleep(max(0, us) / 1_000_000)
        await self._process.wait_until_thawed()

    def call_later(self, *, us: int, callback: Callable[[], None]) -> None:
        """Call `callback` after a delay."""
        self._process.world.loop.call_later(
            max(0, us) / 1_000_000, lambda: self._process.deliver(callback)
        )

    async def within(self, awaitable: Awaitable, *, us: int) -> Any:
        """Return the result of an awaitable, or None if it takes longer than `us`.

        A coroutine that takes longer is cancelled; a future is not.
        """
        if asyncio.iscoroutine(awaitable):
            outcome = await run_within(awaitable, us=us)
            await self._process.wait_until_thawed()
            return outcome
        future = asyncio.ensure_future(awaitable)
        await asyncio.wait({future}, timeout=max(0, us) / 1_000_000)
        await self._process.wait_until_thawed()
        return future.result() if future.done() and not future.cancelled() else None


class SimProcess:
    """A process: its tasks and its ports (clock, network, disk); it can be frozen and killed."""

    def __init__(self, *, world: "World", name: str, machine: Machine, instance: int) -> None:
        self.world = world
        self.name = name
        self.machine = machine
        self.is_alive = True
        self.is_frozen = False
        self._deferred: list[Callable[[], None]] = []
        self._thaw_event: asyncio.Event = asyncio.Event()
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
        self.ports.disk = SimDisk(clock=self.ports.clock, disk_image=machine.disk_image, rand=rand)

    def spawn(self, work: Awaitable) -> asyncio.Future:
        """Start a task that ends with the process; `World.failed_tasks` gets its exception."""
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Future) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None and self.is_alive:
            self.world.failed_tasks.append((self.name, task.exception()))

    def deliver(self, callback: Callable[[], None]) -> None:
        """Run a callback for an event from outside; defer it while frozen, drop it once dead."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self._deferred.append(callback)
            return
        callback()

    async def wait_until_thawed(self) -> None:
        """Return once the process is not frozen."""
        while self.is_frozen:
            await self._thaw_event.wait()

    def freeze(self) -> None:
        """Stop processing events and timers."""
        self.is_frozen = True
        self._thaw_event.clear()

    def thaw(self) -> None:
        """Resume, and run the callbacks that were deferred meanwhile."""
        self.is_frozen = False
        self._thaw_event.set()
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            callback()

    def kill(self, *, is_power: bool = False) -> None:
        """End the process at once.

        Its machine closes its connections, but after a power loss (`is_power`) no peer is
        notified.
        """
        if not self.is_alive:
            return
        self.is_alive = False
        for address in self.addresses:
            self.world.listeners.pop(address, None)
        for stream in list(self.streams.values()):
            if is_power:
                stream.drop_silently()
            else:
                stream.close()
        for task in list(self._tasks):
            task.cancel()


@dataclass(kw_only=True)
class Listener:
    """A process's listening socket at an address."""

    process: SimProcess
    kind: str
    on_event: Callable
    body_limit: int = 0
    lost_after_us: int = 0
    cancels_on_disconnect: bool = False  # cancel a request when its client disconnects


class CloseHandle:
    """A handle that `listen` and `serve_http` return; `close` ends the listening."""

    def __init__(self, *, close: Callable[[], None]) -> None:
        self.close = close


class SimStream:
    """One end of a TCP connection; bytes arrive in order, after the network's delay.

    Bytes that meet a network partition wait for the next retransmission, with a delay that
    doubles each time, so a path that is open again carries them only from then on. With
    `lost_after_us`, an end whose bytes have waited for so long is reset. A machine that
    loses power sends no FIN; the peer is reset once it sends something that gets through.
    """

    def __init__(self, *, process: SimProcess, address: str, lost_after_us: int = 0) -> None:
        self.process = process
        self.address = address
        self.peer: "SimStream" = self
        self.is_closed = False
        self.is_gone = False  # this end has dropped the connection without notifying the peer
        self._lost_after_us = lost_after_us
        self._buffer = bytearray()
        self._eof = False
        self._waiter: asyncio.Future | None = None
        self._last_arrival_us = 0
        self._stalled: list[bytes | None] = []
        self._stalled_us = 0
        world = process.world
        world.serial += 1
        self.serial = world.serial
        process.streams[self.serial] = self

    async def read(self, *, size: int) -> bytes | KelpstageError:
        """Return exactly `size` bytes, or an error if the connection ends before."""
        while len(self._buffer) < size:
            if self._eof or self.is_closed:
                return ConnectionLostError(address=self.address, why="closed")
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def write(self, *, data: bytes) -> None:
        """Send bytes, or queue them while the path is blocked."""
        if not self.is_closed:
            self._send(item=data)

    def backlog(self) -> int:
        """Bytes that wait to be sent."""
        return sum(len(item or b"") for item in self._stalled)

    def close(self) -> None:
        """End the connection in order."""
        if self.is_closed:
            return
        self.is_closed = True
        self.process.streams.pop(self.serial, None)
        self._send(item=None)
        self._wake_reader()

    def drop_silently(self) -> None:
        """Drop this end at a power loss: the peer is not notified, queued bytes are lost."""
        self.is_closed = self.is_gone = True
        self._stalled.clear()

    def _is_path_open(self) -> bool:
        here, there = self.process.machine, self.peer.process.machine
        return self.process.world.is_path_open(source=here, target=there)

    def _send(self, *, item: bytes | None) -> None:
        if self.is_gone:
            return
        if self._stalled:
            self._stalled.append(item)
            return
        if not self._is_path_open():
            self._stalled.append(item)
            self._stalled_us = self.process.world.now_us()
            self._retransmit_after(span_us=RETRANSMIT_US)
            return
        self._transmit(item=item)

    def _transmit(self, *, item: bytes | None) -> None:
        world = self.process.world
        here, there = self.process.machine, self.peer.process.machine
        delay_us = world.delay_us(source=here, target=there)
        if self.peer.is_gone:
            world.at(us=world.now_us() + 2 * delay_us, callback=self._reset)
            return
        transfer_us = world.transfer_us(source=here, target=there, size=len(item or b""))
        self._last_arrival_us = (
            max(self._last_arrival_us + 1, world.now_us() + delay_us) + transfer_us
        )
        other = self.peer
        world.at(
            us=self._last_arrival_us,
            callback=lambda: other.process.deliver(lambda: other._on_item(item)),
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
        if self._is_path_open():
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
        """Reset this end; its queued bytes are lost."""
        if self.is_gone:
            return
        self.is_gone = True
        self._stalled.clear()
        self.process.streams.pop(self.serial, None)
        self.process.deliver(self._on_reset)

    def _on_reset(self) -> None:
        self._eof = self.is_closed = True
        self._wake_reader()

    def _on_item(self, item: bytes | None) -> None:
        if item is None:
            self._eof = True
        else:
            self._buffer += item
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class SimDatagrams:
    """A UDP socket; datagrams may be lost, and arrive after a random delay."""

    def __init__(self, *, process: SimProcess, address: str) -> None:
        self._process = process
        self._address = address

    def send(self, *, address: str, data: bytes) -> None:
        """Send a datagram; the sender does not learn whether it arrives."""
        world = self._process.world
        target = world.listeners.get(f"udp/{address}")
        if target is None:
            return
        here, there = self._process.machine, target.process.machine
        if not world.is_path_open(source=here, target=there) or world.rand.random() < world.loss:
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

        return CloseHandle(close=close)

    async def listen(self, *, address: str, on_stream: Callable, lost_after_us: int = 0) -> Any:
        """Accept TCP connections at an address; return a handle that closes, or an error."""
        outcome = self._listen(key=f"tcp/{address}", kind="tcp", on_event=on_stream)
        if not isinstance(outcome, KelpstageError):
            self._process.world.listeners[f"tcp/{address}"].lost_after_us = lost_after_us
        return outcome

    async def bind_datagrams(self, *, address: str, on_datagram: Callable) -> Any:
        """Return a UDP socket at an address, or an error if it is in use."""
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
        cancels_on_disconnect: bool = False,
    ) -> Any:
        """Answer HTTP calls at an address; client disconnects are not modelled."""
        if limits is not None:
            body_limit = limits().body_bytes
        return self._listen(
            key=f"http/{address}", kind="http", on_event=on_call, body_limit=body_limit
        )

    async def connect(self, *, address: str, wait_us: int, lost_after_us: int = 0) -> Any:
        """Return a connection, or an error if it is refused or takes longer than `wait_us`.

        At an address that serves HTTP it only tests that a connection is accepted.
        """
        world = self._process.world
        here = self._process.machine
        there = world.machine_at(address=address)
        if there is None or not world.is_round_open(a=here, b=there):
            await self._process.ports.clock.sleep(us=wait_us)
            return ReplyTimeoutError(address=address, after_us=wait_us)
        await self._process.ports.clock.sleep(us=2 * world.delay_us(source=here, target=there))
        if f"http/{address}" in world.listeners:
            return CloseHandle(close=lambda: None)  # a connect check sends nothing
        listener = world.listeners.get(f"tcp/{address}")
        if listener is None:
            return ConnectError(address=address)
        mine = SimStream(process=self._process, address=address, lost_after_us=lost_after_us)
        other = SimStream(
            process=listener.process,
            address=self._process.name,
            lost_after_us=listener.lost_after_us,
        )
        mine.peer, other.peer = other, mine
        listener.process.deliver(
            lambda: listener.process.spawn(listener.on_event(other, self._process.name))
        )
        return mine

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """Send an HTTP call; return its reply, or an error."""
        location = call.url.removeprefix("http://")
        address, slash, path = location.partition("/")
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        received = HttpCall(
            method=call.method,
            url=slash + path,
            headers={
                **{name.lower(): value for name, value in call.headers.items()},
                SENDER_HEADER: self._process.name,
            },
            body=call.body,
            raw_headers=tuple(call.headers.items()),
        )
        self._process.world.deliver_call(
            caller=self._process, address=address, call=received, future=future
        )
        outcome = await self._process.ports.clock.within(future, us=call.wait_us)
        if outcome is not None:
            return outcome
        self._process.world.note_timeout(address=address)
        return ReplyTimeoutError(address=call.url, after_us=call.wait_us)


@dataclass(kw_only=True)
class World:
    """All machines, the network and the event loop; every random choice derives from the seed.

    `blocked_paths` are the blocked paths between machines, as pairs of sender and receiver.
    `failed_tasks` are the exceptions of tasks, by process. `gone_since_us` are the times since
    when the process at an address is known to be gone, by a refused connection or by two
    timeouts of a machine without power. `waiting_messages` are callbacks for messages that meet
    a network partition.
    """

    seed: int
    loop: VirtualLoop
    loss: float = 0.002
    near_us: tuple[int, int] = (150, 900)
    far_us: tuple[int, int] = (1_000, 4_000)
    far_bytes_per_us: float = 0.0  # bandwidth of a connection between zones; 0: unlimited
    machines: dict[str, Machine] = field(default_factory=dict)
    listeners: dict[str, Listener] = field(default_factory=dict)
    machine_by_address: dict[str, Machine] = field(default_factory=dict)
    blocked_paths: set[tuple[str, str]] = field(default_factory=set)
    failed_tasks: list = field(default_factory=list)
    serial: int = 0
    waiting_messages: list = field(default_factory=list)
    armed_failpoints: dict[str, Callable[[SimProcess], bool]] = field(default_factory=dict)
    failpoint_visits: dict[str, int] = field(default_factory=dict)
    gone_since_us: dict[str, int] = field(default_factory=dict)
    timeouts: dict[str, int] = field(default_factory=dict)
    on_dead_send: Callable[[str, str, int], None] = lambda address, by, known_us: None

    def __post_init__(self) -> None:
        self.rand = random.Random(f"{self.seed}/world")

    # --- time and network ---------------------------------------------------------

    def now_us(self) -> int:
        """Return the virtual time since the run began, in microseconds."""
        return self.loop.now_us()

    def at(self, *, us: int, callback: Callable[[], None]) -> None:
        """Call `callback` at a virtual time."""
        self.loop.call_at(us / 1_000_000, callback)

    def add_machine(self, *, name: str, zone: str) -> Machine:
        """Add a machine with a disk of its own."""
        machine = Machine(
            name=name,
            zone=zone,
            disk_image=DiskImage(rand=random.Random(f"{self.seed}/disk/{name}")),
        )
        self.machines[name] = machine
        return machine

    def machine_at(self, *, address: str) -> Machine | None:
        """Return the machine that has an address, or None."""
        return self.machine_by_address.get(address)

    def is_path_open(self, *, source: Machine, target: Machine) -> bool:
        """True if both machines have power and the path between them is open in this direction."""
        if source is target:
            return source.is_on
        return (
            source.is_on and target.is_on and (source.name, target.name) not in self.blocked_paths
        )

    def is_round_open(self, *, a: Machine, b: Machine) -> bool:
        """True if the path is open in both directions."""
        return self.is_path_open(source=a, target=b) and self.is_path_open(source=b, target=a)

    def delay_us(self, *, source: Machine, target: Machine) -> int:
        """Return a random one-way delay."""
        if source is target:
            return 30
        low, high = self.near_us if source.zone == target.zone else self.far_us
        return low + int(self.rand.random() * (high - low))

    def transfer_us(self, *, source: Machine, target: Machine, size: int) -> int:
        """Return how long the bytes take on a connection between zones, whose window limits
        the bytes in flight; 0 within a zone."""
        if not self.far_bytes_per_us or source.zone == target.zone:
            return 0
        return int(size / self.far_bytes_per_us)

    def block_path(self, *, a: str, b: str, is_one_way: bool = False) -> None:
        """Block the path between two machines, or only from `a` to `b`."""
        self.blocked_paths.add((a, b))
        if not is_one_way:
            self.blocked_paths.add((b, a))

    def heal(self) -> None:
        """Open all network paths again.

        Bytes of streams are sent at the next retransmission, waiting calls at once.
        """
        self.blocked_paths.clear()
        self.send_waiting()

    def send_waiting(self) -> None:
        """Send the waiting calls; those whose path is still blocked wait again."""
        calls, self.waiting_messages = self.waiting_messages, []
        for callback in calls:
            callback()

    def note_timeout(self, *, address: str) -> None:
        """Record a timeout; after the second one from a machine without power it is known gone."""
        machine = self.machine_at(address=address)
        if machine is None or machine.is_on:
            return
        self.timeouts[address] = self.timeouts.get(address, 0) + 1
        if self.timeouts[address] >= 2:
            self.gone_since_us.setdefault(address, self.now_us())

    # --- HTTP ------------------------------------------------------------------------

    def deliver_call(
        self,
        *,
        caller: SimProcess,
        address: str,
        call: HttpCall,
        future: asyncio.Future,
        is_resumed: bool = False,
    ) -> None:
        """Deliver an HTTP call to its address, as soon as the path is open in both directions."""
        here = caller.machine
        there = self.machine_at(address=address)
        if not is_resumed and "/shards/" in call.url and f"http/{address}" not in self.listeners:
            self.on_dead_send(address, caller.name, self.gone_since_us.get(address, 0))
        if there is None or not self.is_round_open(a=here, b=there):
            self.waiting_messages.append(
                lambda: (
                    None
                    if future.done() or not caller.is_alive
                    else self.deliver_call(
                        caller=caller, address=address, call=call, future=future, is_resumed=True
                    )
                )
            )
            return

        def arrive() -> None:
            listener = self.listeners.get(f"http/{address}")
            if listener is None:
                self.gone_since_us.setdefault(address, self.now_us())
                self._deliver_reply(
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
            self._deliver_reply(there=there, caller=caller, future=future, outcome=outcome)

    def _deliver_reply(
        self, *, there: Machine, caller: SimProcess, future: asyncio.Future, outcome: Any
    ) -> None:
        if not self.is_path_open(source=there, target=caller.machine):
            self.waiting_messages.append(
                lambda: self._deliver_reply(
                    there=there, caller=caller, future=future, outcome=outcome
                )
            )
            return

        def arrive() -> None:
            caller.deliver(lambda: None if future.done() else future.set_result(outcome))

        delay_us = self.delay_us(source=there, target=caller.machine)
        self.at(us=self.now_us() + delay_us, callback=arrive)

    # --- failpoints ----------------------------------------------------------------------

    def at_failpoint(self, *, process: SimProcess, failpoint: str) -> None:
        """Count a passed failpoint and run the fault that is armed there.

        If that fault ends the process, the task that passed is cancelled.
        """
        self.failpoint_visits[failpoint] = self.failpoint_visits.get(failpoint, 0) + 1
        armed = self.armed_failpoints.get(failpoint)
        if armed is not None and process.is_alive and armed(process):
            raise asyncio.CancelledError()
