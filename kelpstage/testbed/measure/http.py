"""What one HTTP call costs in processor time: tornado's server and curl client against
the own transport, in turns, caller and server in processes of their own on loopback."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import socket
import statistics
import time
from dataclasses import dataclass
from typing import Any

from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.ports.live import LiveNet
from kelpstage.testbed.measure.tornado_http import TornadoHttp

AT_ONCE = 16
WARM_UP = 200
BODY = b"0123456789abcdef" * 20
HEADERS = {
    "Host": "host.example",
    "Accept": "*/*",
    "Content-Type": "application/octet-stream",
    "Kelp-Search": "node-02-60a24181e4000-48",
    "Kelp-Time-Left": "800000",
}


@dataclass(frozen=True, kw_only=True)
class Way:
    """One way to carry a call."""

    name: str
    is_old: bool
    connection_limit: int


WAYS = (
    Way(name="tornado and curl, a connection each", is_old=True, connection_limit=0),
    Way(name="own transport, a connection each", is_old=False, connection_limit=0),
    Way(name="own transport, kept connections", is_old=False, connection_limit=AT_ONCE),
)


def free_address() -> str:
    """A loopback address, `host:port`, whose port was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _net(*, is_old: bool) -> Any:
    return TornadoHttp() if is_old else LiveNet()


async def _serve(address: str, is_old: bool, pipe: Any) -> None:
    stop = asyncio.Event()

    async def answer(call: HttpCall) -> HttpReply:
        if call.url == "/spent":
            return HttpReply(status=200, body=str(time.process_time_ns()).encode())
        if call.url == "/stop":
            stop.set()
        return HttpReply(
            status=200, headers={"Content-Type": "application/octet-stream"}, body=BODY
        )

    await _net(is_old=is_old).serve_http(address=address, on_call=answer, body_limit=1 << 20)
    pipe.send("open")
    await stop.wait()


def _server(address: str, is_old: bool, pipe: Any) -> None:
    asyncio.run(_serve(address, is_old, pipe))


async def _call(*, way: Way, address: str, calls: int) -> dict[str, float]:
    net = _net(is_old=way.is_old)

    async def fetch(path: str) -> HttpReply:
        reply = await net.fetch(
            call=HttpCall(
                method="POST",
                url=f"http://{address}{path}",
                headers=HEADERS,
                body=b'{"q":"x"}',
                wait_us=30_000_000,
                connection_limit=way.connection_limit,
            )
        )
        if not isinstance(reply, HttpReply) or reply.status != 200:
            raise OSError(f"{way.name}: {reply}")
        return reply

    async def run(count: int) -> None:
        for _ in range(count):
            await fetch("/v1/shards/s1/search")

    async def run_all(count: int) -> None:
        await asyncio.gather(*(run(count // AT_ONCE) for _ in range(AT_ONCE)))

    await run_all(WARM_UP)
    server = int((await fetch("/spent")).body)
    caller, wall = time.process_time_ns(), time.monotonic_ns()
    await run_all(calls)
    caller, wall = time.process_time_ns() - caller, time.monotonic_ns() - wall
    server = int((await fetch("/spent")).body) - server
    await fetch("/stop")
    done = calls // AT_ONCE * AT_ONCE
    return {
        name: round(value / done / 1000, 1)
        for name, value in (
            ("caller_us", caller),
            ("server_us", server),
            ("both_us", caller + server),
            ("wall_us", wall),
        )
    }


def run_way(*, way: Way, calls: int) -> dict[str, float]:
    """Processor and wall time for each call, in microseconds."""
    address = free_address()
    mine, other = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(
        target=_server, args=(address, way.is_old, other), daemon=True
    )
    process.start()
    try:
        mine.recv()
        return asyncio.run(_call(way=way, address=address, calls=calls))
    finally:
        process.join(timeout=5)
        process.kill()


def measure_http(*, calls: int, turns: int) -> str:
    """All ways, in turns; medians over the turns, and every turn."""
    rows: dict[str, list[dict[str, float]]] = {way.name: [] for way in WAYS}
    for _ in range(turns):
        for way in WAYS:
            rows[way.name].append(run_way(way=way, calls=calls))
    lines = [f"{calls} calls in each of {turns} turns, {AT_ONCE} at once, medians"]
    for name, turns_of in rows.items():
        middle = {key: statistics.median(row[key] for row in turns_of) for key in turns_of[0]}
        lines.append(f"{name}: {json.dumps(middle)}")
        lines.append(f"  both_us of each turn: {[row['both_us'] for row in turns_of]}")
    return "\n".join(lines)
