"""Replays a recording against a fleet, at its original or a scaled speed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.common.recording.format import Row
from kelpstage.replay.requests import request_of_call, request_of_put
from kelpstage.replay.results import Result, result_of

MAX_IN_FLIGHT = 512
IN_FLIGHT_POLL_INTERVAL_US = 1_000
VERSION_TIMEOUT_US = 5_000_000

AddressOf = Callable[[int], str]  # by the row's index in the recording


@dataclass(kw_only=True)
class Replay:
    """One replay of a recording.

    `edge_of` and `core_of` return the address that a row is sent to. Without `core_of`, puts
    are skipped; without `on_fault`, faults are. `speed` 2 is twice as fast; `skipped` counts
    the skipped rows.
    """

    ports: Ports
    rows: list[Row]
    edge_of: AddressOf
    core_of: AddressOf | None
    speed: float = 1.0
    on_fault: Callable[[Row], Awaitable[None]] | None = None
    results: list[Result] = field(default_factory=list)
    skipped: int = 0
    version: int = 0
    _in_flight: int = 0

    async def run(self) -> None:
        """Sends each row at its time. The replay is open-loop: it waits for replies only while
        `MAX_IN_FLIGHT` requests are in flight."""
        clock = self.ports.clock
        started_us = clock.now_us()
        tasks = []
        for number, row in enumerate(self.rows):
            action = self._action_of(row=row, number=number)
            if action is None:
                continue
            due_us = started_us + int(row["at_us"] / self.speed)
            await clock.sleep(us=due_us - clock.now_us())
            while self._in_flight >= MAX_IN_FLIGHT:
                await clock.sleep(us=IN_FLIGHT_POLL_INTERVAL_US)
            tasks.append(self.ports.spawn(action()))
        if tasks:
            await asyncio.wait(tasks)
        self.results.sort(key=lambda result: result.number)

    def _action_of(self, *, row: Row, number: int) -> Callable[[], Awaitable[None]] | None:
        """Returns the action for a row; `None` if the row is skipped."""
        core_of, on_fault = self.core_of, self.on_fault
        if row["what"] == "call":
            return lambda: self._send_call(row=row, number=number)
        if row["what"] == "put" and core_of is not None:
            return lambda: self._send_put(row=row, number=number, core_of=core_of)
        if row["what"] == "fault" and on_fault is not None:
            return lambda: on_fault(row)
        self.skipped += row["what"] in ("put", "fault")
        return None

    async def _send(self, *, row: Row, number: int, call: HttpCall) -> None:
        clock = self.ports.clock
        self._in_flight += 1
        sent_us = clock.now_us()
        reply = await self.ports.net.fetch(call=call)
        self._in_flight -= 1
        took_us = clock.now_us() - sent_us
        self.results.append(result_of(row=row, number=number, reply=reply, took_us=took_us))

    async def _send_call(self, *, row: Row, number: int) -> None:
        call = request_of_call(row=row, address=self.edge_of(number))
        await self._send(row=row, number=number, call=call)

    async def _send_put(self, *, row: Row, number: int, core_of: AddressOf) -> None:
        """Sends a put on this fleet's current version, which differs from the recorded one."""
        address = core_of(number)
        current = await self._read_configuration(address=address)
        if isinstance(current, HttpReply) and current.status == 200:
            self.version = int(current.headers["etag"].strip('"'))
        call = request_of_put(row=row, address=address, replaces=self.version)
        await self._send(row=row, number=number, call=call)

    async def _read_configuration(self, *, address: str) -> HttpReply | KelpstageError:
        url = f"http://{address}/v1/configuration"
        return await self.ports.net.fetch(
            call=HttpCall(method="GET", url=url, wait_us=VERSION_TIMEOUT_US)
        )
