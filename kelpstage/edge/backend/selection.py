"""Choosing the backend for a shard.

Declared backends are chosen by pace and zone, as declared. Lives are chosen by the
time an answer is expected to take, with a lot: every edge shares their few slots and
none sees what the others have sent, so that the best must not draw everybody.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from math import log

from kelpstage.common.configuration.types import Configuration
from kelpstage.edge.backend.registry import DARK_KEPT_US, DARK_VOICES, BackendRegistry, Entry
from kelpstage.edge.gather.latency import LatencyEstimates

LEAST_US = 2_000
FAR_US = 30_000
COLD_TIMES = 1.6
LOT_POWER = 10  # a life of 1.3 times the cost is drawn once in 15 times, of twice once in 1,000
MIDDLE_LOT = 1.0


@dataclass(slots=True)
class Option:
    """One backend as the choice saw it; the least rank is chosen."""

    backend: str
    refusal: str
    is_near: bool
    in_flight: int
    mean_us: int
    is_distrusted: bool
    is_overdue: bool
    rank: tuple


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
) -> list[Option]:
    """All backends of a shard, best first, the refused ones last with the reason.

    A shard whose service is on the list of lives has its lives; any other has the
    backends that the configuration's selector picks.

    Those that lied a moment ago come after the others, and those that let a window
    pass and are silent still. The least cost is chosen:
    what is in flight, weighed by the backend's pace, and a charge for another
    zone; ties by lot.
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
        cost = (entry.in_flight + 1) * (max(mean_us, LEAST_US) // LEAST_US * LEAST_US)
        cost += 0 if is_near else FAR_US
        is_distrusted = registry.is_distrusted(name=name, now_us=now_us)
        is_overdue = registry.is_overdue(name=name, now_us=now_us)
        lot = rand.random() if rand else 0.0
        out.append(
            Option(
                backend=name,
                refusal=refusal,
                is_near=is_near,
                in_flight=entry.in_flight,
                mean_us=mean_us,
                is_distrusted=is_distrusted,
                is_overdue=is_overdue,
                rank=(bool(refusal), is_distrusted, is_overdue, cost, lot, name),
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
) -> list[Option]:
    """Lives by the time an answer is expected to take, drawn by lot.

    That time is the life's own pace (the service's median where nothing is known),
    longer for what is in flight over its slots, while it is cold and after failures,
    and the way to its zone. Of two lives, the one that costs 1.3 times as much is drawn
    once in 15 times; so speed, queues and distance weigh, and equals share alike.

    If every one that the list gives is shunned, the least bad one is offered still.
    """
    entries, own_zone = registry.entries, registry.places.zone
    median_us = registry.median_us(service=service, now_us=now_us)
    draw = rand.random if rand else None
    out = []
    is_any_free = False
    for name in instances:
        entry = entries[name]
        refusal = (
            "" if _is_plain(entry) else registry.refusal_of_instance(entry=entry, now_us=now_us)
        )
        seen = entry.seen
        mean_us = seen.latency_us(median_us=median_us, now_us=now_us)
        cost = expected_us(entry=entry, mean_us=mean_us, now_us=now_us)
        is_doubted = bool(entry.dark_by) and _is_doubted(entry=entry, now_us=now_us)
        lot = -log(1.0 - draw()) if draw else MIDDLE_LOT
        if not refusal:
            is_any_free = True
        out.append(
            Option(
                name,
                refusal,
                entry.zone == own_zone,
                entry.in_flight,
                int(mean_us),
                is_doubted,
                now_us < seen.full_until_us,
                (refusal != "", is_doubted, False, cost**LOT_POWER * lot, 0.0, name),
            )
        )
    out.sort(key=_rank)
    if not is_any_free:
        _offer_least_bad(options=out, registry=registry, now_us=now_us)
    return out


def _rank(option: Option) -> tuple:
    return option.rank


def _is_plain(entry: Entry) -> bool:
    """Nothing speaks against it; the common case, looked at without a call."""
    return (
        not entry.state
        and not entry.seen.shunned_until_us
        and not entry.gone_us
        and not 0 < entry.line_limit <= entry.in_flight
    )


def expected_us(*, entry: Entry, mean_us: float, now_us: int) -> float:
    """How long an answer of this life is expected to take, and what its way costs."""
    seen = entry.seen
    load = entry.in_flight + 1
    if now_us < seen.full_until_us:
        load += entry.slots
    cost = mean_us
    if load > 1:
        cost += mean_us * (load - 1) / entry.slots
    if now_us < entry.cold_until_us:
        cost *= COLD_TIMES
    if seen.fail_share:
        cost = seen.with_failures(cost_us=cost, now_us=now_us)
    return cost + entry.distance_us + entry.charge_us


def _is_doubted(*, entry: Entry, now_us: int) -> bool:
    """Do two peers or more shun it, and did this node have no answer since?"""
    voices = sum(
        now_us - at < DARK_KEPT_US and at > entry.heard_us for at in entry.dark_by.values()
    )
    return voices >= DARK_VOICES


def _offer_least_bad(*, options: list[Option], registry: BackendRegistry, now_us: int) -> None:
    """Lives that are only shunned are better than none: the one whose time is nearest."""
    shunned = [option for option in options if option.refusal in ("shunned", "on trial")]
    if not shunned:
        return
    best = min(
        shunned,
        key=lambda option: (
            registry.entries[option.backend].in_flight,
            registry.entries[option.backend].seen.shunned_until_us,
            option.backend,
        ),
    )
    best.refusal = ""
    best.rank = (False, *best.rank[1:])
    options.remove(best)
    options.insert(0, best)
