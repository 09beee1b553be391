"""Decides whether an order of a rollout is new, or a repetition of one that was taken.

An operator without an answer sends an order again, as it was, for a limited time. Orders have no
identifier, so the same content later is a new order.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Callable

from kelpstage.common.rollouts.condition import RolloutCondition
from kelpstage.common.transport.messages import RolloutState
from kelpstage.core.rollouts.order_ages import OrderAge
from kelpstage.core.state.commands import BeginRollout
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.core.state.rollouts import has_content, rollouts_of

# From the sending of an order to its arrival: operators wait no longer for an answer.
MAX_TRANSIT_US = 1_000_000


@dataclass(frozen=True, kw_only=True)
class NewOrder:
    """The order has to be replicated; `follows` is the service's newest rollout, 0 if none."""

    follows: int


@dataclass(frozen=True, kw_only=True)
class RepeatedOrder:
    """What the order asks for was begun by the order of this number: there is nothing to do."""

    number: int


@dataclass(frozen=True, kw_only=True)
class OtherRollout:
    """A rollout of the service to another version, or within another time, is under way."""

    target: str


@dataclass(frozen=True, kw_only=True)
class UndecidedOrder:
    """The order can't be taken yet; nothing was changed, and a retry is decided anew."""

    why: str


OrderDecision = NewOrder | RepeatedOrder | OtherRollout | UndecidedOrder


def decide_order(
    *,
    state: CoreState,
    order: BeginRollout,
    age_of: Callable[[RolloutState], OrderAge],
    repeat_within_us: int,
) -> OrderDecision:
    """What to do with an order on the leader, whose `state` is confirmed to be the newest.

    `age_of` returns the age of a rollout's order, `repeat_within_us` is how long an order may be
    sent again. Where the newest rollout moves to the order's target or is complete with it, a
    repetition and a new order ask for the same; the age decides only after a revert, and where
    another order of the service came between.

    >>> known = RolloutState(service="s", target="v2", over_us=9, number=4,
    ...     condition=RolloutCondition.REVERTED)
    >>> def decide(age: OrderAge) -> OrderDecision:
    ...     return decide_order(state=CoreState(rollouts=[known]), age_of=lambda known: age,
    ...         order=BeginRollout(service="s", target="v2", over_us=9), repeat_within_us=8_000_000)
    >>> decide(OrderAge(at_least_us=10, at_most_us=10))
    RepeatedOrder(number=4)
    >>> decide(OrderAge(at_least_us=9_000_000))
    NewOrder(follows=4)
    """
    known = rollouts_of(state=state, service=order.service)
    if not known:
        return NewOrder(follows=0)
    newest = known[0]
    if newest.condition == RolloutCondition.ROLLING and has_content(rollout=newest, order=order):
        return RepeatedOrder(number=newest.number)
    if newest.condition == RolloutCondition.COMPLETE and newest.target == order.target:
        return RepeatedOrder(number=newest.number)
    if has_content(rollout=newest, order=order):
        age = age_of(newest)
        if age.at_most_us is not None and age.at_most_us < repeat_within_us:
            return RepeatedOrder(number=newest.number)
    if _may_be_repetition(
        known=known, order=order, age_of=age_of, until_us=repeat_within_us + MAX_TRANSIT_US
    ):
        return UndecidedOrder(why="it may be a late copy of an earlier order")
    if newest.condition == RolloutCondition.ROLLING:
        return _decide_under_way(newest=newest, age_us=age_of(newest).at_least_us)
    return NewOrder(follows=newest.number)


def _may_be_repetition(
    *,
    known: list[RolloutState],
    order: BeginRollout,
    age_of: Callable[[RolloutState], OrderAge],
    until_us: int,
) -> bool:
    return any(
        has_content(rollout=rollout, order=order) and age_of(rollout).at_least_us < until_us
        for rollout in known
    )


def _decide_under_way(*, newest: RolloutState, age_us: int) -> OtherRollout | UndecidedOrder:
    """A rollout that is past its time is about to end, so the order can be taken on a retry."""
    if age_us < newest.over_us:
        return OtherRollout(target=newest.target)
    return UndecidedOrder(why=f"the rollout to {newest.target} is about to end")
