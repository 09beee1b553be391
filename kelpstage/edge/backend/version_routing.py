"""Decides which versions of a service may receive a request."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Iterable

from kelpstage.common.rollouts.condition import (
    COMPLETE_SHARE,
    RolloutCondition,
    instances_in_use,
)
from kelpstage.common.transport.messages import RolloutState
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.entry import BackendEntry


@dataclass(frozen=True, kw_only=True)
class VersionChoice:
    """What one request may use: the target version, the others, or the target with the others
    as a fallback. `in_use` holds the target's instances that come first, `reverted` the versions
    that no request may use.
    """

    target: str
    allows_target: bool
    allows_others: bool
    in_use: frozenset[str] = frozenset()
    reverted: frozenset[str] = frozenset()

    def refusal(self, *, entry: BackendEntry) -> str:
        """Why an instance may not receive this request; empty if it may."""
        if entry.revision == self.target:
            return "" if self.allows_target else "version not yet in use, or reverted"
        if entry.revision in self.reverted:
            return "version reverted"
        return "" if self.allows_others else "version replaced"

    def is_fallback(self, *, entry: BackendEntry) -> bool:
        """True if an allowed instance is used only if no other one is available."""
        return self.allows_target and self.allows_others and entry.name not in self.in_use


class VersionRouting:
    """The rollouts that this edge has installed, by service.

    >>> routing = VersionRouting()
    >>> routing.apply(rollouts=[RolloutState(service="s", target="v2", number=1)])
    >>> new = BackendEntry(name="i2", revision="v2")
    >>> routing.choose(service="s", entries=[new], rand=None).refusal(entry=new)
    'version not yet in use, or reverted'
    """

    def __init__(self) -> None:
        self._rollouts: dict[str, RolloutState] = {}
        self._installed_us: dict[int, int] = {}
        self._blocked: set[int] = set()

    def apply(self, *, rollouts: Iterable[RolloutState], now_us: int = 0) -> None:
        """Install the rollouts of an epoch in place of those before."""
        self._rollouts = {rollout.service: rollout for rollout in rollouts}
        numbers = {rollout.number for rollout in self._rollouts.values()}
        self._installed_us = {n: self._installed_us.get(n, now_us) for n in numbers}
        self._blocked &= numbers

    def age_us(self, *, number: int, now_us: int) -> int:
        """The time since this edge installed the order of a rollout."""
        return now_us - self._installed_us.get(number, now_us)

    def block(self, *, number: int) -> None:
        """Send nothing more to the target of a rollout while its share is partial.

        For an edge whose own answers show that the version is bad, before the leader's decision.
        """
        self._blocked.add(number)

    def has_rollout(self, *, service: str) -> bool:
        """True if a rollout of the service was ever ordered."""
        return service in self._rollouts

    def rolling(self) -> list[RolloutState]:
        """The rollouts that are neither complete nor reverted."""
        return [
            rollout
            for rollout in self._rollouts.values()
            if rollout.condition == RolloutCondition.ROLLING
        ]

    def rolling_of(self, *, service: str) -> RolloutState | None:
        """The rollout of a service if it is rolling."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.condition != RolloutCondition.ROLLING:
            return None
        return rollout

    def choose(
        self, *, service: str, entries: list[BackendEntry], rand: random.Random | None
    ) -> VersionChoice | None:
        """The versions for one request; None if all may be used.

        Without a random generator, as for a plan, the version that gets most requests.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return None
        target, reverted = rollout.target, frozenset(rollout.reverted)
        others_only = VersionChoice(
            target=target, allows_target=False, allows_others=True, reverted=reverted
        )
        if rollout.condition == RolloutCondition.REVERTED:
            return others_only
        if rollout.condition == RolloutCondition.ROLLING and target in rollout.in_place:
            return _any_but_reverted(target=target, entries=entries, reverted=reverted)
        listed = sorted(entry.name for entry in entries if _is_up(entry=entry, version=target))
        if rollout.condition == RolloutCondition.COMPLETE and not listed:
            return others_only  # the version was replaced without an order
        if rollout.share >= COMPLETE_SHARE:
            return VersionChoice(target=target, allows_target=True, allows_others=False)
        if not self._draws_target(rollout=rollout, rand=rand):
            return others_only
        return VersionChoice(
            target=target,
            allows_target=True,
            allows_others=True,
            in_use=_in_use(names=listed, share=rollout.share),
            reverted=reverted,
        )

    def _draws_target(self, *, rollout: RolloutState, rand: random.Random | None) -> bool:
        if rollout.number in self._blocked:
            return False
        if rand is None:
            return 2 * rollout.share >= COMPLETE_SHARE
        return rand.random() * COMPLETE_SHARE < rollout.share


def _any_but_reverted(
    *, target: str, entries: list[BackendEntry], reverted: frozenset[str]
) -> VersionChoice:
    """The choice while the order names the version in place: as before the order."""
    return VersionChoice(
        target=target,
        allows_target=True,
        allows_others=True,
        in_use=frozenset(entry.name for entry in entries),
        reverted=reverted,
    )


def _is_up(*, entry: BackendEntry, version: str) -> bool:
    return entry.revision == version and entry.state == BackendState.UP and not entry.removed_us


def _in_use(*, names: list[str], share: int) -> frozenset[str]:
    """The instances that get a share of the requests.

    >>> sorted(_in_use(names=["a", "b", "c", "d", "e", "f"], share=500))
    ['a', 'b', 'c']
    """
    return frozenset(names[: instances_in_use(count=len(names), share=share)])
