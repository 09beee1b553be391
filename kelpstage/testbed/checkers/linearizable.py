"""Linearizability of a recorded history of operators: a register that is changed by
compare-and-set, with repeats, lost answers and reads.

The register holds a version and its content; it begins at version 0 without content. An
order (`Write`) takes the register from its base version to its own, once, at one moment
after its first try was sent and before its first acknowledgement. An order without a
clear answer may be taken at any later moment, or never. One that was refused is never
taken, and one that was taken is never refused, whatever other tries of it are answered. A read
returns what the register held at one moment while it was under way.

Since versions only rise, the orders that were taken form one chain from 0, each on top
of the one before. The orders known to be taken (acknowledged, or read) fix that chain but
for gaps, which orders without a clear answer must fill, and for its end, which they may
extend. Moments are then assigned from the left, each as early as it can be. Both are
nearly linear in the length of the history.

One check is weaker than it might be: a refusal sent before its base version
need have been current counts as justified without a further look.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Iterator

NEVER_US = 1 << 62
MOST_CHAINS = 4_096


class Answer(Enum):
    """What a try of an order was answered."""

    ACKNOWLEDGED = "acknowledged"
    CONFLICT = "another version is current"
    INVALID = "invalid"
    UNCLEAR = "no clear answer"


@dataclass(frozen=True, kw_only=True)
class Try:
    """One call with an order, from its sending to its answer, in microseconds."""

    sent_us: int
    done_us: int
    answer: Answer


@dataclass(kw_only=True)
class Write:
    """One order with all its tries, whoever sent them and wherever."""

    key: str
    base: int
    version: int
    content: str
    tries: list[Try] = field(default_factory=list)

    @property
    def sent_us(self) -> int:
        """When its first try was sent; raises `ValueError` if there was none."""
        return min(one.sent_us for one in self.tries)

    @property
    def acked_us(self) -> int:
        """When it was first acknowledged; `NEVER_US` if it was not."""
        return min((t.done_us for t in self.of(Answer.ACKNOWLEDGED)), default=NEVER_US)

    def of(self, *answers: Answer) -> list[Try]:
        """The tries that got one of these answers, in the order they were noted."""
        return [one for one in self.tries if one.answer in answers]

    @property
    def is_refused(self) -> bool:
        """Was any try refused, for its base version or as invalid?"""
        return bool(self.of(Answer.CONFLICT, Answer.INVALID))


@dataclass(frozen=True, kw_only=True)
class Read:
    """What a read returned; version 0 for an empty register."""

    sent_us: int
    done_us: int
    version: int
    content: str = ""


@dataclass(frozen=True, kw_only=True)
class Anomaly:
    """Why a history is not linearizable."""

    why: str
    at_us: int


def find_anomalies(*, writes: list[Write], reads: list[Read]) -> list[Anomaly]:
    """All that is wrong with a history by itself, else why no order of it fits.

    >>> tried = [Try(sent_us=1, done_us=4, answer=Answer.ACKNOWLEDGED)]
    >>> write = Write(key="a", base=0, version=3, content="x", tries=tried)
    >>> find_anomalies(writes=[write], reads=[Read(sent_us=2, done_us=3, version=0)])
    []
    >>> find_anomalies(writes=[write], reads=[Read(sent_us=5, done_us=6, version=0)])[0].why
    'a was in force by 4, yet version 0 was read after 5'
    """
    writes = [write for write in writes if write.tries]
    taken, out = _known_taken(writes=writes, reads=reads)
    out += _refused_though_taken(taken=taken)
    if out:
        return out
    best: list[Anomaly] = []
    chains = _chains(writes=writes, taken=taken)
    for count, chain in enumerate(chains):
        if isinstance(chain, Anomaly):
            best = best or [chain]
            continue
        found = _misfits(chain=chain, writes=writes, reads=reads)
        if not found:
            return []
        best = best or found
        if count >= MOST_CHAINS:
            break
    return best


def _known_taken(*, writes: list[Write], reads: list[Read]) -> tuple[list[Write], list[Anomaly]]:
    """The orders that were acknowledged or read, by version."""
    taken = {write.key: write for write in writes if write.acked_us < NEVER_US}
    out: list[Anomaly] = []
    by_state: dict[tuple[int, str], list[Write]] = {}
    for write in writes:
        by_state.setdefault((write.version, write.content), []).append(write)
    for read in reads:
        if not read.version:
            continue
        found = by_state.get((read.version, read.content), [])
        if not found:
            why = f"version {read.version} was read with a content that nobody sent"
            out.append(Anomaly(why=why, at_us=read.done_us))
        if len(found) == 1:
            taken.setdefault(found[0].key, found[0])
        elif found and not any(write.key in taken for write in found):
            fitting = [write for write in found if not write.is_refused] or found
            taken[fitting[0].key] = fitting[0]
    return sorted(taken.values(), key=lambda write: (write.version, write.acked_us)), out


def _refused_though_taken(*, taken: list[Write]) -> list[Anomaly]:
    """What needs no look at the order of things."""
    out: list[Anomaly] = []
    by_base: dict[int, Write] = {}
    by_version: dict[int, Write] = {}
    for write in taken:
        at_us = write.acked_us if write.acked_us < NEVER_US else write.sent_us
        for one in write.of(Answer.CONFLICT, Answer.INVALID)[:1]:
            why = f"{write.key} was taken, and refused ({one.answer.value})"
            out.append(Anomaly(why=why, at_us=one.done_us))
        if write.version <= write.base:
            why = f"{write.key} was taken, {write.version} on top of {write.base}"
            out.append(Anomaly(why=why, at_us=at_us))
        other = by_base.setdefault(write.base, write)
        if other is not write:
            why = f"{other.key} and {write.key} were both taken on top of {write.base}"
            out.append(Anomaly(why=why, at_us=at_us))
        other = by_version.setdefault(write.version, write)
        if other is not write:
            why = f"{other.key} and {write.key} were both taken as {write.version}"
            out.append(Anomaly(why=why, at_us=at_us))
    return out


def _chains(*, writes: list[Write], taken: list[Write]) -> Iterator[list[Write] | Anomaly]:
    """Every chain that the orders known to be taken allow, the shortest first; an anomaly
    for one that cannot be closed."""
    open_writes = [write for write in writes if not write.is_refused]
    by_version: dict[int, list[Write]] = {}
    by_base: dict[int, list[Write]] = {}
    for write in open_writes:
        if write.base < write.version:
            by_version.setdefault(write.version, []).append(write)
            by_base.setdefault(write.base, []).append(write)
    known = {write.version: [write] for write in taken}
    for chain in _closed(newest=taken[-1] if taken else None, known=known, by_version=by_version):
        if isinstance(chain, Anomaly):
            yield chain
            continue
        missing = {write.key for write in taken} - {write.key for write in chain}
        if missing:
            why = f"{min(missing)} was taken, and is left out by the changes after it"
            yield Anomaly(why=why, at_us=max(write.sent_us for write in chain))
            continue
        yield from _extended(chain=chain, by_base=by_base)


def _closed(
    *, newest: Write | None, known: dict[int, list[Write]], by_version: dict[int, list[Write]]
) -> Iterator[list[Write] | Anomaly]:
    """Chains from 0 to the newest order known to be taken, found from their end."""
    stack: list[list[Write]] = [[newest] if newest else []]
    while stack:
        backward = stack.pop()
        base = backward[-1].base if backward else 0
        if not base:
            yield backward[::-1]
            continue
        before = known.get(base) or by_version.get(base, [])
        if not before:
            first = backward[-1]
            why = f"{first.key} was taken on top of {base}, which never was in force"
            yield Anomaly(why=why, at_us=min(first.acked_us, first.sent_us))
        stack += [[*backward, write] for write in before]


def _extended(*, chain: list[Write], by_base: dict[int, list[Write]]) -> Iterator[list[Write]]:
    """The chain, and each way on over orders without a clear answer."""
    queue = [chain]
    for chain in queue:
        yield chain
        last = chain[-1].version if chain else 0
        queue += [[*chain, write] for write in by_base.get(last, [])]


def _misfits(*, chain: list[Write], writes: list[Write], reads: list[Read]) -> list[Anomaly]:
    """Why no moments can be given to the orders of a chain; none if they can."""
    place_of = {0: -1} | {write.version: place for place, write in enumerate(chain)}
    earliest = [write.sent_us for write in chain]
    latest = [write.acked_us for write in chain]
    for read in reads:
        place = place_of.get(read.version)
        if place is None:
            why = f"version {read.version} was read, and never was in force"
            return [Anomaly(why=why, at_us=read.done_us)]
        if place >= 0:
            latest[place] = min(latest[place], read.done_us)
        if place + 1 < len(chain):
            earliest[place + 1] = max(earliest[place + 1], read.sent_us)
    for place in range(len(chain) - 2, -1, -1):
        latest[place] = min(latest[place], latest[place + 1])
    for place in range(1, len(chain)):
        earliest[place] = max(earliest[place], earliest[place - 1])
    for write in writes:
        for one in write.of(Answer.CONFLICT):
            place = place_of.get(write.base)
            if place is None or write.version <= write.base:
                continue
            came_us = latest[place] if place >= 0 else 0
            if came_us >= one.sent_us:
                continue
            if place + 1 >= len(chain):
                why = f"{write.key} was refused while its base version was current"
                return [Anomaly(why=why, at_us=one.done_us)]
            latest[place + 1] = min(latest[place + 1], one.done_us)
    return _late(chain=chain, earliest=earliest, latest=latest)


def _late(*, chain: list[Write], earliest: list[int], latest: list[int]) -> list[Anomaly]:
    moment_us = 0
    for place, write in enumerate(chain):
        moment_us = max(moment_us, earliest[place])
        if moment_us > latest[place]:
            before = chain[place - 1].version if place else 0
            why = (
                f"{write.key} was in force by {latest[place]}, "
                f"yet version {before} was read after {moment_us}"
            )
            if moment_us == write.sent_us:
                why = f"{write.key} was in force by {latest[place]}, before it was sent"
            return [Anomaly(why=why, at_us=latest[place])]
    return []
