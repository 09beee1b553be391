"""What the commands of rollouts do to the replicated state.

Each change is an epoch, so that edges install it as they install a configuration. A rollout is
rolling until it is complete or reverted; neither ends again, and the share never falls.
"""

from __future__ import annotations

from dataclasses import replace

from kelpstage.common.rollouts.condition import COMPLETE_SHARE, RolloutCondition
from kelpstage.common.transport.messages import RolloutState
from kelpstage.core.state.commands import BeginRollout, ChangeRollout
from kelpstage.core.state.outcomes import (
    RolloutBegun,
    RolloutChanged,
    RolloutSuperseded,
    RolloutUnchanged,
    RolloutUnderWay,
)
from kelpstage.core.state.replicated_state import CoreState

# Of orders in logs of version 0.1.0: an equal order within this time, by the leaders' times of
# day, after the last change is a repetition.
LEGACY_REPEAT_WINDOW_US = 60_000_000
PAST_ROLLOUTS_KEPT = 256
REVERTED_VERSIONS_KEPT = 16  # of a service

BeginOutcome = RolloutBegun | RolloutUnderWay | RolloutSuperseded


def rollout_of(*, state: CoreState, service: str) -> RolloutState | None:
    """The newest rollout of a service; None if there was none."""
    return next((known for known in state.rollouts if known.service == service), None)


def rollouts_of(*, state: CoreState, service: str) -> list[RolloutState]:
    """The known rollouts of a service, newest first."""
    known = [*state.past_rollouts, *state.rollouts]
    return [rollout for rollout in reversed(known) if rollout.service == service]


def has_content(*, rollout: RolloutState, order: BeginRollout) -> bool:
    """True if an order has the content of the one that began this rollout."""
    content = (rollout.service, rollout.target, rollout.over_us)
    return content == (order.service, order.target, order.over_us)


def versions_in_place(*, state: CoreState, service: str) -> list[str]:
    """The versions that a service runs now, as far as orders show it; empty if not known.

    That is the target of the last complete rollout, through any number of reverts, or what was
    in place when the first order was taken.

    >>> v2 = RolloutState(service="s", target="v2", condition=RolloutCondition.COMPLETE)
    >>> v3 = RolloutState(service="s", target="v3", condition=RolloutCondition.REVERTED)
    >>> versions_in_place(state=CoreState(past_rollouts=[v2], rollouts=[v3]), service="s")
    ['v2']
    """
    for rollout in rollouts_of(state=state, service=service):
        if rollout.condition == RolloutCondition.COMPLETE:
            return [rollout.target]
        if rollout.in_place:
            return list(rollout.in_place)
    return []


def reverted_versions(*, rollout: RolloutState | None) -> list[str]:
    """The versions of a service that were reverted up to its newest rollout, oldest first."""
    if rollout is None:
        return []
    reverted = list(rollout.reverted)
    if rollout.condition == RolloutCondition.REVERTED:
        reverted.append(rollout.target)
    return list(dict.fromkeys(reverted))


def first_in_place(*, listed: list[str], target: str, reverted: list[str]) -> list[str]:
    """What a service without a known version in place runs, from the versions that are listed.

    Instances of the target may be listed already when their order is taken, so the target is in
    place only if no other version is listed.

    >>> [first_in_place(listed=listed, target="v2", reverted=[]) for listed in
    ...     (["v1"], ["v1", "v2"], ["v2"], [])]
    [['v1'], ['v1'], ['v2'], []]
    """
    usable = sorted(set(listed) - set(reverted))
    others = [version for version in usable if version != target]
    return others or usable


def begin_rollout(*, state: CoreState, order: BeginRollout) -> BeginOutcome:
    """Begin a rollout with no share yet, unless another one of the service is rolling.

    The leader decides whether an order is a repetition (`core/rollouts/repetitions.py`); here an
    order is only refused if the service has another newest rollout than the leader saw.

    >>> state = CoreState(epoch=4, membership=["e"])
    >>> order = BeginRollout(service="s", target="v2", over_us=9, is_new=True)
    >>> begin_rollout(state=state, order=order), begin_rollout(state=state, order=order)
    (RolloutBegun(number=5), RolloutBegun(number=5))
    >>> begin_rollout(state=state, order=BeginRollout(service="s", target="v3", is_new=True))
    RolloutUnderWay(target='v2')
    """
    if not order.is_new:
        return _begin_legacy(state=state, order=order)
    known = rollout_of(state=state, service=order.service)
    if known is not None and known.condition == RolloutCondition.ROLLING:
        if has_content(rollout=known, order=order):
            return RolloutBegun(number=known.number)
        return RolloutUnderWay(target=known.target)
    if order.follows != (known.number if known else 0):
        return RolloutSuperseded(service=order.service)
    return _begin(state=state, order=order, known=known)


def _begin_legacy(*, state: CoreState, order: BeginRollout) -> BeginOutcome:
    """Apply an order of version 0.1.0 as that version did, so that its logs are read alike."""
    for earlier in reversed([*state.past_rollouts, *state.rollouts]):
        is_rolling = earlier.condition == RolloutCondition.ROLLING
        is_recent = order.at_us < earlier.changed_us + LEGACY_REPEAT_WINDOW_US
        if has_content(rollout=earlier, order=order) and (is_rolling or is_recent):
            return RolloutBegun(number=earlier.number)
    known = rollout_of(state=state, service=order.service)
    if known is not None and known.condition == RolloutCondition.ROLLING:
        return RolloutUnderWay(target=known.target)
    return _begin(state=state, order=order, known=known)


def _begin(*, state: CoreState, order: BeginRollout, known: RolloutState | None) -> RolloutBegun:
    """Begin a rollout in place of the service's newest one, `known`, which has ended."""
    _begin_epoch(state=state)
    allowed = {order.target, *order.in_place}
    reverted = [name for name in reverted_versions(rollout=known) if name not in allowed]
    begun = RolloutState(
        service=order.service,
        target=order.target,
        over_us=order.over_us,
        number=state.epoch,
        begun_us=order.at_us,
        changed_us=order.at_us,
        reverted=reverted[-REVERTED_VERSIONS_KEPT:],
        in_place=list(order.in_place),
    )
    if known is not None:
        state.past_rollouts = [*state.past_rollouts, known][-PAST_ROLLOUTS_KEPT:]
    _set_rollout(state=state, rollout=begun)
    return RolloutBegun(number=begun.number)


def change_rollout(*, state: CoreState, change: ChangeRollout) -> RolloutChanged | RolloutUnchanged:
    """Raise the share of a rolling rollout, or end it.

    >>> state = CoreState()
    >>> order = BeginRollout(service="s", target="v2", over_us=9, is_new=True)
    >>> _ = begin_rollout(state=state, order=order)
    >>> change = ChangeRollout(service="s", number=1, share=50)
    >>> [change_rollout(state=state, change=change) for _ in range(2)]
    [RolloutChanged(epoch=2), RolloutUnchanged()]
    >>> change_rollout(state=state, change=ChangeRollout(
    ...     service="s", number=1, condition=RolloutCondition.REVERTED))
    RolloutChanged(epoch=3)
    >>> rollout_of(state=state, service="s").share
    0
    """
    known = rollout_of(state=state, service=change.service)
    if known is None or known.number != change.number:
        return RolloutUnchanged()
    if known.condition != RolloutCondition.ROLLING:
        return RolloutUnchanged()
    share = _share_after(change=change)
    if change.condition == RolloutCondition.ROLLING and share <= known.share:
        return RolloutUnchanged()
    _begin_epoch(state=state)
    changed = replace(
        known,
        condition=change.condition,
        share=share,
        why=change.why,
        changed_us=change.at_us,
        elapsed_us=max(known.elapsed_us, change.elapsed_us),
    )
    _set_rollout(state=state, rollout=changed)
    return RolloutChanged(epoch=state.epoch)


def _share_after(*, change: ChangeRollout) -> int:
    if change.condition == RolloutCondition.ROLLING:
        return min(COMPLETE_SHARE, change.share)
    return COMPLETE_SHARE if change.condition == RolloutCondition.COMPLETE else 0


def _set_rollout(*, state: CoreState, rollout: RolloutState) -> None:
    others = [known for known in state.rollouts if known.service != rollout.service]
    state.rollouts = sorted([*others, rollout], key=lambda known: known.service)


def _begin_epoch(*, state: CoreState) -> None:
    """Begin the next epoch with the same membership, in which the epoch has to settle."""
    state.epoch += 1
    state.old_membership = list(state.membership)
    state.old_observers = list(state.observers)
