"""Choosing the backend for a shard."""

from __future__ import annotations

import random
from dataclasses import dataclass

from kelpstage.base.blueprint.types import Blueprint
from kelpstage.edge.backend.book import Book
from kelpstage.edge.gather.pace import Paces

LEAST_US = 2_000
FAR_US = 30_000


@dataclass(frozen=True, kw_only=True, slots=True)
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
    blueprint: Blueprint,
    book: Book,
    paces: Paces,
    collection: str,
    shard: str,
    domain: str,
    now_us: int,
    rand: random.Random | None,
) -> list[Option]:
    """All backends of a shard, best first, the refused ones last with the reason.

    Those that lied a moment ago come after the others, and those that let a window
    pass and are silent still. The least cost is chosen:
    what is in flight, weighed by the backend's pace, and a charge for another
    domain; ties by lot.
    """
    out = []
    for name in blueprint.backends_of(collection=collection, shard=shard):
        entry = book.entry(name=name)
        refusal = book.refusal(name=name, blueprint=blueprint, now_us=now_us)
        is_near = blueprint.backends[name].labels.get("domain") == domain
        mean_us = paces.mean_us(name=name, now_us=now_us)
        cost = (entry.in_flight + 1) * (max(mean_us, LEAST_US) // LEAST_US * LEAST_US)
        cost += 0 if is_near else FAR_US
        is_distrusted = book.is_distrusted(name=name, now_us=now_us)
        is_overdue = book.is_overdue(name=name, now_us=now_us)
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
