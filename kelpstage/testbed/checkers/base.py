"""What checkers share: violations, and plain ways to look at a history.

Checkers examine what callers, stand-ins and operators observed. They use no code
of the daemons.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Callable

GRACE_US = 6_000_000
NEVER_US = 10**15


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A requirement that a history violates; `rule` names the checker's rule."""

    rule: str
    why: str
    at_us: int


Checker = Callable[[list[dict]], list[Violation]]


def rows_of(*, history: list[dict], event: str) -> list[dict]:
    """The rows of one event.

    >>> rows_of(history=[{"event": "call"}, {"event": "put"}], event="put")
    [{'event': 'put'}]
    """
    return [row for row in history if row["event"] == event]


def good_calls(*, history: list[dict]) -> list[dict]:
    """Calls that ended in a success."""
    return [row for row in rows_of(history=history, event="call") if row.get("end") == "ok"]


def empty(*, rule: str, what: str) -> list[Violation]:
    """The violation of a history without the rows that a checker needs."""
    return [Violation(rule=rule, why=f"nothing to judge: no {what}", at_us=0)]


@dataclass(frozen=True, kw_only=True)
class Excuse:
    """A span in which a fault excuses something of some nodes, or of all."""

    what: str
    nodes: frozenset | None
    begin_us: int
    end_us: int
    backends: frozenset = frozenset()
    kinds: frozenset = frozenset()

    def overlaps(self, *, begin_us: int, end_us: int) -> bool:
        """Does the span share a moment with `begin_us` to `end_us`, both ends included?"""
        return begin_us <= self.end_us and end_us >= self.begin_us

    def covers(self, *, node: str | None, begin_us: int, end_us: int) -> bool:
        """Does it excuse something at this node, or at every node, in the span?"""
        is_node = self.nodes is None or node in self.nodes
        return is_node and self.overlaps(begin_us=begin_us, end_us=end_us)


def excuses(*, history: list[dict], kinds: tuple[str, ...]) -> list[Excuse]:
    """Spans of faults that excuse one of `kinds`: "edge" (what was at the `nodes`),
    "line" (updates that could not travel to or from the `nodes`), "backend" (what only
    the `backends` could have served), "machine" (late replies: other work took the
    machine of a live test).

    A fault without an `end` row lasts to the end of the history.
    """
    ends = {row["fault"]: row["at_us"] for row in history if row["event"] == "fault_end"}
    out = []
    for row in rows_of(history=history, event="fault"):
        if not set(row.get("excuses", ())) & set(kinds):
            continue
        nodes = row.get("nodes")
        end_us = ends.get(row.get("fault"), NEVER_US)
        out.append(
            Excuse(
                what=row["what"],
                nodes=None if nodes is None else frozenset(nodes),
                begin_us=row["at_us"],
                end_us=end_us + row.get("after_us", 0),
                backends=frozenset(row.get("backends", ())),
                kinds=frozenset(row["excuses"]),
            )
        )
    if set(kinds) & {"edge", "away"}:
        out += blind_spans(history=history)
    return out


LEASED_US = 2_000_000
LED_US = 4_000_000


def blind_spans(*, history: list[dict]) -> list[Excuse]:
    """Spans in which no node can know what was acknowledged: no two cores are up, and
    so many edges have started since two were that those left are no majority. None
    may serve then, until two cores have been up for as long as an election and a
    renewal take. Worked out from starts and ends alone.

    >>> blind_spans(history=[])
    []
    """
    rows = [
        row
        for row in sorted(history, key=lambda row: row.get("at_us", 0))
        if row["event"] == "core" or row["event"] in ("started", "ended") and "edge" in row
    ]
    if not any(row["event"] == "core" for row in rows):
        return []  # the history has no rows of cores: nothing to excuse
    cores: set = set()
    knowing: dict[str, bool] = {}  # edges that are up: have they had time for a lease?
    led_us: int | None = None
    started: dict[str, int] = {}
    spans: list[Excuse] = []
    since_us: int | None = None
    for row in rows:
        at_us = row["at_us"]
        if led_us is not None:
            for edge, began_us in started.items():
                knowing[edge] |= at_us - max(led_us, began_us) >= LEASED_US
        if row["event"] == "core":
            (cores.add if row["is_up"] else cores.discard)(row["core"])
            led_us = (led_us or at_us) if len(cores) >= 2 else None
        elif row["event"] == "started":
            knowing[row["edge"]], started[row["edge"]] = False, at_us
        else:
            knowing.pop(row["edge"], None)
            started.pop(row["edge"], None)
        membership = {r["edge"] for r in rows if r["event"] == "started" and r["at_us"] <= at_us}
        is_blind = led_us is None and sum(knowing.values()) * 2 <= len(membership)
        if is_blind and since_us is None:
            since_us = at_us
        elif not is_blind and since_us is not None:
            spans.append(_blind(begin_us=since_us, end_us=at_us + LED_US))
            since_us = None
    if since_us is not None:
        spans.append(_blind(begin_us=since_us, end_us=NEVER_US))
    return spans


def _blind(*, begin_us: int, end_us: int) -> Excuse:
    kinds = frozenset(("edge", "away"))
    return Excuse(what="blind", nodes=None, begin_us=begin_us, end_us=end_us, kinds=kinds)


def is_excused(*, row: dict, spans: list[Excuse]) -> bool:
    """Does a fault excuse what became of this call?"""
    if row.get("node") is None:  # the platform had no ready node for it
        return any(
            "away" in span.kinds and span.overlaps(begin_us=row["sent_us"], end_us=row["done_us"])
            for span in spans
        )
    return any(
        span.covers(node=row["node"], begin_us=row["sent_us"], end_us=row["done_us"])
        for span in spans
    )


LINE_US = 60_000  # for a reply to reach its caller, in addition to the distance


def line_us(*, history: list[dict]) -> int:
    """How long a message and its reply may be under way between two machines.

    >>> line_us(history=[{"event": "lines", "one_way_us": 5}])
    60010
    """
    far = [row["one_way_us"] for row in rows_of(history=history, event="lines")]
    return LINE_US + 2 * max(far, default=0)


@dataclass(frozen=True, kw_only=True)
class Put:
    """One put as its operator saw it."""

    put_id: str
    version: int
    sent_us: int
    acked_us: int
    document: str
    cut: str
    quorum: int
    drained: tuple[str, ...]
    serves: dict[str, list[str]]


def acknowledged(*, history: list[dict]) -> list[Put]:
    """Puts that were acknowledged with status 200, by version."""
    puts = [
        Put(
            put_id=row["put_id"],
            version=row["body"]["version"],
            sent_us=row["sent_us"],
            acked_us=row["at_us"],
            document=row.get("digest", ""),
            cut=row.get("cut", ""),
            quorum=row.get("quorum", 0),
            drained=tuple(row.get("drained", ())),
            serves=row.get("serves", {}),
        )
        for row in rows_of(history=history, event="put")
        if row.get("status") == 200
    ]
    return sorted(puts, key=lambda put: (put.version, put.acked_us))


def in_force(*, puts: list[Put], begin_us: int, end_us: int, late_us: int = 0) -> list[Put]:
    """Puts under which something between two moments may have been handled: the
    newest acknowledged before (by `late_us`), and those that came after it.

    >>> in_force(puts=[], begin_us=0, end_us=9)
    []
    """
    before = [put.version for put in puts if put.acked_us <= begin_us - late_us]
    floor = max(before, default=0)
    return [put for put in puts if put.version >= floor and put.sent_us <= end_us]


UNSETTLED = ("wait_over", "line_lost", "unresolved")


def unsettled_puts(*, history: list[dict]) -> list[dict]:
    """Puts whose operator got no final reply: they may be in force."""
    return [
        row
        for row in rows_of(history=history, event="put")
        if row.get("status") != 200 and row.get("end") in UNSETTLED
    ]
