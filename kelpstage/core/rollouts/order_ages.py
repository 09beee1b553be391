"""How long ago the rollouts of each service were ordered, by clocks that are never stepped.

The leaders' times of day may be stepped and differ from each other, so no decision is based on
them. Each change of a rollout replicates the time that had passed since its order; from then on
each replica counts on by its own monotonic clock. A replica that was down in between misses that
time, so the sum is the least time that can have passed.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.common.transport.messages import RolloutState
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.core.state.rollouts import rollouts_of


@dataclass(frozen=True, kw_only=True)
class OrderAge:
    """The time since an order was taken: at least and, if that is known, at most so long."""

    at_least_us: int
    at_most_us: int | None = None

    def at_arrivals(self, *, first_us: int, last_us: int) -> OrderAge:
        """The age when calls arrived, the first and the last of them so long ago.

        >>> OrderAge(at_least_us=12, at_most_us=12).at_arrivals(first_us=5, last_us=3)
        OrderAge(at_least_us=7, at_most_us=9)
        """
        return OrderAge(
            at_least_us=self.at_least_us - first_us,
            at_most_us=None if self.at_most_us is None else self.at_most_us - last_us,
        )


@dataclass(frozen=True, kw_only=True)
class _Observed:
    rollout: RolloutState
    at_us: int


class OrderAges:
    """The ages of orders, as one replica knows them. Times are monotonic, in microseconds.

    >>> ages = OrderAges()
    >>> state = CoreState(rollouts=[RolloutState(service="s", number=4, elapsed_us=100)])
    >>> ages.observe(rollouts=state.rollouts, now_us=7)
    >>> ages.age(state=state, service="s", number=4, now_us=10)
    OrderAge(at_least_us=103, at_most_us=None)
    """

    def __init__(self) -> None:
        self._observed: dict[str, _Observed] = {}
        self._last: list[RolloutState] = []
        self._taken_us: dict[int, int] = {}

    def observe(self, *, rollouts: list[RolloutState], now_us: int) -> None:
        """Note when this replica first had these states; called after each applied command."""
        if rollouts is self._last:  # each change replaces the list
            return
        self._last = rollouts
        for rollout in rollouts:
            known = self._observed.get(rollout.service)
            if known is None or known.rollout != rollout:
                self._observed[rollout.service] = _Observed(rollout=rollout, at_us=now_us)

    def note_taken(self, *, number: int, now_us: int) -> None:
        """Note that this process has just taken the order of this number itself."""
        self._taken_us.setdefault(number, now_us)

    def elapsed_us(self, *, rollout: RolloutState, now_us: int) -> int:
        """The least time since the order of a service's newest rollout."""
        known = self._observed.get(rollout.service)
        if known is None or known.rollout.number != rollout.number:
            return rollout.elapsed_us
        return known.rollout.elapsed_us + now_us - known.at_us

    def age(self, *, state: CoreState, service: str, number: int, now_us: int) -> OrderAge:
        """The age of one order of a service; later rollouts of the service add to it."""
        at_least_us = 0
        for index, rollout in enumerate(rollouts_of(state=state, service=service)):
            is_newest = index == 0
            at_least_us += (
                self.elapsed_us(rollout=rollout, now_us=now_us) if is_newest else rollout.elapsed_us
            )
            if rollout.number == number:
                break
        taken_us = self._taken_us.get(number)
        if taken_us is None:
            return OrderAge(at_least_us=at_least_us)
        return OrderAge(at_least_us=now_us - taken_us, at_most_us=now_us - taken_us)
