"""New versions of a service, good ones and bad ones of each kind."""

from __future__ import annotations

import random
from typing import Any

from kelpstage.testbed.platform_model.backends import Backend, VersionFault
from kelpstage.testbed.platform_model.faults.timing import sleep
from kelpstage.testbed.platform_model.history import RolloutOrder

OVER_US = 14_000_000
WATCH_AFTER_TERM_US = 6_000_000
DRAIN_DELAY_S = 2.0  # from the revert until the new backends drain
SLOW_FACTOR = 8.0
LOST_ANSWERS = 0.9
LATE_AFTER_US = 4_500_000  # from the start of an instance


async def rollout_good(play: Any, rand: random.Random) -> None:
    """A version without a fault is brought in."""
    await _rollout(play, rand, fault=None)


async def rollout_errors(play: Any, rand: random.Random) -> None:
    """Half of the requests to the new version fail."""
    await _rollout(play, rand, fault=VersionFault())


async def rollout_slow(play: Any, rand: random.Random) -> None:
    """Half of the requests to the new version take eight times as long."""
    await _rollout(play, rand, fault=VersionFault(slow_factor=SLOW_FACTOR))


async def rollout_under_load(play: Any, rand: random.Random) -> None:
    """The new version fails where every slot of an instance is busy."""
    await _rollout(play, rand, fault=VersionFault(is_under_load=True))


async def rollout_one_kind(play: Any, rand: random.Random) -> None:
    """The new version fails for one kind of request alone."""
    draft = next(d for d in play.drafts.routes.values() if d.fan_out)
    await _rollout(play, rand, fault=VersionFault(only_kind=draft.kind))


async def rollout_late(play: Any, rand: random.Random) -> None:
    """The new version fails from some seconds after the start of an instance on."""
    await _rollout(play, rand, fault=VersionFault(after_us=LATE_AFTER_US))


async def rollout_answers_lost(play: Any, rand: random.Random) -> None:
    """Most answers to the order of a good rollout are lost."""
    play.rollout_operator.lose_share = LOST_ANSWERS
    await _rollout(play, rand, fault=None)


def target_instances(
    play: Any, *, old: list[Backend], order: RolloutOrder, fault: VersionFault | None
) -> list[Backend]:
    """Start an instance of the target version beside each old one."""
    return [
        play.backend_pool.start(
            service=backend.service,
            zone=backend.zone,
            revision=order.target,
            version_fault=fault,
        )
        for backend in old
    ]


def drain_all(play: Any, *, backends: list[Backend]) -> None:
    """Drain these instances."""
    for backend in backends:
        play.backend_pool.drain(backend=backend)


async def _rollout(play: Any, rand: random.Random, *, fault: VersionFault | None) -> None:
    """Order a rollout of one shard, and start and stop backends as the platform does."""
    service = rand.choice(next(d for d in play.drafts.routes.values() if d.fan_out).fan_out)
    number = len(play.history.rollouts) + 2
    order = RolloutOrder(
        key=f"rollout-{number}",
        service=service,
        target=f"v{number}",
        over_us=OVER_US,
        is_bad=fault is not None,
    )
    old = play.backend_pool.active_instances(service=service)
    starts_early = rand.random() < 0.5
    new = target_instances(play, old=old, order=order, fault=fault) if starts_early else []
    await play.rollout_operator.begin(order=order)
    if not order.acked_us:
        drain_all(play, backends=new)
        return
    new = new or target_instances(play, old=old, order=order, fault=fault)
    await play.rollout_operator.watch(order=order, until_us=order.term_us + WATCH_AFTER_TERM_US)
    play.later(play.rollout_operator.read_again(order=order))
    if order.complete_us:
        for backend in play.backend_pool.active_instances(service=service):
            if backend.revision != order.target:
                play.backend_pool.stop(backend=backend)
    if order.reverted_us:
        await sleep(s=DRAIN_DELAY_S)
        drain_all(play, backends=new)
