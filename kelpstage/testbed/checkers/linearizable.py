"""Linearizability of a history of compare-and-set writes to one register, with reads, repeated
writes and lost answers.

The register holds a version and its content, and starts empty at version 0. A write takes
the register from its base version to its own version, once, at one point in time after its
first attempt was sent and before its first acknowledgement. A write without a clear answer
may be applied at any later time, or never. A write that was refused in any attempt is never
applied, and an applied write is never refused. A read returns the state of the register at
one point in time between its start and its end.

Since versions only rise, the applied writes form one chain from version 0, each based on
the one before. The writes known to be applied (acknowledged, or read) determine that chain
except for gaps, which writes without a clear answer must fill, and for its end, which such
writes may extend. Points in time are then assigned from the start of the chain, each as
early as possible. Both steps are nearly linear in the length of the history.

One check is incomplete: a refusal that was sent before its base version must have been
current is accepted without further checks.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Iterator

NEVER_US = 1 << 62
MAX_CHAINS = 4_096


class Answer(Enum):
    """The answer to one attempt of a write."""

    ACKNOWLEDGED = "acknowledged"
    CONFLICT = "another version is current"
    INVALID = "invalid"
    UNCLEAR = "no clear answer"


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt of a write, from its start to its answer, in microseconds."""

    sent_us: int
    done_us: int
    answer: Answer


@dataclass(kw_only=True)
class Write:
    """One configuration write with all its attempts, by any operator at any core."""

    key: str
    base: int
    version: int
    content: str
    tries: list[Attempt] = field(default_factory=list)

    @property
    def sent_us(self) -> int:
        """When the first attempt was sent; raises `ValueError` if there is none."""
        return min(attempt.sent_us for attempt in self.tries)

    @property
    def acked_us(self) -> int:
        """When the write was first acknowledged; `NEVER_US` if it was not."""
        return min(
            (attempt.done_us for attempt in self.attempts_with(Answer.ACKNOWLEDGED)),
            default=NEVER_US,
        )

    def attempts_with(self, *answers: Answer) -> list[Attempt]:
        """Return the attempts with one of these answers, in the order of `tries`."""
        return [attempt for attempt in self.tries if attempt.answer in answers]

    @property
    def is_refused(self) -> bool:
        """True if any attempt was refused, for its base version or as invalid."""
        return bool(self.attempts_with(Answer.CONFLICT, Answer.INVALID))


@dataclass(frozen=True, kw_only=True)
class Read:
    """The result of a read; version 0 for an empty register."""

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
    """Return the contradictions in a history, or why no sequential order explains it.

    >>> tried = [Attempt(sent_us=1, done_us=4, answer=Answer.ACKNOWLEDGED)]
    >>> write = Write(key="a", base=0, version=3, content="x", tries=tried)
    >>> find_anomalies(writes=[write], reads=[Read(sent_us=2, done_us=3, version=0)])
    []
    >>> find_anomalies(writes=[write], reads=[Read(sent_us=5, done_us=6, version=0)])[0].why
    'a was in force by 4, yet version 0 was read after 5'
    """
    writes = [write for write in writes if write.tries]
    applied, out = _known_applied(writes=writes, reads=reads)
    out += _conflicting_writes(applied=applied)
    if out:
        return out
    best: list[Anomaly] = []
    chains = _chains(writes=writes, applied=applied)
    for count, chain in enumerate(chains):
        if isinstance(chain, Anomaly):
            best = best or [chain]
            continue
        found = _timing_anomalies(chain=chain, writes=writes, reads=reads)
        if not found:
            return []
        best = best or found
        if count >= MAX_CHAINS:
            break
    return best


def _known_applied(*, writes: list[Write], reads: list[Read]) -> tuple[list[Write], list[Anomaly]]:
    """Return the writes that were acknowledged or read, by version, and the reads of content
    that no operator sent."""
    applied = {write.key: write for write in writes if write.acked_us < NEVER_US}
    out: list[Anomaly] = []
    by_state: dict[tuple[int, str], list[Write]] = {}
    for write in writes:
        by_state.setdefault((write.version, write.content), []).append(write)
    for read in reads:
        if not read.version:
            continue
        found = by_state.get((read.version, read.content), [])
        if not found:
            why = f"version {read.version} was read with content that no operator sent"
            out.append(Anomaly(why=why, at_us=read.done_us))
        if len(found) == 1:
            applied.setdefault(found[0].key, found[0])
        elif found and not any(write.key in applied for write in found):
            fitting = [write for write in found if not write.is_refused] or found
            applied[fitting[0].key] = fitting[0]
    return sorted(applied.values(), key=lambda write: (write.version, write.acked_us)), out


def _conflicting_writes(*, applied: list[Write]) -> list[Anomaly]:
    """Return the contradictions among applied writes that do not depend on their timing."""
    out: list[Anomaly] = []
    by_base: dict[int, Write] = {}
    by_version: dict[int, Write] = {}
    for write in applied:
        at_us = write.acked_us if write.acked_us < NEVER_US else write.sent_us
        for attempt in write.attempts_with(Answer.CONFLICT, Answer.INVALID)[:1]:
            why = f"{write.key} was applied, and refused ({attempt.answer.value})"
            out.append(Anomaly(why=why, at_us=attempt.done_us))
        if write.version <= write.base:
            why = f"{write.key} was applied, version {write.version} on base version {write.base}"
            out.append(Anomaly(why=why, at_us=at_us))
        other = by_base.setdefault(write.base, write)
        if other is not write:
            why = f"{other.key} and {write.key} were both applied on base version {write.base}"
            out.append(Anomaly(why=why, at_us=at_us))
        other = by_version.setdefault(write.version, write)
        if other is not write:
            why = f"{other.key} and {write.key} were both applied as version {write.version}"
            out.append(Anomaly(why=why, at_us=at_us))
    return out


def _chains(*, writes: list[Write], applied: list[Write]) -> Iterator[list[Write] | Anomaly]:
    """Yield the chains that include all writes known to be applied, the shortest first, and an
    anomaly for each candidate that is not such a chain."""
    unrefused = [write for write in writes if not write.is_refused]
    by_version: dict[int, list[Write]] = {}
    by_base: dict[int, list[Write]] = {}
    for write in unrefused:
        if write.base < write.version:
            by_version.setdefault(write.version, []).append(write)
            by_base.setdefault(write.base, []).append(write)
    known = {write.version: [write] for write in applied}
    for chain in _chains_back_to_empty(
        newest=applied[-1] if applied else None, known=known, by_version=by_version
    ):
        if isinstance(chain, Anomaly):
            yield chain
            continue
        missing = {write.key for write in applied} - {write.key for write in chain}
        if missing:
            why = f"{min(missing)} was applied, but later writes are not based on it"
            yield Anomaly(why=why, at_us=max(write.sent_us for write in chain))
            continue
        yield from _extensions(chain=chain, by_base=by_base)


def _chains_back_to_empty(
    *, newest: Write | None, known: dict[int, list[Write]], by_version: dict[int, list[Write]]
) -> Iterator[list[Write] | Anomaly]:
    """Yield the chains from 0 to the newest write known to be applied, built from their end."""
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
            why = f"{first.key} was applied on base version {base}, which was never in force"
            yield Anomaly(why=why, at_us=min(first.acked_us, first.sent_us))
        stack += [[*backward, write] for write in before]


def _extensions(*, chain: list[Write], by_base: dict[int, list[Write]]) -> Iterator[list[Write]]:
    """Yield the chain and its extensions by writes without a clear answer."""
    queue = [chain]
    for chain in queue:
        yield chain
        last = chain[-1].version if chain else 0
        queue += [[*chain, write] for write in by_base.get(last, [])]


def _timing_anomalies(
    *, chain: list[Write], writes: list[Write], reads: list[Read]
) -> list[Anomaly]:
    """Return why the writes of a chain cannot be ordered in time; empty if they can."""
    index_of = {0: -1} | {write.version: index for index, write in enumerate(chain)}
    earliest = [write.sent_us for write in chain]
    latest = [write.acked_us for write in chain]
    for read in reads:
        index = index_of.get(read.version)
        if index is None:
            why = f"version {read.version} was read, but was never in force"
            return [Anomaly(why=why, at_us=read.done_us)]
        if index >= 0:
            latest[index] = min(latest[index], read.done_us)
        if index + 1 < len(chain):
            earliest[index + 1] = max(earliest[index + 1], read.sent_us)
    for index in range(len(chain) - 2, -1, -1):
        latest[index] = min(latest[index], latest[index + 1])
    for index in range(1, len(chain)):
        earliest[index] = max(earliest[index], earliest[index - 1])
    for write in writes:
        for attempt in write.attempts_with(Answer.CONFLICT):
            index = index_of.get(write.base)
            if index is None or write.version <= write.base:
                continue
            applied_us = latest[index] if index >= 0 else 0
            if applied_us >= attempt.sent_us:
                continue
            if index + 1 >= len(chain):
                why = f"{write.key} was refused while its base version was current"
                return [Anomaly(why=why, at_us=attempt.done_us)]
            latest[index + 1] = min(latest[index + 1], attempt.done_us)
    return _assignment_anomalies(chain=chain, earliest=earliest, latest=latest)


def _assignment_anomalies(
    *, chain: list[Write], earliest: list[int], latest: list[int]
) -> list[Anomaly]:
    applied_us = 0
    for index, write in enumerate(chain):
        applied_us = max(applied_us, earliest[index])
        if applied_us > latest[index]:
            before = chain[index - 1].version if index else 0
            why = (
                f"{write.key} was in force by {latest[index]}, "
                f"yet version {before} was read after {applied_us}"
            )
            if applied_us == write.sent_us:
                why = f"{write.key} was in force by {latest[index]}, before it was sent"
            return [Anomaly(why=why, at_us=latest[index])]
    return []
