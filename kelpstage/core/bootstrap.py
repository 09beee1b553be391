"""Bootstrap: how an empty core founds a cluster or joins one.

A cluster is founded only if all seeds answer, all are empty, and most of them are in the
first start of the whole system. Of these, the one with the lowest replica name founds the
cluster, on its own disk. The others learn of it by probing the seeds, as any empty core
does, so there is no founding message that could arrive late.

At any later start an empty core only joins: it may have lost its disk, and the seeds in its
settings may be empty too while the cluster runs on other machines. If most seeds are in
their first start, nothing was ever acknowledged: a cluster founded from these seeds needs
most of them to commit an entry. A seed that was restarted before the founding, and that may
therefore not found a cluster, does not block the others.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.transport.messages import CoreMember, SeedState
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.core.store.records import DiskSnapshot

FOUNDING_INDEX = 1
FOUNDING_TERM = 1


@dataclass(frozen=True, kw_only=True)
class WaitForSeeds:
    """Neither founding nor joining is possible yet, for this reason."""

    why: str


@dataclass(frozen=True, kw_only=True)
class JoinCluster:
    """Join this cluster; `members` are its founding members if this core is one of them."""

    cluster: str
    members: list[CoreMember]


@dataclass(frozen=True, kw_only=True)
class FoundCluster:
    """Found a cluster with these members."""

    members: list[CoreMember]


def decide_bootstrap(
    *, me: str, own_address: str, seeds: list[str], states: list[SeedState | KelpstageError]
) -> WaitForSeeds | JoinCluster | FoundCluster:
    """The next bootstrap step of an empty core, from the states of the seeds that answer.

    >>> state = lambda r, a: SeedState(replica=r, address=a, is_empty=True)
    >>> three = [state("x", "1"), state("y", "2"), state("z", "3")]
    >>> type(
    ...     decide_bootstrap(me="x", own_address="1", seeds=["1", "2", "3"], states=three)).__name__
    'FoundCluster'
    >>> decide_bootstrap(me="y", own_address="2", seeds=["1", "2", "3"], states=three)
    WaitForSeeds(why='the seed x founds')
    >>> three[0].only_joins = True
    >>> decide_bootstrap(me="x", own_address="1", seeds=["1", "2", "3"], states=three)
    WaitForSeeds(why='the seed y founds')
    >>> decide_bootstrap(me="x", own_address="1", seeds=["1", "2", "3"],
    ...     states=[SeedState(replica="y", cluster="c"), *three[1:]])
    JoinCluster(cluster='c', members=[])
    """
    answers = [state for state in states if isinstance(state, SeedState)]
    clusters = sorted({state.cluster for state in answers if not state.is_empty and state.cluster})
    if len(clusters) > 1:
        return WaitForSeeds(why=f"seeds of {len(clusters)} clusters: {', '.join(clusters)}")
    if clusters:
        named = [state.members for state in answers if any(m.replica == me for m in state.members)]
        return JoinCluster(cluster=clusters[0], members=named[0] if named else [])
    if len(answers) < len(seeds):
        return WaitForSeeds(why=f"{len(answers)} of {len(seeds)} seeds answer")
    if own_address not in seeds:
        return WaitForSeeds(why="not a seed itself, and no seed has a cluster")
    if len({state.replica for state in answers}) < len(seeds):
        return WaitForSeeds(why="two seeds are one process")
    founders = sorted(state.replica for state in answers if not state.only_joins)
    if len(founders) * 2 <= len(seeds):
        return WaitForSeeds(why=f"{len(founders)} of {len(seeds)} seeds may found a cluster")
    if founders[0] != me:
        return WaitForSeeds(why=f"the seed {founders[0]} founds")
    return FoundCluster(
        members=[
            CoreMember(replica=state.replica, address=state.address, http=state.http, is_voter=True)
            for state in answers
        ]
    )


def founding_snapshot(*, cluster: str, members: list[CoreMember]) -> DiskSnapshot:
    """The snapshot that every founding replica starts from.

    >>> founding_snapshot(cluster="c", members=[]).index
    1
    """
    return DiskSnapshot(
        index=FOUNDING_INDEX,
        term=FOUNDING_TERM,
        members=sorted(members, key=lambda m: m.replica),
        state=bytes(CoreState(cluster=cluster)),
        cluster=cluster,
    )
