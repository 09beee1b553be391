"""Operators, edges, and the messages between them and the nodes.

These are values only; `sessions` holds the rules by which calls are answered.
"""

from __future__ import annotations

import functools
from dataclasses import dataclass, field
from typing import Any

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases

ACKNOWLEDGED_KEPT = 40
PADDING = 200  # every second document is long enough that the leader proposes a delta


@dataclass(frozen=True, kw_only=True)
class Order:
    """A configuration write of an operator: a compare-and-set on its base version `expected`."""

    operator: str
    expected: int
    version: int
    document: bytes
    put_id: str

    @functools.cached_property
    def digest(self) -> bytes:
        """The digest that identifies repeats of the order."""
        return core.order_digest(
            expected=self.expected, version=self.version, document=self.document
        )


@dataclass(frozen=True, kw_only=True)
class OrderCall:
    """An operator's request to apply an order."""

    order: Order


@dataclass(frozen=True, kw_only=True)
class ReadCall:
    """An operator's read of the configuration.

    `floor` is the newest version that was acknowledged before the read.
    """

    floor: int


@dataclass(frozen=True, kw_only=True)
class OrderReply:
    """The reply to an operator's order."""

    order: Order
    is_refused: bool
    version: int  # in force


@dataclass(frozen=True, kw_only=True)
class RenewCall:
    """An edge's request for a lease."""

    edge: str
    incarnation: int
    epoch: int
    sent_us: int
    is_observer: bool = False


@dataclass(frozen=True, kw_only=True)
class LeaveEdgeCall:
    """An edge's report that it has stopped serving and confirming."""

    edge: str
    incarnation: int


@dataclass(frozen=True, kw_only=True)
class MembershipCall:
    """A leader's check whether an edge is to be added or removed."""


@dataclass(frozen=True, kw_only=True)
class LeaseGrant:
    """A lease, for the incarnation that asked."""

    incarnation: int
    reply: Any
    sent_us: int


@dataclass(frozen=True, kw_only=True)
class StateReply:
    """The state that an edge is to install."""

    doc: Any


@dataclass(kw_only=True, eq=False)
class Operator:
    """An operator: the newest version that it knows, and at most one order in flight."""

    name: str
    known: int = 0
    count: int = 0
    pending: Order | None = None
    acknowledged: list[Order] = field(default_factory=list)

    def next_order(self) -> Order:
        """Return the order in flight, or a new one with the next number."""
        if self.pending is None:
            self.count += 1
            mark = f"{self.name}-{self.count}"
            self.pending = Order(
                operator=self.name,
                expected=self.known,
                version=self.known + 1,
                document=mark.encode() * (1 + self.count % 2 * PADDING),
                put_id=mark,
            )
        return self.pending

    def receive(self, *, reply: OrderReply) -> None:
        """Process a reply; one that does not belong to the order in flight is stale."""
        self.known = max(self.known, reply.version)
        if self.pending is None or self.pending.digest != reply.order.digest:
            return
        if not reply.is_refused:
            self.acknowledged.append(self.pending)
            del self.acknowledged[:-ACKNOWLEDGED_KEPT]
        self.pending = None


@dataclass(kw_only=True, eq=False)
class Edge:
    """An edge with its installed state and its leases."""

    name: str
    lease_holder: leases.LeaseHolder
    incarnation: int = 1
    renewed_us: int = -(10**9)
    is_observer: bool = False
