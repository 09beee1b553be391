"""Counts what the versions of a service answered, while a rollout of it is rolling."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Callable

from kelpstage.common.rollouts.assessment import bad_version_reason
from kelpstage.common.rollouts.totals import VersionTotals
from kelpstage.common.transport.messages import RolloutReport, RolloutState, VersionCounts
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.version_routing import VersionRouting

SLOW_FACTOR = 4  # of the service's median latency
MAX_FAILING = 8  # names in a report; the leader needs no more than a few
MAX_ROUTES = 16  # rows of each side in a report


@dataclass(kw_only=True)
class RolloutCounts:
    """The answers of one rollout by route, and the target's instances with bad ones."""

    target: dict[str, VersionTotals] = field(default_factory=dict)
    others: dict[str, VersionTotals] = field(default_factory=dict)
    failing: set[str] = field(default_factory=set)


class VersionStatistics:
    """The counts of this edge since it started, for the rollouts that are rolling.

    `entries_of` returns the listed instances of a service, `median_us` its median latency.
    `now` is the monotonic time, and `on_bad_answer` is called after each bad answer of a target
    version.
    """

    def __init__(
        self,
        *,
        routing: VersionRouting,
        entries_of: Callable[[str], list[BackendEntry]],
        now: Callable[[], int] = lambda: 0,
        on_bad_answer: Callable[[], None] = lambda: None,
    ) -> None:
        self.now = now
        self._routing = routing
        self._entries_of = entries_of
        self._counts: dict[int, RolloutCounts] = {}
        self.on_bad_answer = on_bad_answer

    def note_answer(
        self, *, entry: BackendEntry, route: str, took_us: int | None, median_us: float
    ) -> None:
        """Count a successful answer. `took_us` excludes the way to the instance; `None` if the
        duration says nothing about the version."""
        rollout = self._routing.rolling_of(service=entry.service)
        if rollout is None:
            return
        totals = self._totals(rollout=rollout, entry=entry, route=route)
        if took_us is None:
            totals.untimed += 1
            return
        totals.add_answer(took_us=took_us)
        if entry.revision == rollout.target and took_us > SLOW_FACTOR * median_us:
            self._note_bad(rollout=rollout, entry=entry)

    def note_failure(self, *, entry: BackendEntry, route: str) -> None:
        """Count an answer that says that the instance failed.

        Refused connections, silence and unreadable bytes are not counted: they come from
        machines and networks rather than from a version.
        """
        rollout = self._routing.rolling_of(service=entry.service)
        if rollout is None:
            return
        self._totals(rollout=rollout, entry=entry, route=route).failed += 1
        if entry.revision == rollout.target:
            self._note_bad(rollout=rollout, entry=entry)

    def _totals(self, *, rollout: RolloutState, entry: BackendEntry, route: str) -> VersionTotals:
        counts = self._counts.setdefault(rollout.number, RolloutCounts())
        side = counts.target if entry.revision == rollout.target else counts.others
        if route not in side and len(side) >= MAX_ROUTES:
            route = ""
        return side.setdefault(route, VersionTotals())

    def _note_bad(self, *, rollout: RolloutState, entry: BackendEntry) -> None:
        counts = self._counts[rollout.number]
        if len(counts.failing) < MAX_FAILING:
            counts.failing.add(entry.name)
        if bad_version_reason(target=counts.target, others=counts.others):
            self._routing.block(number=rollout.number)
        self.on_bad_answer()

    def reports(self) -> list[RolloutReport]:
        """The counts for the leader, one report for each rolling rollout."""
        rolling = self._routing.rolling()
        numbers = {rollout.number for rollout in rolling}
        self._counts = {n: counts for n, counts in self._counts.items() if n in numbers}
        return [self._report(rollout=rollout) for rollout in rolling]

    def _report(self, *, rollout: RolloutState) -> RolloutReport:
        counts = self._counts.get(rollout.number, RolloutCounts())
        entries = self._entries_of(rollout.service)
        targets = [entry for entry in entries if entry.revision == rollout.target]
        unused = {rollout.target, *rollout.reverted}
        others = [entry for entry in entries if entry.revision not in unused]
        return RolloutReport(
            number=rollout.number,
            counts=[
                *_rows(side=counts.target, is_target=True),
                *_rows(side=counts.others, is_target=False),
            ],
            targets=sum(entry.state == BackendState.UP for entry in targets),
            others=sum(entry.state == BackendState.UP for entry in others),
            others_in_flight=sum(entry.in_flight for entry in others),
            failing=sorted(counts.failing),
            age_us=self._routing.age_us(number=rollout.number, now_us=self.now()),
        )


def _rows(*, side: dict[str, VersionTotals], is_target: bool) -> list[VersionCounts]:
    return [
        VersionCounts(
            route=route,
            is_target=is_target,
            failed=totals.failed,
            durations=totals.pack(),
            untimed=totals.untimed,
        )
        for route, totals in sorted(side.items())
    ]
