"""Carries out rollouts on the leader: raises shares, completes and reverts."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from kelpstage.common.event_journal import Journal
from kelpstage.common.log.ring import logger
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.rollouts.condition import RolloutCondition
from kelpstage.common.settings.bounds import Bounds
from kelpstage.common.transport.messages import RolloutState
from kelpstage.core.events import RolloutMoved
from kelpstage.core.leases.epoch_changes import EpochChanges
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.rollouts.order_ages import OrderAges
from kelpstage.core.rollouts.reports import RolloutEvidence, RolloutReports
from kelpstage.core.rollouts.schedule import RolloutChange, StepProgress, next_change
from kelpstage.core.state.commands import ChangeRollout, Command
from kelpstage.core.state.rollouts import rollout_of

CHECK_INTERVAL_US = 200_000
log = logger(name="rollouts")


@dataclass(kw_only=True)
class StepStart:
    """When this leader first saw a share, and the answers that were counted by then."""

    share: int
    epoch: int
    at_us: int
    target_answers: int
    other_answers: int


class RolloutController:
    """Decides on every rolling rollout while this core leads; idle while there is none.

    `reports` holds what edges reported to this leader.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        journal: Journal,
        task: ReplicaTask,
        epoch_changes: EpochChanges,
        ages: OrderAges,
        bounds: Bounds,
    ) -> None:
        self._ports = ports
        self._journal = journal
        self._task = task
        self._epoch_changes = epoch_changes
        self._ages = ages
        self._bounds = bounds
        self._steps: dict[int, StepStart] = {}
        self._is_running = False
        self.reports = RolloutReports()

    def begin_leadership(self) -> None:
        """Start without reports, and decide until this leadership ends."""
        self.reports = RolloutReports()
        self._steps = {}
        self.start_if_needed()

    def start_if_needed(self) -> None:
        """Begin to decide if this core leads and a rollout is rolling; called on each command."""
        if self._is_running or not self._task.is_leader or not self._rolling():
            return
        self._is_running = True
        self._ports.spawn(self._run())

    async def _run(self) -> None:
        try:
            while self._task.is_leader and self._rolling():
                await self._ports.clock.sleep(us=CHECK_INTERVAL_US)
                for rollout in self._rolling():
                    if self._decide(service=rollout.service) is not None:
                        await self._change(service=rollout.service)
        finally:
            self._is_running = False
            self._forget_ended()

    def _rolling(self) -> list[RolloutState]:
        return [
            rollout
            for rollout in self._task.machine.state.rollouts
            if rollout.condition == RolloutCondition.ROLLING
        ]

    def _forget_ended(self) -> None:
        numbers = {rollout.number for rollout in self._rolling()}
        self.reports.forget(keep=numbers)
        self._steps = {n: step for n, step in self._steps.items() if n in numbers}

    def evidence(self, *, rollout: RolloutState) -> RolloutEvidence:
        """What the edges have reported about a rollout."""
        return self.reports.evidence(
            number=rollout.number,
            epoch=self._step_of(rollout=rollout).epoch,
            now_us=self._ports.clock.now_us(),
        )

    def _step_of(self, *, rollout: RolloutState) -> StepStart:
        known = self._steps.get(rollout.number)
        if known is None or known.share != rollout.share:
            now_us, epoch = self._ports.clock.now_us(), self._task.machine.state.epoch
            evidence = self.reports.evidence(number=rollout.number, epoch=epoch, now_us=now_us)
            known = self._steps[rollout.number] = StepStart(
                share=rollout.share,
                epoch=epoch,
                at_us=now_us,
                target_answers=evidence.target_answers,
                other_answers=evidence.other_answers,
            )
        return known

    def _decide(self, *, service: str) -> Command | None:
        """The command for the next change of a service's rollout; None if there is none now."""
        rollout = rollout_of(state=self._task.machine.state, service=service)
        if rollout is None or rollout.condition != RolloutCondition.ROLLING:
            return None
        step, evidence = self._step_of(rollout=rollout), self.evidence(rollout=rollout)
        change = next_change(
            rollout=rollout,
            evidence=evidence,
            progress=StepProgress(
                elapsed_us=self._elapsed_us(rollout=rollout, evidence=evidence),
                held_us=self._ports.clock.now_us() - step.at_us,
                target_answers=evidence.target_answers - step.target_answers,
                other_answers=evidence.other_answers - step.other_answers,
            ),
            drain_us=self._bounds.drain_us,
            bad_traffic_share=self._bounds.bad_traffic_share,
        )
        if change is None:
            return None
        elapsed_us = self._elapsed_us(rollout=rollout, evidence=evidence)
        return self._command(rollout=rollout, change=change, elapsed_us=elapsed_us)

    def _elapsed_us(self, *, rollout: RolloutState, evidence: RolloutEvidence) -> int:
        """The least time since the order: the edges go on counting while cores restart."""
        elapsed_us = self._ages.elapsed_us(rollout=rollout, now_us=self._ports.clock.now_us())
        return max(elapsed_us, evidence.age_us)

    def _command(self, *, rollout: RolloutState, change: RolloutChange, elapsed_us: int) -> Command:
        return Command(
            change_rollout=ChangeRollout(
                service=rollout.service,
                number=rollout.number,
                condition=change.condition,
                share=change.share,
                why=change.why,
                at_us=self._ports.clock.wall_us(),
                elapsed_us=elapsed_us,
            )
        )

    async def _change(self, *, service: str) -> None:
        await self._epoch_changes.change(
            make_command=partial(self._decide, service=service),
            on_changed=partial(self._on_changed, service=service),
        )

    def _on_changed(self, *, service: str) -> None:
        rollout = rollout_of(state=self._task.machine.state, service=service)
        if rollout is None:
            return
        condition = RolloutCondition(rollout.condition)
        if condition == RolloutCondition.REVERTED:
            log.warning(
                "rollout of {} to {} reverted: {}", rollout.service, rollout.target, rollout.why
            )
        self._journal.add(
            RolloutMoved(
                service=rollout.service,
                target=rollout.target,
                condition=condition.public_name,
                share=rollout.share,
                why=rollout.why,
            )
        )
