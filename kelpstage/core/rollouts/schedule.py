"""The steps of a rollout: when its share is raised, and when it is complete or reverted.

Plain decisions without a clock. The share stays small for the first part of the time, so that
a version which turns bad late, or for few requests, is found before it has received many.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.common.rollouts.assessment import bad_version_reason, suspicion_of
from kelpstage.common.rollouts.condition import (
    COMPLETE_SHARE,
    RolloutCondition,
    instances_in_use,
)
from kelpstage.common.transport.messages import RolloutState
from kelpstage.core.rollouts.reports import RolloutEvidence

MIN_HOLD_US = 1_300_000  # of a step: longer than edges take to report what they saw in it
QUIET_HOLD_US = 3_000_000  # of a step that gets too few requests to be assessed
MIN_STEP_ANSWERS = 10  # of the target version, before the share is raised again
MIN_FAILING_INSTANCES = 2  # one faulty machine must not revert a good version
FIRST_STEP_PART = 0.6  # of the share that a bad version may receive
SUSPECT_PART = 0.8  # of its time, after which a rollout in doubt is reverted
MIN_TARGET_PART = 0.7  # of the instances that a share needs, which have to be listed
FEWER_TARGETS_FROM = 0.75  # of its time, after which a rollout goes on with fewer instances:
FEWER_TARGETS_PART = 0.5  # of those that a share needs; below, the rest would be overloaded
OVERDUE_ANSWERS_PART = 0.25  # of the target's share of the answers, once a step is overdue
MAX_HOLD_US = 5_000_000  # of a step once its time is over; longer than any step needs


@dataclass(frozen=True, kw_only=True)
class Step:
    """A share in thousandths, and the part of the rollout's time after which it may begin."""

    share: int
    from_part: float


LATER_STEPS = (
    Step(share=250, from_part=0.46),
    Step(share=500, from_part=0.56),
    Step(share=COMPLETE_SHARE, from_part=0.66),
)


def steps(*, bad_traffic_share: float) -> tuple[Step, ...]:
    """The steps where a bad version may receive this share of a service's requests.

    The first step stays below it, so that most of a rollout's time exposes less than is allowed.

    >>> [step.share for step in steps(bad_traffic_share=0.1)]
    [60, 250, 500, 1000]
    """
    share = round(COMPLETE_SHARE * bad_traffic_share * FIRST_STEP_PART)
    first = Step(share=min(LATER_STEPS[0].share - 1, max(1, share)), from_part=0.0)
    return (first, *LATER_STEPS)


@dataclass(frozen=True, kw_only=True)
class StepProgress:
    """How far the present step of a rollout is.

    `elapsed_us` runs from the order, `held_us` from the moment at which this leader saw the share
    in force; the two counts are the answers since then.
    """

    elapsed_us: int
    held_us: int
    target_answers: int
    other_answers: int


@dataclass(frozen=True, kw_only=True)
class RolloutChange:
    """A change to propose: the new condition, its share, and the reason of a revert."""

    condition: RolloutCondition
    share: int = 0
    why: str = ""


def next_change(
    *,
    rollout: RolloutState,
    evidence: RolloutEvidence,
    progress: StepProgress,
    drain_us: int,
    bad_traffic_share: float,
) -> RolloutChange | None:
    """The next change of a rolling rollout; None while it stays as it is.

    `drain_us` is the longest time that requests to the other versions are waited for. While the
    target looks worse, but not certainly so, the share is not raised.

    >>> rollout = RolloutState(service="s", target="v2", over_us=10_000_000, number=1)
    >>> progress = StepProgress(elapsed_us=0, held_us=0, target_answers=0, other_answers=0)
    >>> next_change(rollout=rollout, evidence=RolloutEvidence(others=2), progress=progress,
    ...     drain_us=0, bad_traffic_share=0.1) is None
    True
    >>> next_change(rollout=rollout, evidence=RolloutEvidence(others=2, targets=2),
    ...     progress=progress, drain_us=0, bad_traffic_share=0.1).share
    60
    """
    if rollout.target in rollout.in_place:
        return _change_in_place(rollout=rollout, progress=progress)
    why = revert_reason(evidence=evidence, share=rollout.share)
    if why:
        return _revert(why)
    suspicion = suspicion_of(target=evidence.target, others=evidence.other_versions)
    if suspicion and progress.elapsed_us >= rollout.over_us * SUSPECT_PART:
        return _revert(f"still in doubt near the end of its time: {suspicion}")
    if rollout.share >= COMPLETE_SHARE:
        change = _last_change(evidence=evidence, progress=progress, drain_us=drain_us)
    elif suspicion:
        change = None
    else:
        planned = steps(bad_traffic_share=bad_traffic_share)
        step = next(step for step in planned if step.share > rollout.share)
        change = _next_step(rollout=rollout, step=step, evidence=evidence, progress=progress)
    if change is None and _is_overdue(rollout=rollout, progress=progress):
        return _revert(_overdue_reason(evidence=evidence))
    return change


def _revert(why: str) -> RolloutChange:
    return RolloutChange(condition=RolloutCondition.REVERTED, why=why)


def _last_change(
    *, evidence: RolloutEvidence, progress: StepProgress, drain_us: int
) -> RolloutChange | None:
    """The end of a rollout at the full share, after which the old instances may stop at once."""
    if not evidence.targets and evidence.others:
        return _revert("no instance of the target is left")
    if not _has_instances(evidence=evidence, share=COMPLETE_SHARE, part=FEWER_TARGETS_PART):
        return None
    is_drained = evidence.is_drained and progress.held_us >= MIN_HOLD_US // 2
    if is_drained or progress.held_us >= drain_us:
        return RolloutChange(condition=RolloutCondition.COMPLETE)
    return None


def _next_step(
    *, rollout: RolloutState, step: Step, evidence: RolloutEvidence, progress: StepProgress
) -> RolloutChange | None:
    """The next share, once its time has come and enough instances and answers allow it."""
    if progress.elapsed_us < rollout.over_us * step.from_part:
        return None
    is_late = progress.elapsed_us >= rollout.over_us * FEWER_TARGETS_FROM
    part = FEWER_TARGETS_PART if is_late else MIN_TARGET_PART
    if not _has_instances(evidence=evidence, share=step.share, part=part):
        return None
    if rollout.share and not _is_assessed(rollout=rollout, progress=progress):
        return None
    return RolloutChange(condition=RolloutCondition.ROLLING, share=step.share)


def _is_overdue(*, rollout: RolloutState, progress: StepProgress) -> bool:
    """True if a rollout is past its time and its present step does not end."""
    return progress.elapsed_us >= rollout.over_us and progress.held_us >= MAX_HOLD_US


def _overdue_reason(*, evidence: RolloutEvidence) -> str:
    """What a rollout that is past its time still waits for, as operators see it."""
    if not evidence.targets:
        return "its time is over: no instance of the target is listed"
    instances = f"{evidence.targets} instances beside {evidence.others} of the other versions"
    return f"its time is over: {evidence.target_answers} answers from {instances}"


def _change_in_place(*, rollout: RolloutState, progress: StepProgress) -> RolloutChange | None:
    """Complete an order to the version in place, which needs no comparison.

    It waits as long as other rollouts do, so that instances which start with the order are listed.
    """
    if progress.elapsed_us < rollout.over_us * LATER_STEPS[-1].from_part:
        return None
    return RolloutChange(condition=RolloutCondition.COMPLETE)


def revert_reason(*, evidence: RolloutEvidence, share: int) -> str:
    """Why the target version has to be reverted; empty if it has not.

    Bad answers count only if they come from more than one of the instances in use.
    """
    in_use = instances_in_use(count=evidence.targets, share=share)
    if len(evidence.failing) < min(MIN_FAILING_INSTANCES, in_use):
        return ""
    return bad_version_reason(target=evidence.target, others=evidence.other_versions)


def _has_instances(*, evidence: RolloutEvidence, share: int, part: float) -> bool:
    """True if this part of the target's instances that a share needs is listed, or if edges
    report that the service has no instances at all."""
    if not evidence.targets and not evidence.others:
        return evidence.edges > 0
    needed = evidence.others * share / COMPLETE_SHARE * part
    return evidence.targets > 0 and evidence.targets >= needed


def _is_assessed(*, rollout: RolloutState, progress: StepProgress) -> bool:
    """True if the present step showed enough, or gets too few requests to ever do.

    With few requests, the target has to have answered half of its share of them, a quarter if
    the rollout is past its time.
    """
    if progress.held_us < MIN_HOLD_US:
        return False
    if progress.target_answers >= MIN_STEP_ANSWERS:
        return True
    answers = progress.target_answers + progress.other_answers
    if not answers:
        return True  # no route uses the service
    expected = answers * rollout.share / COMPLETE_SHARE
    if _is_overdue(rollout=rollout, progress=progress):
        return progress.target_answers >= expected * OVERDUE_ANSWERS_PART
    return progress.held_us >= QUIET_HOLD_US and 2 * progress.target_answers >= expected
