"""What the edges have reported about rollouts to this leader, added up over the fleet.

Edges report their counts since they started, with each renewal while a rollout is rolling. So a
new leader has the counts of the whole rollout after one renewal of each edge.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.common.rollouts.totals import VersionTotals
from kelpstage.common.transport.messages import RolloutReport

RECENT_US = 3_000_000  # an edge without a report for this long holds no lease any more


@dataclass(kw_only=True)
class EdgeReport:
    """The last report of one incarnation of an edge; `epoch` is what it had installed then."""

    at_us: int
    epoch: int
    rollouts: dict[int, RolloutReport]


@dataclass(kw_only=True)
class RolloutEvidence:
    """The answers of both sides by route, and what the edges see of the instances.

    `targets` and `others` are the most instances that a recent report lists. `is_drained` is
    true if no recently reporting edge has a request in flight to another version. `age_us` is the
    least time since the order that the reports show, and `edges` the number of recent reports.
    """

    target: dict[str, VersionTotals] = field(default_factory=dict)
    other_versions: dict[str, VersionTotals] = field(default_factory=dict)
    failing: set[str] = field(default_factory=set)
    targets: int = 0
    others: int = 0
    is_drained: bool = False
    age_us: int = 0
    edges: int = 0

    @property
    def target_answers(self) -> int:
        """The number of answers of the target version."""
        return sum(totals.answered for totals in self.target.values())

    @property
    def other_answers(self) -> int:
        """The number of answers of the other versions."""
        return sum(totals.answered for totals in self.other_versions.values())


class RolloutReports:
    """The last report of each incarnation of each edge.

    >>> reports = RolloutReports()
    >>> reports.record(edge="a", incarnation=1, epoch=5, now_us=0,
    ...     reports=[RolloutReport(number=4, targets=2, others=3)])
    >>> evidence = reports.evidence(number=4, epoch=5, now_us=1)
    >>> evidence.targets, evidence.is_drained
    (2, True)
    """

    def __init__(self) -> None:
        self._edges: dict[tuple[str, int], EdgeReport] = {}

    def record(
        self,
        *,
        edge: str,
        incarnation: int,
        epoch: int,
        reports: list[RolloutReport],
        now_us: int,
    ) -> None:
        """Record the report of a renewal; an earlier one of the same incarnation is replaced."""
        key = (edge, incarnation)
        if not reports and key not in self._edges:
            return
        known = self._edges.get(key)
        rollouts = {report.number: report for report in reports}
        if known is not None:
            rollouts = {**known.rollouts, **rollouts}
        self._edges[key] = EdgeReport(at_us=now_us, epoch=epoch, rollouts=rollouts)

    def forget(self, *, keep: set[int]) -> None:
        """Forget all rollouts but those with these numbers."""
        for key, report in list(self._edges.items()):
            report.rollouts = {n: one for n, one in report.rollouts.items() if n in keep}
            if not report.rollouts:
                del self._edges[key]

    def evidence(self, *, number: int, epoch: int, now_us: int) -> RolloutEvidence:
        """The sums for one rollout; `epoch` is the one that an edge needs to count as drained."""
        out = RolloutEvidence(is_drained=True)
        for edge in self._edges.values():
            report = edge.rollouts.get(number)
            if report is None:
                continue
            _add_counts(evidence=out, report=report)
            out.age_us = max(out.age_us, report.age_us + now_us - edge.at_us)
            if now_us - edge.at_us > RECENT_US:
                continue
            out.edges += 1
            out.targets = max(out.targets, report.targets)
            out.others = max(out.others, report.others)
            out.is_drained &= edge.epoch >= epoch and not report.others_in_flight
        out.is_drained &= out.edges > 0
        return out


def _add_counts(*, evidence: RolloutEvidence, report: RolloutReport) -> None:
    evidence.failing.update(report.failing)
    for row in report.counts:
        side = evidence.target if row.is_target else evidence.other_versions
        totals = VersionTotals.unpack(
            failed=row.failed, untimed=row.untimed, durations=row.durations
        )
        side.setdefault(row.route, VersionTotals()).add(totals)
