"""The book of backends: what this node knows of each, from whichever source.

States that everyone shares carry a turn; the higher turn is the later
knowledge, and at one turn the worse state stands. Only an exchange that began
after the bad news may say that a backend is up again. That a backend gives no
answer at all ('dark') is kept for each observer: one cut line must not condemn
a backend for all.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.base.blueprint.types import Blueprint
from kelpstage.base.wire.messages import RumorMsg

UP, DARK, DRAINING, GONE, LYING = 0, 1, 2, 3, 4
STATE_NAMES = {
    UP: "up", DARK: "dark", DRAINING: "draining", GONE: "gone", LYING: "lying",
}
DARK_KEPT_US = 4_000_000
DARK_VOICES = 2
FRESH_US = 3_000_000
RUMOR_COUNT = 16
DISTRUST_US = 1_000_000
LIES_COUNTED = 4
HEARSAY_US = 4_000_000
OVERDUE_US = 2_000_000
LIST_KEPT_US = 10_000_000
REST_US = 30_000_000
PROBE, KNOCK, LEAVE = "probe", "knock", "leave"
LIE_TOLD_US = 1_000_000


@dataclass(kw_only=True)
class Entry:
    name: str
    address: str = ""
    state: int = UP
    turn: int = 0
    since_us: int = 0
    why: str = "declared"
    seen_by: str = ""
    dark_by: dict[str, int] = field(default_factory=dict)
    strikes: int = 0
    in_flight: int = 0
    lies: int = 0
    distrusted_until_us: int = 0
    lied_us: int = -(10**12)
    looked_us: int = 0
    overdue_until_us: int = 0
    heard_us: int = -(10**12)


class Book:
    """Backends by name.

    >>> book = Book(me="n1")
    >>> book.observe(name="b", state=DRAINING, why="sign", now_us=10)
    True
    >>> book.observe(name="b", state=UP, why="probe", now_us=20, asked_us=5)
    False
    >>> book.observe(name="b", state=UP, why="probe", now_us=20, asked_us=15)
    True
    """

    def __init__(self, *, me: str) -> None:
        self._me = me
        self.entries: dict[str, Entry] = {}
        self._turn_to_tell = 0
        self._listed: dict[str, str] = {}
        self._listed_us = -LIST_KEPT_US

    def entry(self, *, name: str) -> Entry:
        entry = self.entries.get(name)
        if entry is None:
            entry = self.entries[name] = Entry(name=name)
        return entry

    def declare(self, *, blueprint: Blueprint, listed: dict[str, str]) -> None:
        """Follow a blueprint; an address it leaves out comes from the platform."""
        for name, backend in blueprint.backends.items():
            entry = self.entry(name=name)
            address = backend.address or listed.get(name, "")
            if address and address != entry.address:
                entry.address = address
                entry.strikes = 0
                entry.dark_by.clear()
        for name in sorted(set(self.entries) - set(blueprint.backends)):
            if not self.entries[name].in_flight:
                del self.entries[name]

    def follow_list(self, *, states: dict[str, str], now_us: int) -> None:
        """What the platform's list calls stopping is not asked, and what it leaves out
        is asked last, while it says so and is still being read."""
        self._listed, self._listed_us = states, now_us

    def is_listed_stopping(self, *, name: str, now_us: int) -> bool:
        is_fresh = now_us - self._listed_us < LIST_KEPT_US
        return is_fresh and self._listed.get(name) == "stopping"

    def is_unlisted(self, *, name: str, now_us: int) -> bool:
        """Does a list that holds others leave this one out?"""
        is_fresh = now_us - self._listed_us < LIST_KEPT_US
        return is_fresh and bool(self._listed) and name not in self._listed

    def way_to_look(self, *, name: str, blueprint: Blueprint, now_us: int, is_first: bool) -> str:
        """How a backend may be looked at now: by a request, by a bare connection, or
        not at all.

        A backend that is known to drain or to be gone gets no request, not even a
        probe. One that is gone is knocked at until it accepts again; one that drains
        until it refuses. So that a drain that was called off is not for ever, the
        first of its probers asks it once in half a minute.

        >>> book, empty = Book(me="n1"), Blueprint(version=1, document=b"")
        >>> book.way_to_look(name="b", blueprint=empty, now_us=0, is_first=True)
        'probe'
        >>> _ = book.observe(name="b", state=DRAINING, why="sign", now_us=1)
        >>> book.way_to_look(name="b", blueprint=empty, now_us=2, is_first=True)
        'knock'
        >>> book.way_to_look(name="b", blueprint=empty, now_us=REST_US + 1, is_first=True)
        'probe'
        """
        declared = blueprint.backends.get(name)
        if declared is not None and declared.is_draining:
            return LEAVE
        if self.is_listed_stopping(name=name, now_us=now_us):
            return KNOCK
        entry = self.entry(name=name)
        if entry.state not in (DRAINING, GONE):
            return PROBE
        since_us = max(entry.since_us, entry.looked_us)
        if entry.state == DRAINING and is_first and now_us - since_us >= REST_US:
            entry.looked_us = now_us
            return PROBE
        return KNOCK

    def observe(
        self, *, name: str, state: int, why: str, now_us: int, asked_us: int | None = None
    ) -> bool:
        """Note what was seen; true if it is news for others."""
        entry = self.entry(name=name)
        if state == UP:
            entry.strikes = 0
            entry.dark_by.pop(self._me, None)
        if state == entry.state:
            return False
        if state == UP and (asked_us is None or asked_us <= entry.since_us):
            return False
        if state == DRAINING and entry.state == GONE and asked_us is None:
            return False
        entry.state, entry.why, entry.seen_by = state, why, self._me
        entry.turn += 1
        entry.since_us = now_us
        return True

    def strike(self, *, name: str, now_us: int) -> bool:
        """No answer came; two in a row make the backend dark to this node, and gone
        if the platform's list leaves it out as well."""
        entry = self.entry(name=name)
        entry.strikes += 1
        self.note_overdue(name=name, now_us=now_us)
        if entry.strikes < 2:
            return False
        is_new = self._me not in entry.dark_by
        entry.dark_by[self._me] = now_us
        if self.is_unlisted(name=name, now_us=now_us):
            why = "silent, and not on the platform's list"
            is_new |= self.observe(name=name, state=GONE, why=why, now_us=now_us)
        return is_new

    def note_overdue(self, *, name: str, now_us: int) -> None:
        """It let a window pass and has not answered yet: ask others first, before it
        costs more searches a second round."""
        self.entry(name=name).overdue_until_us = now_us + OVERDUE_US

    def is_overdue(self, *, name: str, now_us: int) -> bool:
        return now_us < self.entry(name=name).overdue_until_us

    def heard_back(self, *, name: str, now_us: int) -> None:
        """Any answer at all shows that the backend is not dark."""
        entry = self.entry(name=name)
        entry.heard_us = now_us
        entry.strikes = entry.overdue_until_us = 0
        entry.dark_by.pop(self._me, None)

    def lied(self, *, name: str, now_us: int) -> None:
        """A reply failed its checks: ask others first for a while, longer each time."""
        entry = self.entry(name=name)
        entry.lies = min(entry.lies + 1, LIES_COUNTED)
        entry.distrusted_until_us = now_us + DISTRUST_US * 2 ** entry.lies
        entry.lied_us = now_us

    def told_truth(self, *, name: str) -> None:
        entry = self.entry(name=name)
        entry.lies, entry.distrusted_until_us = 0, 0

    def is_distrusted(self, *, name: str, now_us: int) -> bool:
        """Did this backend send bad bytes a moment ago, do partners call it silent, or
        does the platform's list leave it out?"""
        if now_us < self.entry(name=name).distrusted_until_us:
            return True
        return self.is_unlisted(name=name, now_us=now_us) or self.is_doubted(
            name=name, now_us=now_us
        )

    def take_rumor(self, *, rumor: RumorMsg, now_us: int) -> bool:
        """Take over later knowledge; true if it changed something."""
        entry = self.entries.get(rumor.backend)
        if entry is None or rumor.seen_by == self._me and rumor.state == DARK:
            return False
        if rumor.state == LYING:
            return self._hear_of_lie(entry=entry, rumor=rumor, now_us=now_us)
        if rumor.state == DARK:
            is_new = rumor.seen_by not in entry.dark_by
            entry.dark_by[rumor.seen_by] = now_us
            return is_new
        if (rumor.turn, rumor.state) <= (entry.turn, entry.state):
            return False
        entry.turn, entry.state = rumor.turn, rumor.state
        entry.why, entry.seen_by, entry.since_us = rumor.why, rumor.seen_by, now_us
        if rumor.state == UP:
            entry.strikes = 0
        return True

    def _hear_of_lie(self, *, entry: Entry, rumor: RumorMsg, now_us: int) -> bool:
        if rumor.seen_by == self._me or now_us < entry.distrusted_until_us:
            return False
        entry.distrusted_until_us = now_us + HEARSAY_US
        return True

    def rumors(self, *, now_us: int) -> list[RumorMsg]:
        """The news, then a share of all that is out of the ordinary, by turns."""
        news, rest = [], []
        for name in sorted(self.entries):
            entry = self.entries[name]
            if self._me in entry.dark_by:
                news.append(self._rumor(entry=entry, state=DARK, turn=0, seen_by=self._me))
            if now_us - entry.lied_us < LIE_TOLD_US:
                news.append(self._rumor(entry=entry, state=LYING, turn=0, seen_by=self._me))
            if entry.turn:
                rumor = self._rumor(
                    entry=entry, state=entry.state, turn=entry.turn, seen_by=entry.seen_by
                )
                (news if now_us - entry.since_us < FRESH_US else rest).append(rumor)
        room = max(4, RUMOR_COUNT - len(news))
        if rest:
            start = self._turn_to_tell % len(rest)
            self._turn_to_tell += room
            rest = (rest[start:] + rest[:start])[:room]
        return news[:2 * RUMOR_COUNT] + rest

    @staticmethod
    def _rumor(*, entry: Entry, state: int, turn: int, seen_by: str) -> RumorMsg:
        return RumorMsg(
            backend=entry.name, state=state, turn=turn, seen_by=seen_by, why=entry.why
        )

    def is_dark(self, *, name: str, now_us: int) -> bool:
        """Did it give this node itself no answer?"""
        return self._me in self.entry(name=name).dark_by

    def is_doubted(self, *, name: str, now_us: int) -> bool:
        """Do several partners say that it is silent, and did this node not hear it
        lately? A reason to ask others first, not more: two sides of a cut would else
        condemn each other's backends, and have none left when it heals."""
        entry = self.entry(name=name)
        if now_us - entry.heard_us < DARK_KEPT_US:
            return False
        voices = sum(now_us - at < DARK_KEPT_US for at in entry.dark_by.values())
        return voices >= DARK_VOICES

    def refusal(self, *, name: str, blueprint: Blueprint, now_us: int) -> str:
        """Why this backend may not be asked now; empty if it may."""
        backend = blueprint.backends.get(name)
        if backend is None:
            return "not declared"
        if backend.is_draining:
            return "label drain"
        entry = self.entry(name=name)
        if not entry.address:
            return "no address known"
        if self.is_listed_stopping(name=name, now_us=now_us):
            return "stopping on the platform's list"
        if entry.state != UP:
            return f"{STATE_NAMES[entry.state]} ({entry.why})"
        if self.is_dark(name=name, now_us=now_us):
            return "dark"
        return ""
