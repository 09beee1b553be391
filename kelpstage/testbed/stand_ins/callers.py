"""Stand-in callers: open-loop arrivals by kind of call; each reply is checked on arrival."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass, field
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.testbed.stand_ins.platform import Platform
from kelpstage.testbed.stand_ins.records import QUERIES, RECORD_COUNT, Cut, best, record


@dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of call: its rate, its deadline and its limit."""

    name: str
    per_second: float
    time_left_us: int
    limit: int | None = None
    is_single: bool = False


@dataclass(frozen=True, kw_only=True)
class PreparedCall:
    """A call before it is sent, and its row of the history."""

    kind: Kind
    call: HttpCall
    query: str
    single: tuple[str, int] | None  # shard and number of the requested record
    row: dict[str, Any]


@dataclass(kw_only=True)
class Callers:
    """Sends calls at the rates of a deployment and checks the replies."""

    ports: Ports
    platform: Platform
    collection: str
    kinds: list[Kind]
    cuts: dict[str, Cut]
    zones: list[str]
    current_cut: Callable[[], str]
    note: Callable[[dict], None]
    quorum: int
    is_open: bool = True
    serial: int = 0
    in_flight: int = 0
    errors: list[str] = field(default_factory=list)

    async def run(self, *, kind: Kind) -> None:
        """Send calls of one kind as a Poisson process (open loop: it does not wait for replies)."""
        rand, clock = self.ports.rand, self.ports.clock
        due_us = clock.now_us()
        while self.is_open:
            due_us += int(rand.expovariate(kind.per_second) * 1_000_000)
            await clock.sleep(us=due_us - clock.now_us())
            if self.is_open:
                self.ports.spawn(self.call(kind=kind))

    async def call(self, *, kind: Kind) -> None:
        """Send one call to a ready node and record its outcome as a row of the history.

        If no node is ready, the row ends with `no_node` and nothing is sent.
        """
        node = self.platform.choose_node(zone=self.ports.rand.choice(self.zones))
        if node is None:
            row = self._row(kind=kind, node=None)
            row |= {"end": "no_node", "done_us": row["sent_us"], "status": 0}
            self.note(row)
            return
        prepared = self.prepare(kind=kind, node=node)
        self.in_flight += 1
        reply = await self.ports.net.fetch(call=prepared.call)
        self.in_flight -= 1
        if not isinstance(reply, KelpstageError):
            self.record_reply(prepared=prepared, reply=reply)
            return
        if isinstance(reply, ConnectError):
            self.platform.mark_not_ready(name=node)
        done = {"done_us": self.ports.clock.now_us(), "end": reply.kind, "status": 0}
        self.note(prepared.row | done)

    def _row(self, *, kind: Kind, node: str | None) -> dict[str, Any]:
        self.serial += 1
        return {
            "event": "call",
            "call": f"{kind.name}-{self.serial}",
            "kind": kind.name,
            "node": node,
            "sent_us": self.ports.clock.now_us(),
            "limit": kind.limit,
            "single": kind.is_single,
            "quorum": 1 if kind.is_single else self.quorum,
            "time_left_us": kind.time_left_us,
        }

    def prepare(self, *, kind: Kind, node: str, address: str = "") -> PreparedCall:
        """Returns a call of a kind to a node, with the data to check its reply.

        `address` is that of an open connection: its node may have left the platform's list.
        """
        row = self._row(kind=kind, node=node)
        query = self.ports.rand.choice(QUERIES)
        call, expected = self._build_call(
            kind=kind,
            name=row["call"],
            address=address or self.platform.nodes[node][1],
            query=query,
        )
        if expected is not None:
            row |= {"shard": expected[0], "asked_cut": self.current_cut()}
        row["ask"] = {
            "method": call.method,
            "path": "/" + call.url.split("/", 3)[3],
            "time_left_us": kind.time_left_us,
            "content_type": "application/json",
            "body": base64.b64encode(call.body).decode(),
        }
        return PreparedCall(kind=kind, call=call, query=query, single=expected, row=row)

    def record_reply(self, *, prepared: PreparedCall, reply: HttpReply) -> None:
        """Check a reply and record the call."""
        check_result = self.check_reply(
            kind=prepared.kind, reply=reply, query=prepared.query, single=prepared.single
        )
        self.note(prepared.row | {"done_us": self.ports.clock.now_us()} | check_result)

    def record_unanswered(self, *, prepared: PreparedCall, end: str) -> None:
        """Record a call on a persistent connection that got no complete reply."""
        done = {"event": "kept_call", "done_us": self.ports.clock.now_us(), "end": end}
        self.note(prepared.row | done | {"status": 0})

    def _build_call(
        self, *, kind: Kind, name: str, address: str, query: str
    ) -> tuple[HttpCall, tuple[str, int] | None]:
        base = f"http://{address}/v1/collections/{self.collection}"
        headers = {
            "Kelp-Time-Left-Us": str(kind.time_left_us),
            "Content-Type": "application/json",
        }
        wait_us = kind.time_left_us + 500_000
        if kind.is_single:
            cut = self.cuts[self.current_cut()]
            number = self.ports.rand.randrange(RECORD_COUNT)
            shard = cut.shard_of(number=number)
            url = f"{base}/shards/{shard}/records/{number}~{name}"
            call = HttpCall(method="GET", url=url, headers=headers, wait_us=wait_us)
            return call, (shard, number)
        limit = "" if kind.limit is None else f"?limit={kind.limit}"
        body = json.dumps({"q": query, "call": name}).encode()
        call = HttpCall(
            method="POST", url=f"{base}/search{limit}", headers=headers, body=body, wait_us=wait_us
        )
        return call, None

    def check_reply(
        self, *, kind: Kind, reply: HttpReply, query: str, single: tuple[str, int] | None
    ) -> dict[str, Any]:
        """Compare a reply with the oracle byte by byte; returns the fields for its row."""
        row: dict[str, Any] = {"status": reply.status}
        if reply.status != 200:
            row["retry_after"] = reply.headers.get("retry-after")
            row["end"] = error_kind(body=reply.body)
            row["defect_version"] = error_version(body=reply.body)
            row["detail"] = reply.body[:600].decode("utf-8", "replace")
            return row
        head, raw = split_reply(body=reply.body)
        row |= {
            "end": "ok",
            "version": head["configuration"],
            "coverage": head["coverage"],
            "warning": head["warning"],
            "parts": [[p["shard"], p["backend"], p["cut"], p["count"]] for p in head["parts"]],
            "missing": [m["shard"] for m in head["missing"]],
            "causes": [m["cause"] for m in head["missing"]],
        }
        shards = [p["shard"] for p in head["parts"]]
        cut_names = {p["cut"] for p in head["parts"]}
        if len(cut_names) != 1:
            row["wrong"] = f"cuts mixed: {sorted(cut_names)}"
            return row
        cut = self.cuts[cut_names.pop()]
        row["cut"] = cut.name
        if single is not None:
            expected = record(query="name-00", number=single[1])[1]
        else:
            expected = best(query=query, cut=cut, shards=frozenset(shards), limit=kind.limit)
        if raw != expected:
            row["wrong"] = "body is not the best records of the parts it names"
        return row


def split_reply(*, body: bytes) -> tuple[dict, bytes]:
    """Returns the fields of a reply without its records, and the exact bytes of the records.

    >>> split_reply(body=b'{"a":1,"records":[{},{}]}')
    ({'a': 1}, b'{},{}')
    """
    mark = b',"records":['
    start = body.index(mark)
    return json.loads(body[:start] + b"}"), body[start + len(mark) : -2]


def error_version(*, body: bytes) -> int | None:
    """Returns the configuration version that an error body contains; `None` if there is none.

    >>> error_version(body=b'{"defect":{"kind":"k","configuration":3}}')
    3
    """
    try:
        return json.loads(body)["defect"].get("configuration")
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def error_kind(*, body: bytes) -> str:
    """Returns the kind in an error body; `untyped` if there is none."""
    try:
        return json.loads(body)["defect"]["kind"]
    except (ValueError, KeyError, TypeError):
        return "untyped"
