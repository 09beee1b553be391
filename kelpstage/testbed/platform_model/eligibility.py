"""Which machines were in touch, and when: the rules with a time bound bind only those."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

from kelpstage.testbed.platform_model.history import History, MachineFault

UNSETTLING = frozenset(("kill", "power", "freeze", "stop", "start", "lost", "clock", "reset"))
DOWN = frozenset(("kill", "power", "freeze", "stop", "lost"))
QUIET_WORDS = frozenset(("reread",))


class Touch:
    """Answers from a scenario's faults alone.

    >>> history = History(machines=frozenset("ab"), core=frozenset("a"))
    >>> history.faults.append(MachineFault(machine="b", what="freeze", begin_us=9, end_us=10))
    >>> touch = Touch(history=history)
    >>> touch.is_in_touch(node="a", at_us=20), touch.is_in_touch(node="b", at_us=20)
    (True, False)
    """

    def __init__(self, *, history: History) -> None:
        self._history = history
        self._touch_us = history.bounds.touch_us
        self._spans: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._down: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._events: list[int] = []
        self._slow_core: list[tuple[int, int]] = []
        self._closing: list[tuple[int, int]] = []
        for fault in history.faults:
            self._take(fault=fault)
        self._closing = self._closing_spans()
        for cut in history.cuts:
            if {cut.a, cut.b} <= history.core:
                self._events += [cut.begin_us, cut.end_us]
        self._events.sort()

    def _take(self, *, fault: MachineFault) -> None:
        span = (fault.begin_us, fault.end_us)
        if fault.what not in QUIET_WORDS:
            self._spans[fault.machine].append(span)
        if fault.what in DOWN:
            self._down[fault.machine].append(span)
        if fault.machine not in self._history.core:
            return
        if fault.what in UNSETTLING:
            self._events += span
        if fault.what == "slow":
            self._slow_core.append(span)

    def _closing_spans(self) -> list[tuple[int, int]]:
        """A closing fault that took most of the core unsettles it for `TouchMs` more."""
        if not self._history.closing_us:
            return []
        fell = [
            t
            for t in self._history.faults
            if t.machine in self._history.core
            and t.what in DOWN
            and t.begin_us >= self._history.closing_us
        ]
        if 2 * len({t.machine for t in fell}) <= self._core_size(at_us=self._history.closing_us):
            return []
        return [(t.begin_us, t.end_us + self._touch_us) for t in fell]

    # --- the three conditions -----------------------------------------------------------

    def is_calm(self, *, node: str, begin_us: int, end_us: int) -> bool:
        """Condition 1: no fault of the machine's own in the span."""
        return not any(a <= end_us and b >= begin_us for a, b in self._spans.get(node, ()))

    def running_core(self, *, at_us: int) -> list[str]:
        """The core machines that had joined and were not down at `at_us`, sorted by name."""
        return sorted(
            name
            for name in self._history.core
            if at_us >= self._history.core_since.get(name, 0)
            and not any(a <= at_us < b for a, b in self._down.get(name, ()))
        )

    def is_cut(self, *, a: str, b: str, begin_us: int, end_us: int) -> bool:
        """Was the path between two machines cut at some moment of the span?"""
        return any(
            {cut.a, cut.b} == {a, b} and cut.begin_us <= end_us and cut.end_us >= begin_us
            for cut in self._history.cuts
        )

    def _has_majority(self, *, at_us: int) -> bool:
        """Some running core machine that reaches more than half of the core."""
        return bool(self._joined_core(at_us=at_us))

    def _joined_core(self, *, at_us: int) -> list[str]:
        running = self.running_core(at_us=at_us)
        out = []
        for name in running:
            reached = 1 + sum(
                other != name and not self.is_cut(a=name, b=other, begin_us=at_us, end_us=at_us)
                for other in running
            )
            if 2 * reached > self._core_size(at_us=at_us):
                out.append(name)
        return out

    def _core_size(self, *, at_us: int) -> int:
        """Machines of the core at a moment: one that was taken away for good counts until
        another comes in its place."""
        there = sum(at_us >= self._history.core_since.get(name, 0) for name in self._history.core)
        fresh = sum(0 < since_us <= at_us for since_us in self._history.core_since.values())
        return max(1, there - fresh)

    def is_settled(self, *, begin_us: int, end_us: int) -> bool:
        """Condition 2: no event of the core's in the span, none of it slow, most of it up."""
        place = bisect_left(self._events, begin_us)
        if place < len(self._events) and self._events[place] <= end_us:
            return False
        unsettled = (*self._slow_core, *self._closing)
        if any(a <= end_us and b >= begin_us for a, b in unsettled):
            return False
        return self._has_majority(at_us=end_us)

    def has_paths(self, *, node: str, begin_us: int, end_us: int) -> bool:
        """Condition 3: a path to every running core machine that reaches most of the core."""
        return not any(
            self.is_cut(a=node, b=name, begin_us=begin_us, end_us=end_us)
            for name in self._joined_core(at_us=end_us)
            if name != node
        )

    # --- what the rules ask ------------------------------------------------------------------

    def is_in_touch(self, *, node: str, at_us: int, since_us: int | None = None) -> bool:
        """In touch at `at_us`, and at every moment from `since_us` on."""
        begin_us = (at_us if since_us is None else since_us) - self._touch_us
        return (
            self.is_calm(node=node, begin_us=begin_us, end_us=at_us)
            and self.is_settled(begin_us=begin_us, end_us=at_us)
            and self.has_paths(node=node, begin_us=begin_us, end_us=at_us)
        )

    def is_outer(self, *, node: str, at_us: int, since_us: int) -> bool:
        """Meets conditions 1 and 3, and most of the core was up all the while: the bound of
        configuration is stretched, not lifted."""
        begin_us = since_us - self._touch_us
        if not self.is_calm(node=node, begin_us=begin_us, end_us=at_us):
            return False
        if not self.has_paths(node=node, begin_us=begin_us, end_us=at_us):
            return False
        if any(a <= at_us and b >= begin_us for a, b in self._slow_core):
            return False
        moments = [begin_us, at_us, *(e + 1 for e in self._events if begin_us <= e <= at_us)]
        moments += [e for e in self._events if begin_us <= e <= at_us]
        return all(self._has_majority(at_us=moment) for moment in moments)

    def is_calm_day(self, *, begin_us: int, end_us: int, is_planned_fine: bool = False) -> bool:
        """No fault of any machine or network path in the span; planned work may be allowed."""
        for fault in self._history.faults:
            if fault.is_planned and is_planned_fine or fault.what in QUIET_WORDS:
                continue
            over_us = fault.begin_us if fault.what == "lost" else fault.end_us
            if fault.begin_us <= end_us and over_us >= begin_us:
                return False
        return not any(
            cut.begin_us <= end_us and cut.end_us >= begin_us for cut in self._history.cuts
        )

    def is_held_up(self, *, a: str, b: str, at_us: int) -> bool:
        """Was the path between two machines cut in the last `TouchMs`?"""
        return self.is_cut(a=a, b=b, begin_us=at_us - self._touch_us, end_us=at_us)
