"""Stand-in callers: open-loop arrivals by kind, each reply checked on arrival."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass, field
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.testbed.stand_ins.platform import Platform
from kelpstage.testbed.stand_ins.records import QUERIES, UNIVERSE, Cut, best, record


@dataclass(frozen=True, kw_only=True)
class Kind:
    """One kind of call: its rate and how long its callers wait."""

    name: str
    per_second: float
    time_left_us: int
    limit: int | None = None
    is_single: bool = False


@dataclass(frozen=True, kw_only=True)
class PreparedCall:
    """A call that is about to be sent, and the row of the history that it becomes."""

    kind: Kind
    call: HttpCall
    query: str
    single: tuple[str, int] | None  # shard and number of the record that is asked for
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
        """Open-loop arrivals of one kind, by a random process that never waits for replies."""
        rand, clock = self.ports.rand, self.ports.clock
        due_us = clock.now_us()
        while self.is_open:
            due_us += int(rand.expovariate(kind.per_second) * 1_000_000)
            await clock.sleep(us=due_us - clock.now_us())
            if self.is_open:
                self.ports.spawn(self.call(kind=kind))

    async def call(self, *, kind: Kind) -> None:
        """Send one call by a ready node and note its outcome as a row of the history.

        Without a ready node the row ends in `no_node` at once.
        """
        node = self.platform.hand_on(zone=self.ports.rand.choice(self.zones))
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
            self.note_reply(prepared=prepared, reply=reply)
            return
        if isinstance(reply, ConnectError):
            self.platform.forget(name=node)
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

    def prepare(self, *, kind: Kind, node: str) -> PreparedCall:
        """A call of a kind to a node, with what its reply is compared to."""
        row = self._row(kind=kind, node=node)
        query = self.ports.rand.choice(QUERIES)
        call, expected = self._shape(kind=kind, name=row["call"], node=node, query=query)
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

    def note_reply(self, *, prepared: PreparedCall, reply: HttpReply) -> None:
        """Judge a reply, and note the call."""
        judged = self.judge(
            kind=prepared.kind, reply=reply, query=prepared.query, single=prepared.single
        )
        self.note(prepared.row | {"done_us": self.ports.clock.now_us()} | judged)

    def note_unanswered(self, *, prepared: PreparedCall, end: str) -> None:
        """Note a call on a kept connection that got no complete reply."""
        done = {"event": "kept_call", "done_us": self.ports.clock.now_us(), "end": end}
        self.note(prepared.row | done | {"status": 0})

    def _shape(
        self, *, kind: Kind, name: str, node: str, query: str
    ) -> tuple[HttpCall, tuple[str, int] | None]:
        base = f"http://{self.platform.nodes[node][1]}/v1/collections/{self.collection}"
        headers = {
            "Kelp-Time-Left-Us": str(kind.time_left_us),
            "Content-Type": "application/json",
        }
        wait_us = kind.time_left_us + 500_000
        if kind.is_single:
            cut = self.cuts[self.current_cut()]
            number = self.ports.rand.randrange(UNIVERSE)
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

    def judge(
        self, *, kind: Kind, reply: HttpReply, query: str, single: tuple[str, int] | None
    ) -> dict[str, Any]:
        """Compare a reply with the oracle, byte for byte; the fields for its history row."""
        row: dict[str, Any] = {"status": reply.status}
        if reply.status != 200:
            row["retry_after"] = reply.headers.get("retry-after")
            row["end"] = error_kind(body=reply.body)
            row["defect_version"] = error_version(body=reply.body)
            row["detail"] = reply.body[:600].decode("utf-8", "replace")
            return row
        head, raw = split_verdict(body=reply.body)
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


def split_verdict(*, body: bytes) -> tuple[dict, bytes]:
    """A reply's head, and the exact bytes between its records' brackets.

    >>> split_verdict(body=b'{"a":1,"records":[{},{}]}')
    ({'a': 1}, b'{},{}')
    """
    mark = b',"records":['
    place = body.index(mark)
    return json.loads(body[:place] + b"}"), body[place + len(mark) : -2]


def error_version(*, body: bytes) -> int | None:
    """The version of the configuration that an error names, if it names one.

    >>> error_version(body=b'{"defect":{"kind":"k","configuration":3}}')
    3
    """
    try:
        return json.loads(body)["defect"].get("configuration")
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def error_kind(*, body: bytes) -> str:
    """The kind that an error's body names, else `untyped`."""
    try:
        return json.loads(body)["defect"]["kind"]
    except (ValueError, KeyError, TypeError):
        return "untyped"
