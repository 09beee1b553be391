"""Decides when a machine was in touch with the core.

The rules with a time bound apply only to machines that were in touch.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

from kelpstage.testbed.platform_model.history import History, MachineFault

CORE_EVENT_FAULTS = frozenset(
    ("kill", "power", "freeze", "stop", "start", "lost", "clock", "reset")
)
DOWN_FAULTS = frozenset(("kill", "power", "freeze", "stop", "lost"))
HARMLESS_FAULTS = frozenset(("reread",))


class CoreContact:
    """Finds the moments of contact from a scenario's faults and network partitions alone.

    >>> history = History(machines=frozenset("ab"), core=frozenset("a"))
    >>> history.faults.append(MachineFault(machine="b", what="freeze", begin_us=9, end_us=10))
    >>> touch = CoreContact(history=history)
    >>> touch.is_in_touch(node="a", at_us=20), touch.is_in_touch(node="b", at_us=20)
    (True, False)
    """

    def __init__(self, *, history: History) -> None:
        self._history = history
        self._touch_us = history.bounds.touch_us
        self._fault_spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._down_spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._core_events: list[int] = []
        self._slow_core_spans: list[tuple[int, int]] = []
        self._closing_fault_spans: list[tuple[int, int]] = []
        for fault in history.faults:
            self._add_fault(fault=fault)
        self._closing_fault_spans = self._find_closing_fault_spans()
        for cut in history.cuts:
            if {cut.a, cut.b} <= history.core:
                self._core_events += [cut.begin_us, cut.end_us]
        self._core_events.sort()

    def _add_fault(self, *, fault: MachineFault) -> None:
        span = (fault.begin_us, fault.end_us)
        if fault.what not in HARMLESS_FAULTS:
            self._fault_spans[fault.machine].append(span)
        if fault.what in DOWN_FAULTS:
            self._down_spans[fault.machine].append(span)
        if fault.machine not in self._history.core:
            return
        if fault.what in CORE_EVENT_FAULTS:
            self._core_events += span
        if fault.what == "slow":
            self._slow_core_spans.append(span)

    def _find_closing_fault_spans(self) -> list[tuple[int, int]]:
        """The spans, with `TouchMs` added, in which a closing fault took down most of the core."""
        if not self._history.closing_us:
            return []
        down_faults = [
            fault
            for fault in self._history.faults
            if fault.machine in self._history.core
            and fault.what in DOWN_FAULTS
            and fault.begin_us >= self._history.closing_us
        ]
        if 2 * len({fault.machine for fault in down_faults}) <= self._core_size(
            at_us=self._history.closing_us
        ):
            return []
        return [(fault.begin_us, fault.end_us + self._touch_us) for fault in down_faults]

    # --- the three conditions -------------------------------------------------------------

    def is_fault_free(self, *, node: str, begin_us: int, end_us: int) -> bool:
        """Condition 1: the machine itself has no fault in the span."""
        return not any(a <= end_us and b >= begin_us for a, b in self._fault_spans.get(node, ()))

    def running_core(self, *, at_us: int) -> list[str]:
        """The core machines that had joined and were not down at `at_us`, sorted by name."""
        return sorted(
            name
            for name in self._history.core
            if at_us >= self._history.core_since.get(name, 0)
            and not any(a <= at_us < b for a, b in self._down_spans.get(name, ()))
        )

    def is_partitioned(self, *, a: str, b: str, begin_us: int, end_us: int) -> bool:
        """True if the path between two machines was cut at some moment of the span."""
        return any(
            {cut.a, cut.b} == {a, b} and cut.begin_us <= end_us and cut.end_us >= begin_us
            for cut in self._history.cuts
        )

    def _has_majority(self, *, at_us: int) -> bool:
        """True if some running core machine reaches more than half of the core."""
        return bool(self._core_with_majority(at_us=at_us))

    def _core_with_majority(self, *, at_us: int) -> list[str]:
        running = self.running_core(at_us=at_us)
        out = []
        for name in running:
            reached = 1 + sum(
                other != name
                and not self.is_partitioned(a=name, b=other, begin_us=at_us, end_us=at_us)
                for other in running
            )
            if 2 * reached > self._core_size(at_us=at_us):
                out.append(name)
        return out

    def _core_size(self, *, at_us: int) -> int:
        """The number of core machines at a moment.

        A machine that was removed for good counts until its replacement joins.
        """
        present = sum(at_us >= self._history.core_since.get(name, 0) for name in self._history.core)
        replacements = sum(0 < since_us <= at_us for since_us in self._history.core_since.values())
        return max(1, present - replacements)

    def is_settled(self, *, begin_us: int, end_us: int) -> bool:
        """Condition 2: the core was settled in the span.

        No core machine failed, started or was partitioned, none was slow, and a majority was
        connected at the end.
        """
        index = bisect_left(self._core_events, begin_us)
        if index < len(self._core_events) and self._core_events[index] <= end_us:
            return False
        unsettled = (*self._slow_core_spans, *self._closing_fault_spans)
        if any(a <= end_us and b >= begin_us for a, b in unsettled):
            return False
        return self._has_majority(at_us=end_us)

    def has_core_paths(self, *, node: str, begin_us: int, end_us: int) -> bool:
        """Condition 3: the node has a path to every core machine that reaches a majority."""
        return not any(
            self.is_partitioned(a=node, b=name, begin_us=begin_us, end_us=end_us)
            for name in self._core_with_majority(at_us=end_us)
            if name != node
        )

    # --- predicates for the rules ---------------------------------------------------------

    def is_in_touch(self, *, node: str, at_us: int, since_us: int | None = None) -> bool:
        """True if the node was in touch at `at_us`, and at every moment from `since_us` on."""
        begin_us = (at_us if since_us is None else since_us) - self._touch_us
        return (
            self.is_fault_free(node=node, begin_us=begin_us, end_us=at_us)
            and self.is_settled(begin_us=begin_us, end_us=at_us)
            and self.has_core_paths(node=node, begin_us=begin_us, end_us=at_us)
        )

    def has_extended_bound(self, *, node: str, at_us: int, since_us: int) -> bool:
        """True if the node meets conditions 1 and 3 and the core had a majority all the time.

        The time bound for a configuration is then extended, but still applies.
        """
        begin_us = since_us - self._touch_us
        if not self.is_fault_free(node=node, begin_us=begin_us, end_us=at_us):
            return False
        if not self.has_core_paths(node=node, begin_us=begin_us, end_us=at_us):
            return False
        if any(a <= at_us and b >= begin_us for a, b in self._slow_core_spans):
            return False
        moments = [begin_us, at_us, *(e + 1 for e in self._core_events if begin_us <= e <= at_us)]
        moments += [e for e in self._core_events if begin_us <= e <= at_us]
        return all(self._has_majority(at_us=moment) for moment in moments)

    def is_calm_day(self, *, begin_us: int, end_us: int, is_planned_fine: bool = False) -> bool:
        """True if no machine and no network path had a fault in the span.

        With `is_planned_fine`, planned faults do not count.
        """
        for fault in self._history.faults:
            if fault.is_planned and is_planned_fine or fault.what in HARMLESS_FAULTS:
                continue
            end_of_effect_us = fault.begin_us if fault.what == "lost" else fault.end_us
            if fault.begin_us <= end_us and end_of_effect_us >= begin_us:
                return False
        return not any(
            cut.begin_us <= end_us and cut.end_us >= begin_us for cut in self._history.cuts
        )

    def was_recently_partitioned(self, *, a: str, b: str, at_us: int) -> bool:
        """True if the path between two machines was cut in the last `TouchMs`."""
        return self.is_partitioned(a=a, b=b, begin_us=at_us - self._touch_us, end_us=at_us)
