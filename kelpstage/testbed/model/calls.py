"""Operators with their orders, edges with their leases, and the messages between them
and the nodes: values only, without the rules of who answers what."""

from __future__ import annotations

import functools
from dataclasses import dataclass, field
from typing import Any

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model import edge_adapter as leases

ACKNOWLEDGED_KEPT = 40
PADDING = 200  # each second document is long enough to travel as a difference


@dataclass(frozen=True, kw_only=True)
class Order:
    """One order of an operator's: compare-and-set on the version that it builds on."""

    operator: str
    expected: int
    version: int
    document: bytes
    put_id: str

    @functools.cached_property
    def digest(self) -> bytes:
        """The digest by which a repeat of the order is recognized."""
        return core.order_digest(
            expected=self.expected, version=self.version, document=self.document
        )


@dataclass(frozen=True, kw_only=True)
class OrderCall:
    """An operator sends an order."""

    order: Order


@dataclass(frozen=True, kw_only=True)
class ReadCall:
    """An operator reads the configuration; `floor` is what was acknowledged before."""

    floor: int


@dataclass(frozen=True, kw_only=True)
class OrderAnswer:
    """The reply to an operator's order."""

    order: Order
    is_refused: bool
    version: int  # in force


@dataclass(frozen=True, kw_only=True)
class RenewCall:
    """An edge asks for a lease."""

    edge: str
    incarnation: int
    epoch: int
    sent_us: int
    is_observer: bool = False


@dataclass(frozen=True, kw_only=True)
class LeaveEdgeCall:
    """An edge says that it has stopped serving and confirming."""

    edge: str
    incarnation: int


@dataclass(frozen=True, kw_only=True)
class MembershipCall:
    """A leader looks whether an edge is to join or to be removed."""


@dataclass(frozen=True, kw_only=True)
class LeaseAnswer:
    """A lease, for the incarnation that asked."""

    incarnation: int
    reply: Any
    sent_us: int


@dataclass(frozen=True, kw_only=True)
class StateAnswer:
    """The state that an edge is to install."""

    doc: Any


@dataclass(kw_only=True, eq=False)
class Operator:
    """Knows a version; has one order under way at the most."""

    name: str
    known: int = 0
    count: int = 0
    pending: Order | None = None
    acknowledged: list[Order] = field(default_factory=list)

    def order(self) -> Order:
        """The order under way, or a new one with the next number."""
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

    def hear(self, *, answer: OrderAnswer) -> None:
        """Take an answer; one that belongs to no order under way is old."""
        self.known = max(self.known, answer.version)
        if self.pending is None or self.pending.digest != answer.order.digest:
            return
        if not answer.is_refused:
            self.acknowledged.append(self.pending)
            del self.acknowledged[:-ACKNOWLEDGED_KEPT]
        self.pending = None


@dataclass(kw_only=True, eq=False)
class Edge:
    """An edge with what it has installed and its leases."""

    name: str
    lease_holder: leases.LeaseHolder
    incarnation: int = 1
    renewed_us: int = -(10**9)
    is_observer: bool = False
