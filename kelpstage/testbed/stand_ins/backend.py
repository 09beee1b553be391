"""A stand-in for an index server: replies with a stamp, random pauses, and faults on demand."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import Any, Callable

from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.testbed.stand_ins.records import Cut, part, seal, sealed_reply

SEARCH_PATH = re.compile(r"/v1/shards/([^/]+)/search")
RECORD_PATH = re.compile(r"/v1/shards/([^/]+)/records/([^/]+)")
SENDER_HEADER = "kelp-rig-by"  # set by the simulator alone
INVALID_REPLIES = (
    "stamp",
    "shard",
    "cut",
    "torn",
    "type",
    "status",
    "count",
    "garbled",
    "double",
    "score",
    "close",
    "swapped",
)


@dataclass(kw_only=True)
class BackendMode:
    """The current behaviour of a stand-in. `lie` is one of `INVALID_REPLIES`, or empty."""

    is_listening: bool = True
    is_draining: bool = False
    slow_us: int = 0
    lie: str = ""


@dataclass(kw_only=True)
class StandIn:
    """A stand-in backend; it may serve shards of several cuts."""

    name: str
    address: str
    shards: tuple[str, ...]
    cuts: dict[str, Cut]
    ports: Ports
    receipts: list[dict] = field(default_factory=list)
    mode: BackendMode = field(default_factory=BackendMode)
    pause_share: float = 0.002
    on_receipt: Callable[[dict], None] | None = None
    listener: Any = None
    signed_us: int = 0

    async def open(self) -> None:
        """Listen at the address; raises `OSError` if that fails."""
        outcome = await self.ports.net.serve_http(
            address=self.address, on_call=self.answer, body_limit=4 * 1024 * 1024
        )
        if not hasattr(outcome, "close"):
            raise OSError(f"{self.name}: {outcome}")
        self.listener = outcome
        self.mode.is_listening = True

    def close(self) -> None:
        """Stop listening; `open` starts it again."""
        self.mode.is_listening = False
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    async def set_mode(self, **fields: Any) -> None:
        """Change fields of the mode; `is_listening` opens or closes the listener."""
        listening = fields.pop("is_listening", None)
        for name, value in fields.items():
            setattr(self.mode, name, value)
        if fields.get("is_draining") is False:
            self.signed_us = 0
        if listening is False and self.listener is not None:
            self.close()
        if listening is True and self.listener is None:
            await self.open()

    async def answer(self, call: HttpCall) -> HttpReply | None:
        """Returns the reply to a call; `None` closes its connection."""
        if call.url == "/v1/health":
            self._store_receipt(receipt=self._new_receipt(event="probe", call=call))
            state = "draining" if self.mode.is_draining else "up"
            return self._json(body=json.dumps({"state": state}).encode())
        match = SEARCH_PATH.fullmatch(call.url) or RECORD_PATH.fullmatch(call.url)
        if match is None:
            return HttpReply(status=404, body=b"{}")
        shard = match.group(1)
        cut_name = call.headers.get("kelp-cut", "")
        is_search = len(match.groups()) == 1
        receipt = self._record_request(
            call=call, shard=shard, cut=cut_name, is_search=is_search, match=match
        )
        await self._simulate_latency()
        receipt["replied_us"] = self.ports.clock.now_us()
        if not self.mode.is_listening:
            return None
        cut = self.cuts.get(cut_name)
        if cut is None or shard not in self.shards or shard not in cut.shards:
            return HttpReply(status=404, headers={"Content-Type": "application/json"}, body=b"{}")
        if is_search:
            query = json.loads(call.body)["q"]
            return self._reply_or_fault(
                body=sealed_reply(query=query, cut=cut, shard=shard), shard=shard
            )
        number, _, _ = match.group(2).partition("~")
        rows = [
            data
            for _, data in part(query="name-00", cut=cut, shard=shard)
            if json.loads(data)["id"] == number
        ]
        return self._reply_or_fault(body=seal(shard=shard, cut=cut.name, rows=rows), shard=shard)

    def _new_receipt(self, *, event: str, call: HttpCall) -> dict:
        return {
            "event": event,
            "at_us": self.ports.clock.now_us(),
            "backend": self.name,
            "by": call.headers.get(SENDER_HEADER, ""),
            "is_draining": self.mode.is_draining,
            "signed_us": self.signed_us if self.mode.is_draining else 0,
        }

    def _store_receipt(self, *, receipt: dict) -> None:
        self.receipts.append(receipt)
        if self.on_receipt is not None:
            self.on_receipt(receipt)

    def _record_request(
        self, *, call: HttpCall, shard: str, cut: str, is_search: bool, match: Any
    ) -> dict:
        name = json.loads(call.body).get("call") if is_search else match.group(2).partition("~")[2]
        receipt = self._new_receipt(event="receipt", call=call) | {
            "shard": shard,
            "cut": cut,
            "call": name,
            "is_search": is_search,
            "replied_us": 0,
        }
        self._store_receipt(receipt=receipt)
        return receipt

    async def _simulate_latency(self) -> None:
        rand = self.ports.rand
        delay_us = 500 + int(rand.random() * 2_000) + self.mode.slow_us
        if rand.random() < self.pause_share:
            delay_us += 30_000 + int(rand.random() * 120_000)
        await self.ports.clock.sleep(us=delay_us)

    def _json(self, *, body: bytes, status: int = 200, kind: str = "application/json") -> HttpReply:
        headers = {"Content-Type": kind}
        if self.mode.is_draining:
            headers["Kelp-State"] = "draining"
            self.signed_us = self.signed_us or self.ports.clock.now_us()
        return HttpReply(status=status, headers=headers, body=body)

    def _reply_or_fault(self, *, body: bytes, shard: str) -> HttpReply | None:
        lie = self.mode.lie
        if not lie:
            return self._json(body=body)
        if lie == "close":
            return None
        if lie == "type":
            return self._json(body=body, kind="text/html")
        if lie == "status":
            return self._json(body=body, status=500)
        return self._json(body=damaged_body(body=body, lie=lie, shard=shard))


def damaged_body(*, body: bytes, lie: str, shard: str) -> bytes:
    """Returns the body of a reply, made invalid in one way.

    >>> damaged_body(body=b'{"shard": "s"}', lie="shard", shard="s")
    b'{"shard": "not-s"}'
    """
    if lie == "stamp":
        start = body.index(b'"stamp": "') + 10
        return (
            body[:start] + (b"0" if body[start : start + 1] != b"0" else b"1") + body[start + 1 :]
        )
    if lie == "shard":
        return body.replace(f'"{shard}"'.encode(), f'"not-{shard}"'.encode(), 1)
    if lie == "cut":
        return body.replace(b'"cut": "', b'"cut": "x', 1)
    if lie == "torn":
        return body[: len(body) * 2 // 3]
    if lie == "count":
        return body.replace(b'"count": ', b'"count": 1', 1)
    if lie == "garbled":
        middle = len(body) // 2
        return body[:middle] + b"\xff\xfe" + body[middle + 2 :]
    if lie == "double":
        start = body.index(b'"records": [') + 12
        first = body[start : body.index(b"}", start) + 1]
        return body[:start] + first + b", " + body[start:]
    if lie == "score":
        return body.replace(b'"score":', b'"scorn":', 1)
    if lie == "swapped":
        rows = json.loads(body)["records"]
        return body.replace(
            f'"id":"{rows[0]["id"]}"'.encode(), f'"id":"{rows[-1]["id"]}"'.encode(), 1
        )
    return body
