"""Replaying a day against a live fleet, at true or scaled speed."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.common.recording.format import Row

EXTRA_WAIT_US = 1_000_000
IN_FLIGHT_AT_MOST = 512


def call_of(*, row: Row, address: str) -> HttpCall:
    """The call that a row records, to be sent to an address.

    >>> call_of(row={"method": "GET", "path": "/p", "time_left_us": 5}, address="a").url
    'http://a/p'
    """
    headers = {"Kelp-Time-Left-Us": str(row["time_left_us"])}
    if row.get("content_type"):
        headers["Content-Type"] = row["content_type"]
    return HttpCall(
        method=row["method"],
        url=f"http://{address}{row['path']}",
        headers=headers,
        body=base64.b64decode(row.get("body", "")),
        wait_us=row["time_left_us"] + EXTRA_WAIT_US,
    )


def put_of(*, row: Row, address: str, replaces: int) -> HttpCall:
    """The put that a row records, on the version that is in force now."""
    wait_us = row.get("time_left_us", 10_000_000)
    return HttpCall(
        method="PUT",
        url=f"http://{address}/v1/configuration",
        headers={
            "If-Match": f'"{replaces}"',
            "Kelp-Put-Id": row["put_id"],
            "Kelp-Time-Left-Us": str(wait_us),
        },
        body=base64.b64decode(row["document"]),
        wait_us=wait_us + EXTRA_WAIT_US,
    )


def result_of(*, row: Row, number: int, reply: HttpReply | KelpstageError, took_us: int) -> Row:
    """What came of a call, as a row of the result.

    >>> from kelpstage.common.errors.transport import ConnectError
    >>> result_of(row={"at_us": 3, "path": "/p"}, number=0,
    ...     reply=ConnectError(address="a"), took_us=9)["end"]
    'connect_refused'
    """
    out: Row = {
        "what": "result",
        "at_us": row["at_us"],
        "number": number,
        "path": row.get("path", "/v1/configuration"),
        "took_us": took_us,
    }
    if isinstance(reply, KelpstageError):
        return out | {"status": 0, "end": reply.kind}
    out["status"] = reply.status
    if reply.status != 200:
        return out | {"end": _kind(body=reply.body)}
    out["end"] = "ok"
    if "kelp-coverage" in reply.headers:
        out["coverage"] = float(reply.headers["kelp-coverage"])
        out["version"] = int(reply.headers["kelp-configuration"])
    return out


def _kind(*, body: bytes) -> str:
    try:
        return str(json.loads(body)["defect"]["kind"])
    except (ValueError, KeyError, TypeError):
        return "untyped"


@dataclass(kw_only=True)
class Replay:
    """One run of a day."""

    ports: Ports
    rows: list[Row]
    edge_of: Callable[[int], str]
    core_of: Callable[[int], str] | None
    speed: float = 1.0
    on_fault: Callable[[Row], Awaitable[None]] | None = None
    results: list[Row] = field(default_factory=list)
    skipped: int = 0
    version: int = 0
    _open: int = 0

    async def run(self) -> None:
        """Send everything at its time; an open-loop replay never waits for verdicts,
        but for more than a bound of them in flight."""
        clock = self.ports.clock
        started_us = clock.now_us()
        tasks = []
        for number, row in enumerate(self.rows):
            work = self._work(row=row, number=number)
            if work is None:
                continue
            due_us = started_us + int(row["at_us"] / self.speed)
            await clock.sleep(us=due_us - clock.now_us())
            while self._open >= IN_FLIGHT_AT_MOST:
                await clock.sleep(us=1_000)
            tasks.append(self.ports.spawn(work()))
        if tasks:
            await asyncio.wait(tasks)
        self.results.sort(key=lambda row: row["number"])

    def _work(self, *, row: Row, number: int) -> Callable[[], Awaitable[None]] | None:
        if row["what"] == "call":
            return lambda: self._call(row=row, number=number)
        if row["what"] == "put" and self.core_of is not None:
            return lambda: self._put(row=row, number=number)
        if row["what"] == "fault" and self.on_fault is not None:
            return lambda: self.on_fault(row)
        self.skipped += row["what"] in ("put", "fault")
        return None

    async def _send(self, *, row: Row, number: int, call: HttpCall) -> HttpReply | KelpstageError:
        clock = self.ports.clock
        self._open += 1
        sent_us = clock.now_us()
        reply = await self.ports.net.fetch(call=call)
        self._open -= 1
        self.results.append(
            result_of(row=row, number=number, reply=reply, took_us=clock.now_us() - sent_us)
        )
        return reply

    async def _call(self, *, row: Row, number: int) -> None:
        call = call_of(row=row, address=self.edge_of(number))
        await self._send(row=row, number=number, call=call)

    async def _put(self, *, row: Row, number: int) -> None:
        """Writes replace the version in force here, which is not the day's."""
        address = self.core_of(number)
        now = await self.ports.net.fetch(
            call=HttpCall(method="GET", url=f"http://{address}/v1/configuration", wait_us=5_000_000)
        )
        if isinstance(now, HttpReply) and now.status == 200:
            self.version = int(now.headers["etag"].strip('"'))
        call = put_of(row=row, address=address, replaces=self.version)
        await self._send(row=row, number=number, call=call)


def read_results(*, rows: list[Row]) -> list[Row]:
    """The results among a file's rows.

    >>> read_results(rows=[{"what": "begin", "at_us": 0}])
    []
    """
    return [row for row in rows if row["what"] == "result"]


def summary_of_results(*, results: list[Row]) -> dict[str, Any]:
    """Ends, coverage and times of a result.

    >>> summary_of_results(results=[{"end": "ok", "took_us": 5, "coverage": 1.0}])["ends"]
    {'ok': 1}
    """
    ends: dict[str, int] = {}
    for row in results:
        ends[row["end"]] = ends.get(row["end"], 0) + 1
    covered = [row["coverage"] for row in results if "coverage" in row]
    times = sorted(row["took_us"] for row in results if row["end"] == "ok")

    def at(share: float) -> int:
        return times[min(len(times) - 1, int(len(times) * share))] if times else 0

    return {
        "calls": len(results),
        "ends": dict(sorted(ends.items())),
        "partial": sum(c < 1 for c in covered),
        "coverage": round(sum(covered) / len(covered), 5) if covered else None,
        "took_us": {"p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "max": at(1.0)},
    }
