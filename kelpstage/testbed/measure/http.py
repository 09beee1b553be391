"""Measures the processor time of an HTTP call: tornado's server and curl client compared with
the product's transport, in turns; client and server are separate processes on loopback."""

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

CONCURRENCY = 16
WARM_UP_CALLS = 200
BODY = b"0123456789abcdef" * 20
HEADERS = {
    "Host": "host.example",
    "Accept": "*/*",
    "Content-Type": "application/octet-stream",
    "Kelp-Search": "node-02-60a24181e4000-48",
    "Kelp-Time-Left": "800000",
}


@dataclass(frozen=True, kw_only=True)
class TransportVariant:
    """A client and server to compare."""

    name: str
    is_tornado: bool
    connection_limit: int


TRANSPORTS = (
    TransportVariant(
        name="tornado and curl, a connection each", is_tornado=True, connection_limit=0
    ),
    TransportVariant(name="own transport, a connection each", is_tornado=False, connection_limit=0),
    TransportVariant(
        name="own transport, kept connections", is_tornado=False, connection_limit=CONCURRENCY
    ),
)


def free_address() -> str:
    """Returns a loopback address, `host:port`, whose port was free when it was checked."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _make_net(*, is_tornado: bool) -> Any:
    return TornadoHttp() if is_tornado else LiveNet()


async def _serve(address: str, is_tornado: bool, pipe: Any) -> None:
    stop = asyncio.Event()

    async def answer(call: HttpCall) -> HttpReply:
        if call.url == "/spent":
            return HttpReply(status=200, body=str(time.process_time_ns()).encode())
        if call.url == "/stop":
            stop.set()
        return HttpReply(
            status=200, headers={"Content-Type": "application/octet-stream"}, body=BODY
        )

    await _make_net(is_tornado=is_tornado).serve_http(
        address=address, on_call=answer, body_limit=1 << 20
    )
    pipe.send("open")
    await stop.wait()


def _run_server(address: str, is_tornado: bool, pipe: Any) -> None:
    asyncio.run(_serve(address, is_tornado, pipe))


async def _measure_calls(
    *, variant: TransportVariant, address: str, calls: int
) -> dict[str, float]:
    net = _make_net(is_tornado=variant.is_tornado)

    async def fetch(path: str) -> HttpReply:
        reply = await net.fetch(
            call=HttpCall(
                method="POST",
                url=f"http://{address}{path}",
                headers=HEADERS,
                body=b'{"q":"x"}',
                wait_us=30_000_000,
                connection_limit=variant.connection_limit,
            )
        )
        if not isinstance(reply, HttpReply) or reply.status != 200:
            raise OSError(f"{variant.name}: {reply}")
        return reply

    async def run(count: int) -> None:
        for _ in range(count):
            await fetch("/v1/shards/s1/search")

    async def run_all(count: int) -> None:
        await asyncio.gather(*(run(count // CONCURRENCY) for _ in range(CONCURRENCY)))

    await run_all(WARM_UP_CALLS)
    server = int((await fetch("/spent")).body)
    caller, wall = time.process_time_ns(), time.monotonic_ns()
    await run_all(calls)
    caller, wall = time.process_time_ns() - caller, time.monotonic_ns() - wall
    server = int((await fetch("/spent")).body) - server
    await fetch("/stop")
    done = calls // CONCURRENCY * CONCURRENCY
    return {
        name: round(value / done / 1000, 1)
        for name, value in (
            ("caller_us", caller),
            ("server_us", server),
            ("both_us", caller + server),
            ("wall_us", wall),
        )
    }


def measure_transport(*, variant: TransportVariant, calls: int) -> dict[str, float]:
    """Returns processor time and wall time of a call in microseconds."""
    address = free_address()
    parent_end, child_end = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(
        target=_run_server, args=(address, variant.is_tornado, child_end), daemon=True
    )
    process.start()
    try:
        parent_end.recv()
        return asyncio.run(_measure_calls(variant=variant, address=address, calls=calls))
    finally:
        process.join(timeout=5)
        process.kill()


def measure_http(*, calls: int, turns: int) -> str:
    """Measures all transports in turns; returns the medians and the result of each turn as text."""
    rows: dict[str, list[dict[str, float]]] = {variant.name: [] for variant in TRANSPORTS}
    for _ in range(turns):
        for variant in TRANSPORTS:
            rows[variant.name].append(measure_transport(variant=variant, calls=calls))
    lines = [f"{calls} calls in each of {turns} turns, {CONCURRENCY} at once, medians"]
    for name, results in rows.items():
        medians = {key: statistics.median(row[key] for row in results) for key in results[0]}
        lines.append(f"{name}: {json.dumps(medians)}")
        lines.append(f"  both_us of each turn: {[row['both_us'] for row in results]}")
    return "\n".join(lines)
