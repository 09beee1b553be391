"""Racing configuration writes: lost answers, equal version numbers, network partitions, killed
core machines, and repeats of acknowledged writes."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from kelpstage.testbed.platform_model.faults.configuration import config_change
from kelpstage.testbed.platform_model.history import Cut, Order

CONCURRENT_WRITES = 8
ROUNDS = 3
LOST_ANSWER_SHARE = 0.7
PARTITION_S = 5.0


async def race_writes(
    play: Any, rand: random.Random, *, count: int = 2, is_one_number: bool = False
) -> list[Order]:
    """Two operators send different writes on the same base version at the same time, and the
    drafts follow the write that is in force afterwards."""
    async with play.changing:
        operators = (play.operator, play.second_operator)
        for who in operators:
            await who.catch_up()
        base = max(who.revision for who in operators)
        before = dict(play.drafts.routes)
        orders, tables = [], []
        for index in range(count):
            play.drafts.routes = dict(before)
            rand.choice((play.drafts.move, play.drafts.split, play.drafts.change_time_out))()
            revision = base + (2 if is_one_number else rand.randrange(1, 9))
            order = play.operator.draft_order(
                body=play.drafts.body(revision=revision) + b" " * index,  # distinct bytes
                revision=revision,
                base=base,
                routes=play.drafts.specs(),
            )
            order.key += f"-{index}"
            orders.append(order)
            tables.append(dict(play.drafts.routes))
        play.drafts.routes = before
        await asyncio.gather(
            *(operators[index % 2].send(order=order) for index, order in enumerate(orders))
        )
        await play.operator.catch_up()
        for order, table in zip(orders, tables, strict=True):
            if order.acked_us or order.body == play.operator.body:
                play.drafts.routes = table
                play.adopt()
        return orders


async def resend(play: Any, orders: list[Order]) -> None:
    """Send all writes once more, unchanged and concurrently, as the second operator."""
    await asyncio.gather(*(play.second_operator.send_once(order=order) for order in orders))


async def ack_lost(play: Any, rand: random.Random) -> None:
    """Eight concurrent writes, most of whose answers are lost; acknowledged ones are resent
    immediately and after later writes."""
    known: list[Order] = []
    for _ in range(ROUNDS):
        play.operator.lose_share = play.second_operator.lose_share = LOST_ANSWER_SHARE
        orders = await race_writes(play, rand, count=CONCURRENT_WRITES)
        play.operator.lose_share = play.second_operator.lose_share = 0.0
        known += [order for order in orders if order.acked_us]
        await resend(play, known)


async def one_number(play: Any, rand: random.Random) -> None:
    """Two operators use one version number for different writes, while answers are lost and
    core machines are killed."""
    play.operator.lose_share = play.second_operator.lose_share = LOST_ANSWER_SHARE
    known: list[Order] = []
    for _ in range(ROUNDS):
        known += await race_writes(play, rand, is_one_number=True)
        play.later(_kill_core_machine(play, rand))
    play.operator.lose_share = play.second_operator.lose_share = 0.0
    await resend(play, [order for order in known if order.acked_us])


async def _kill_core_machine(play: Any, rand: random.Random) -> None:
    async with play.loss(node=None):
        node = rand.choice(play.fleet.core())
        await play.fleet.kill(node=node, for_us=rand.choice((250_000, 2_000_000)))


async def race_in_cut(play: Any, rand: random.Random) -> None:
    """Two operators race with one version number while a core machine is partitioned from the
    others; acknowledged writes are resent, to either side, during the partition and after."""
    async with play.loss(node=None):
        cuts = _isolate_core_machine(play, rand)
        racing = asyncio.ensure_future(_race_and_resend(play, rand))
        await asyncio.sleep(PARTITION_S)
        for cut in cuts:
            play.world.blocked_paths -= {(cut.a, cut.b), (cut.b, cut.a)}
            cut.end_us = play.world.now_us()
        play.world.send_waiting()
        await resend(play, await racing)


async def _race_and_resend(play: Any, rand: random.Random) -> list[Order]:
    known: list[Order] = []
    for _ in range(2):
        orders = await race_writes(play, rand, is_one_number=True)
        known += [order for order in orders if order.acked_us]
        await resend(play, known)
    return known


def _isolate_core_machine(play: Any, rand: random.Random) -> list[Cut]:
    """Partition one core machine from the rest of the core; return the cuts."""
    isolated = rand.choice(play.fleet.core())
    cuts = []
    for other in play.fleet.core():
        if other is isolated:
            continue
        play.world.block_path(a=isolated.name, b=other.name)
        cut = Cut(a=isolated.name, b=other.name, begin_us=play.world.now_us())
        play.history.cuts.append(cut)
        cuts.append(cut)
    return cuts


async def order_repeated(play: Any, rand: random.Random) -> None:
    """Acknowledged writes are resent after each later write, and after all core processes were
    killed."""
    for _ in range(ROUNDS):
        await config_change(play, rand)
        await resend(play, [order for order in play.history.orders if order.acked_us])
    async with play.loss(node=None):
        for node in play.fleet.core():
            play.later(play.fleet.kill(node=node, roles=("core",), for_us=0))
        await asyncio.sleep(2.0)
    await resend(play, [order for order in play.history.orders if order.acked_us])
