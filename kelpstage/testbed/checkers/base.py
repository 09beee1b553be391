"""Types and functions shared by the checkers of recorded histories.

Checkers examine only what callers, stand-ins and operators observed. They use no code
of the daemons.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Callable

GRACE_US = 6_000_000
NEVER_US = 10**15


@dataclass(frozen=True, kw_only=True)
class Violation:
    """A rule that a history violates, the reason and the time of the violation."""

    rule: str
    why: str
    at_us: int


Checker = Callable[[list[dict]], list[Violation]]


def rows_of(*, history: list[dict], event: str) -> list[dict]:
    """Return the rows of one event.

    >>> rows_of(history=[{"event": "call"}, {"event": "put"}], event="put")
    [{'event': 'put'}]
    """
    return [row for row in history if row["event"] == event]


def successful_calls(*, history: list[dict]) -> list[dict]:
    """Return the calls that ended in a success."""
    return [row for row in rows_of(history=history, event="call") if row.get("end") == "ok"]


def no_rows_violation(*, rule: str, what: str) -> list[Violation]:
    """Return the violation of a history that lacks the rows that a checker needs."""
    return [Violation(rule=rule, why=f"nothing to check: no {what}", at_us=0)]


@dataclass(frozen=True, kw_only=True)
class Excuse:
    """A span in which a fault excuses failures at some nodes, or at all of them."""

    what: str
    nodes: frozenset | None
    begin_us: int
    end_us: int
    backends: frozenset = frozenset()
    kinds: frozenset = frozenset()

    def overlaps(self, *, begin_us: int, end_us: int) -> bool:
        """True if the span overlaps `begin_us` to `end_us`, both ends included."""
        return begin_us <= self.end_us and end_us >= self.begin_us

    def covers(self, *, node: str | None, begin_us: int, end_us: int) -> bool:
        """True if it excuses failures at this node between `begin_us` and `end_us`."""
        is_node = self.nodes is None or node in self.nodes
        return is_node and self.overlaps(begin_us=begin_us, end_us=end_us)


def excuses(*, history: list[dict], kinds: tuple[str, ...]) -> list[Excuse]:
    """Return the spans of faults that excuse one of `kinds`: "edge" (calls at the `nodes`),
    "line" (updates that could not reach or leave the `nodes`), "backend" (calls that only
    the `backends` could have served), "machine" (late replies, because other processes used
    the machine of a live test), "away" (calls for which no node was ready).

    A fault without a `fault_end` row lasts to the end of the history.
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


LEASE_ACQUISITION_US = 2_000_000
ELECTION_AND_RENEWAL_US = 4_000_000


def blind_spans(*, history: list[dict]) -> list[Excuse]:
    """Return the spans in which no node can know which configuration was acknowledged: fewer
    than two cores are up, and edges that held a lease from a time with two cores are no
    majority any more. No edge may serve then, until two cores have been up for as long as an
    election and a lease renewal take. Only starts and ends of processes are used.

    >>> blind_spans(history=[])
    []
    """
    rows = [
        row
        for row in sorted(history, key=lambda row: row.get("at_us", 0))
        if row["event"] == "core" or row["event"] in ("started", "ended") and "edge" in row
    ]
    if not any(row["event"] == "core" for row in rows):
        return []  # without rows of cores, the state of the cores is unknown
    cores: set = set()
    leased: dict[str, bool] = {}  # running edges: could they have acquired a lease?
    quorum_us: int | None = None
    started: dict[str, int] = {}
    spans: list[Excuse] = []
    since_us: int | None = None
    for row in rows:
        at_us = row["at_us"]
        if quorum_us is not None:
            for edge, began_us in started.items():
                leased[edge] |= at_us - max(quorum_us, began_us) >= LEASE_ACQUISITION_US
        if row["event"] == "core":
            (cores.add if row["is_up"] else cores.discard)(row["core"])
            quorum_us = (quorum_us or at_us) if len(cores) >= 2 else None
        elif row["event"] == "started":
            leased[row["edge"]], started[row["edge"]] = False, at_us
        else:
            leased.pop(row["edge"], None)
            started.pop(row["edge"], None)
        membership = {r["edge"] for r in rows if r["event"] == "started" and r["at_us"] <= at_us}
        is_blind = quorum_us is None and sum(leased.values()) * 2 <= len(membership)
        if is_blind and since_us is None:
            since_us = at_us
        elif not is_blind and since_us is not None:
            spans.append(_blind_span(begin_us=since_us, end_us=at_us + ELECTION_AND_RENEWAL_US))
            since_us = None
    if since_us is not None:
        spans.append(_blind_span(begin_us=since_us, end_us=NEVER_US))
    return spans


def _blind_span(*, begin_us: int, end_us: int) -> Excuse:
    kinds = frozenset(("edge", "away"))
    return Excuse(what="blind", nodes=None, begin_us=begin_us, end_us=end_us, kinds=kinds)


def is_excused(*, row: dict, spans: list[Excuse]) -> bool:
    """True if a fault excuses the outcome of this call."""
    if row.get("node") is None:  # the platform had no ready node for it
        return any(
            "away" in span.kinds and span.overlaps(begin_us=row["sent_us"], end_us=row["done_us"])
            for span in spans
        )
    return any(
        span.covers(node=row["node"], begin_us=row["sent_us"], end_us=row["done_us"])
        for span in spans
    )


REPLY_ALLOWANCE_US = 60_000  # for a reply to reach its caller, beyond the network delay


def max_round_trip_us(*, history: list[dict]) -> int:
    """Return how long a message and its reply may be in flight between two machines.

    >>> max_round_trip_us(history=[{"event": "lines", "one_way_us": 5}])
    60010
    """
    delays_us = [row["one_way_us"] for row in rows_of(history=history, event="lines")]
    return REPLY_ALLOWANCE_US + 2 * max(delays_us, default=0)


@dataclass(frozen=True, kw_only=True)
class Put:
    """One configuration write as its operator saw it."""

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
    """Return the writes acknowledged with status 200, sorted by version."""
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


def possibly_in_force(
    *, puts: list[Put], begin_us: int, end_us: int, late_us: int = 0
) -> list[Put]:
    """Return the writes that may have been in force between two times: the newest one that
    was acknowledged at least `late_us` before `begin_us`, and all later ones sent by `end_us`.

    >>> possibly_in_force(puts=[], begin_us=0, end_us=9)
    []
    """
    before = [put.version for put in puts if put.acked_us <= begin_us - late_us]
    floor = max(before, default=0)
    return [put for put in puts if put.version >= floor and put.sent_us <= end_us]


UNRESOLVED_ENDS = ("wait_over", "line_lost", "unresolved")


def unresolved_writes(*, history: list[dict]) -> list[dict]:
    """Return the rows of writes without a final reply: they may be in force."""
    return [
        row
        for row in rows_of(history=history, event="put")
        if row.get("status") != 200 and row.get("end") in UNRESOLVED_ENDS
    ]
