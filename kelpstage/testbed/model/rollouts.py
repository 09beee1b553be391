"""Orders of rollouts in the model: two services, orders and changes beside crashes and snapshots.

The decisions are the product's: whether an order is new, what a command does to the state. The
operator's side keeps to the pages: it sends an order again for a limited time, and gives an equal
one only later. The change of a rolling rollout (a step, its end) is drawn.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from kelpstage.common.rollouts.condition import RolloutCondition
from kelpstage.common.transport.messages import RolloutState
from kelpstage.core.rollouts.order_ages import OrderAge, OrderAges
from kelpstage.core.rollouts.repetitions import (
    MAX_TRANSIT_US,
    NewOrder,
    OrderDecision,
    RepeatedOrder,
    decide_order,
)
from kelpstage.core.state.commands import BeginRollout, ChangeRollout, Command
from kelpstage.core.state.outcomes import RolloutBegun, RolloutChanged
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.core.state.rollouts import rollout_of, versions_in_place

SERVICES = ("s0", "s1")
VERSIONS = ("v1", "v2", "v3")
FIRST_VERSION = "v1"  # in place before the first order
OVER_US = 4_000_000
REPEAT_WITHIN_US = 8_000_000
EQUAL_ORDER_AFTER_US = REPEAT_WITHIN_US + 2 * MAX_TRANSIT_US
STEP = 100  # by which a drawn change raises a share

ROLLOUT_TAKEN = "an acknowledged order is carried out"
ROLLOUT_TWICE = "an order begins one rollout"
ROLLOUT_FINAL = "a final condition stays"
ROLLOUT_IN_PLACE = "the version in place is that of the last complete rollout"


@dataclass(frozen=True, kw_only=True)
class RolloutOrder:
    """An order of the operator; `serial` tells equal orders apart, which the product can't."""

    serial: int
    service: str
    target: str
    sent_us: int  # for the first time

    @property
    def content(self) -> tuple[str, str]:
        """What the product sees of it."""
        return self.service, self.target


@dataclass(frozen=True, kw_only=True)
class RolloutCall:
    """An operator's request to carry out an order."""

    order: RolloutOrder


@dataclass(frozen=True, kw_only=True)
class RolloutChangeCall:
    """A leader's change of the rolling rollout of a service."""

    service: str
    condition: RolloutCondition


class RolloutHost(Protocol):
    """The parts of the modelled system that orders of rollouts use."""

    now_us: int
    checks: Any


@dataclass(kw_only=True)
class ModelRollouts:
    """The operator's orders, and what the log made of them."""

    world: RolloutHost
    _open: dict[str, RolloutOrder] = field(default_factory=dict)  # by service, not acknowledged
    _acknowledged: list[RolloutOrder] = field(default_factory=list)
    _taken_us: dict[tuple[str, str], int] = field(default_factory=dict)  # by content
    _serial: int = 0
    _index: int = 0  # of the newest entry that was recorded
    _serial_of: dict[int, int] = field(default_factory=dict)  # by number of a rollout
    _in_place: dict[str, str] = field(default_factory=dict)
    _ended: set[int] = field(default_factory=set)
    acknowledged_count: int = 0

    # --- the operator ---------------------------------------------------------------------

    def next_call(self, *, service: str, target: str) -> RolloutCall | None:
        """The open order of a service again, or a new one; None if the pages allow neither now."""
        now_us, known = self.world.now_us, self._open.get(service)
        if known is not None and now_us < known.sent_us + REPEAT_WITHIN_US:
            return RolloutCall(order=known)
        taken_us = max(
            self._taken_us.get((service, target), -EQUAL_ORDER_AFTER_US),
            known.sent_us if known is not None and known.target == target else 0,
        )
        if now_us < taken_us + EQUAL_ORDER_AFTER_US:
            return None
        self._serial += 1
        order = RolloutOrder(
            serial=self._serial, service=service, target=target, sent_us=self.world.now_us
        )
        self._open[service] = order
        return RolloutCall(order=order)

    def repeated_call(self, *, position: int) -> RolloutCall | None:
        """An acknowledged order once more, if it may still be sent again."""
        now_us = self.world.now_us
        recent = [o for o in self._acknowledged if now_us < o.sent_us + REPEAT_WITHIN_US]
        return RolloutCall(order=recent[position % len(recent)]) if recent else None

    def is_late(self, *, call: RolloutCall) -> bool:
        """True if a call arrives later than any call of the operator can."""
        return self.world.now_us > call.order.sent_us + REPEAT_WITHIN_US + MAX_TRANSIT_US

    # --- the leader -----------------------------------------------------------------------

    def command(self, *, state: CoreState, ages: OrderAges, call: Any, arrived_us: int) -> bytes:
        """The command that a leader proposes for a call; empty if it proposes none."""
        if isinstance(call, RolloutChangeCall):
            return self._change(state=state, ages=ages, call=call)
        order = _begin_of(order=call.order)
        decision = self.decide(state=state, ages=ages, call=call, arrived_us=arrived_us)
        if not isinstance(decision, NewOrder):
            return b""
        order.is_new, order.follows = True, decision.follows
        order.in_place = versions_in_place(state=state, service=order.service) or [FIRST_VERSION]
        return bytes(Command(begin_rollout=order))

    def decide(
        self, *, state: CoreState, ages: OrderAges, call: RolloutCall, arrived_us: int
    ) -> OrderDecision:
        """The product's decision on an order that reached the leader at `arrived_us`."""
        waited_us = self.world.now_us - arrived_us

        def age_of(rollout: RolloutState) -> OrderAge:
            age = ages.age(
                state=state,
                service=rollout.service,
                number=rollout.number,
                now_us=self.world.now_us,
            )
            return age.at_arrivals(first_us=waited_us, last_us=waited_us)

        return decide_order(
            state=state,
            order=_begin_of(order=call.order),
            age_of=age_of,
            repeat_within_us=REPEAT_WITHIN_US,
        )

    def _change(self, *, state: CoreState, ages: OrderAges, call: RolloutChangeCall) -> bytes:
        rollout = rollout_of(state=state, service=call.service)
        if rollout is None or not self._is_rolling(rollout=rollout):
            return b""
        change = ChangeRollout(
            service=call.service,
            number=rollout.number,
            condition=call.condition,
            share=rollout.share + STEP,
            elapsed_us=ages.elapsed_us(rollout=rollout, now_us=self.world.now_us),
        )
        return bytes(Command(change_rollout=change))

    def _is_rolling(self, *, rollout: RolloutState) -> bool:
        return rollout.condition == RolloutCondition.ROLLING

    def repeated(self, *, state: CoreState, order: RolloutOrder, decision: RepeatedOrder) -> None:
        """Check an order that is taken for a repetition, before it is acknowledged."""
        if self._serial_of.get(decision.number) == order.serial:
            return
        newest = rollout_of(state=state, service=order.service)
        is_served = (
            newest is not None
            and (newest.number, newest.target) == (decision.number, order.target)
            and newest.condition != RolloutCondition.REVERTED
        )
        if not is_served:
            self.world.checks.fail(
                ROLLOUT_TAKEN, f"{order} is answered with rollout {decision.number}"
            )

    def acknowledged(self, *, order: RolloutOrder) -> None:
        """Record an acknowledgement."""
        self.acknowledged_count += 1
        self._acknowledged.append(order)
        if self._open.get(order.service) == order:
            del self._open[order.service]

    # --- the log --------------------------------------------------------------------------

    def applied(self, *, index: int, data: bytes, outcome: Any, state: CoreState) -> None:
        """Record and check the first application of a committed command."""
        if index <= self._index:
            return
        self._index = index
        if isinstance(outcome, RolloutBegun):
            self._begun(order=Command().parse(data).begin_rollout, outcome=outcome, state=state)
        if isinstance(outcome, RolloutChanged):
            self._changed(change=Command().parse(data).change_rollout, state=state)

    def _begun(self, *, order: BeginRollout, outcome: RolloutBegun, state: CoreState) -> None:
        self._taken_us[order.service, order.target] = self.world.now_us
        if outcome.number in self._serial_of:
            return  # the same order, proposed twice
        serial = order.at_us
        if serial in self._serial_of.values():
            self.world.checks.fail(ROLLOUT_TWICE, f"order {serial} begins {outcome.number} as well")
        self._serial_of[outcome.number] = serial
        rollout = rollout_of(state=state, service=order.service)
        wanted = [self._in_place.get(order.service, FIRST_VERSION)]
        if rollout is None or rollout.in_place != wanted:
            self.world.checks.fail(ROLLOUT_IN_PLACE, f"{rollout} instead of {wanted}")

    def _changed(self, *, change: ChangeRollout, state: CoreState) -> None:
        if change.number in self._ended:
            self.world.checks.fail(ROLLOUT_FINAL, f"{change} follows the end of its rollout")
        if change.condition == RolloutCondition.ROLLING:
            return
        self._ended.add(change.number)
        rollout = rollout_of(state=state, service=change.service)
        if rollout is not None and change.condition == RolloutCondition.COMPLETE:
            self._in_place[change.service] = rollout.target


def _begin_of(*, order: RolloutOrder) -> BeginRollout:
    """The product's order; its time of day, which decides nothing, holds the serial number."""
    return BeginRollout(
        service=order.service, target=order.target, over_us=OVER_US, at_us=order.serial
    )
