"""Selects the backend for a shard.

Declared backends are ranked by latency, load and zone. Discovered instances are ranked by the
expected time of an answer with a random weight. All edges share the few slots of an instance
and none sees the requests of the others, so without randomness all of them would send to the
best one.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import log

from kelpstage.common.configuration.types import Configuration
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.backend.suspected_instances import (
    UNREACHABLE_REPORT_QUORUM,
    UNREACHABLE_REPORT_TTL_US,
)
from kelpstage.edge.gather.latency import LatencyEstimates

LATENCY_STEP_US = 2_000  # latencies of declared backends are rounded down to steps
FAR_US = 30_000  # added to the cost of a declared backend in another zone
WARMING_UP_FACTOR = 1.6  # of the expected latency, during slow start
# An instance with 1.3 times the cost is chosen once in 15 times, with twice the cost 1 in 1,000.
RANDOM_CHOICE_POWER = 10
MEAN_RANDOM_WEIGHT = 1.0  # weight of every instance without a random generator


# Refused, suspected, overdue (of an instance: a fallback during a rollout), cost, tie-breaking
# random number, name.
Rank = tuple[bool, bool, bool, float, float, str]


@dataclass(slots=True)
class Candidate:
    """One candidate of a selection; the one with the lowest rank is chosen.

    `refusal` is the reason why it may not receive requests, empty if it may; `mean_us` is its
    latency estimate.
    """

    backend: str
    refusal: str
    is_near: bool
    in_flight: int
    mean_us: int
    is_suspected: bool
    is_overdue: bool
    rank: Rank


def options(
    *,
    configuration: Configuration,
    registry: BackendRegistry,
    latencies: LatencyEstimates,
    collection: str,
    shard: str,
    zone: str,
    now_us: int,
    rand: random.Random | None,
) -> list[Candidate]:
    """Return all backends of a shard, best first, refused ones last with the reason.

    The backends are those that the configuration's selector matches or, if it matches none,
    the discovered instances of the service.

    Suspected and overdue backends rank after the others. Then the lowest cost ranks first:
    the requests in flight weighted by the latency estimate, plus a charge for another zone.
    Ties are broken at random.
    """
    instances = registry.instances_of(shard)
    if instances and not configuration.backends_of(collection=collection, shard=shard):
        return _instance_options(
            registry=registry, service=shard, instances=instances, now_us=now_us, rand=rand
        )
    out = []
    for name in configuration.backends_of(collection=collection, shard=shard):
        entry = registry.entry(name=name)
        refusal = registry.refusal(name=name, configuration=configuration, now_us=now_us)
        is_near = configuration.backends[name].labels.get("domain") == zone
        mean_us = latencies.mean_us(name=name, now_us=now_us)
        latency_steps = max(mean_us, LATENCY_STEP_US) // LATENCY_STEP_US
        cost = (entry.in_flight + 1) * latency_steps * LATENCY_STEP_US
        cost += 0 if is_near else FAR_US
        is_suspected = registry.is_suspected(name=name, now_us=now_us)
        is_overdue = registry.is_overdue(name=name, now_us=now_us)
        random_part = rand.random() if rand else 0.0
        out.append(
            Candidate(
                backend=name,
                refusal=refusal,
                is_near=is_near,
                in_flight=entry.in_flight,
                mean_us=mean_us,
                is_suspected=is_suspected,
                is_overdue=is_overdue,
                rank=(bool(refusal), is_suspected, is_overdue, cost, random_part, name),
            )
        )
    return sorted(out, key=lambda option: option.rank)


def _instance_options(
    *,
    registry: BackendRegistry,
    service: str,
    instances: tuple[str, ...],
    now_us: int,
    rand: random.Random | None,
) -> list[Candidate]:
    """Return the instances ranked by the expected time of an answer, with a random weight.

    The expected time is the instance's latency (the service's median if it has no answers
    yet), raised by requests in flight per slot, slow start and failures, plus the distance to
    its zone. So speed, queueing and distance count, and equal instances share the load
    equally.

    If no instance is available, the ejected one that may be tried soonest is offered. During a
    rollout, an instance whose version may not be used is refused, whatever else holds.
    """
    entries, own_zone = registry.entries, registry.zone_distances.zone
    median_us = registry.median_us(service=service, now_us=now_us)
    random_number = rand.random if rand else None
    out = []
    is_any_available = False
    version = None
    if registry.version_routing.has_rollout(service=service):
        version = registry.version_routing.choose(
            service=service, entries=[entries[name] for name in instances], rand=rand
        )
    for name in instances:
        entry = entries[name]
        refusal = (
            ""
            if _is_unrestricted(entry)
            else registry.refusal_of_instance(entry=entry, now_us=now_us)
        )
        if version is not None:
            refusal = version.refusal(entry=entry) or refusal
        seen = entry.outlier_statistics
        mean_us = seen.latency_us(median_us=median_us, now_us=now_us)
        cost = expected_cost_us(entry=entry, mean_us=mean_us, now_us=now_us)
        is_suspected = bool(entry.unreachable_by) and _is_reported_ejected(
            entry=entry, now_us=now_us
        )
        random_part = -log(1.0 - random_number()) if random_number else MEAN_RANDOM_WEIGHT
        weight = cost**RANDOM_CHOICE_POWER * random_part
        if not refusal:
            is_any_available = True
        out.append(
            Candidate(
                name,
                refusal,
                entry.zone == own_zone,
                entry.in_flight,
                int(mean_us),
                is_suspected,
                now_us < seen.overloaded_until_us,
                (
                    refusal != "",
                    is_suspected,
                    version is not None and version.is_fallback(entry=entry),
                    weight,
                    0.0,
                    name,
                ),
            )
        )
    out.sort(key=_rank)
    if not is_any_available:
        _offer_least_bad(options=out, registry=registry, now_us=now_us)
    return out


def _rank(option: Candidate) -> Rank:
    return option.rank


def _is_unrestricted(entry: BackendEntry) -> bool:
    """True if no condition can refuse the instance; this skips a call in the common case."""
    return (
        not entry.state
        and not entry.outlier_statistics.ejected_until_us
        and not entry.removed_us
        and not 0 < entry.connection_limit <= entry.in_flight
    )


def expected_cost_us(*, entry: BackendEntry, mean_us: float, now_us: int) -> float:
    """Return the expected time of an answer plus the charge of its zone, in microseconds."""
    seen = entry.outlier_statistics
    load = entry.in_flight + 1
    if now_us < seen.overloaded_until_us:
        load += entry.slots
    cost = mean_us
    if load > 1:
        cost += mean_us * (load - 1) / entry.slots
    if now_us < entry.warming_up_until_us:
        cost *= WARMING_UP_FACTOR
    if seen.failure_share:
        cost = seen.failure_adjusted_cost_us(cost_us=cost, now_us=now_us)
    return cost + entry.distance_us + entry.charge_us


def _is_reported_ejected(*, entry: BackendEntry, now_us: int) -> bool:
    """True if several peers ejected the instance and it has not answered this edge since."""
    reports = sum(
        now_us - at_us < UNREACHABLE_REPORT_TTL_US and at_us > entry.responded_us
        for at_us in entry.unreachable_by.values()
    )
    return reports >= UNREACHABLE_REPORT_QUORUM


def _offer_least_bad(*, options: list[Candidate], registry: BackendRegistry, now_us: int) -> None:
    """Move the ejected instance that may be tried soonest to the front, without a refusal."""
    ejected = [option for option in options if option.refusal in ("shunned", "on trial")]
    if not ejected:
        return
    best = min(
        ejected,
        key=lambda option: (
            registry.entries[option.backend].in_flight,
            registry.entries[option.backend].outlier_statistics.ejected_until_us,
            option.backend,
        ),
    )
    best.refusal = ""
    best.rank = (False, *best.rank[1:])
    options.remove(best)
    options.insert(0, best)
