"""Faults of the operators' orders: lost answers with eight under way, two operators with
one number, races while the core is cut or its leader goes, repeats of what was taken."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from kelpstage.testbed.platform_model.faults.configuration import config_change
from kelpstage.testbed.platform_model.history import Cut, Order

AT_ONCE = 8
ROUNDS = 3
LOST_SHARE = 0.7
CUT_S = 5.0


async def contest(
    play: Any, rand: random.Random, *, count: int = 2, is_one_number: bool = False
) -> list[Order]:
    """Different changes on top of one version at the same time, by two operators; the
    losers learn what is in force."""
    async with play.changing:
        operators = (play.operator, play.second)
        for who in operators:
            await who.catch_up()
        base = max(who.revision for who in operators)
        before = dict(play.drafts.routes)
        orders, tables = [], []
        for place in range(count):
            play.drafts.routes = dict(before)
            rand.choice((play.drafts.move, play.drafts.split, play.drafts.change_time_out))()
            revision = base + (2 if is_one_number else rand.randrange(1, 9))
            order = play.operator.draft_order(
                body=play.drafts.body(revision=revision) + b" " * place,  # each of its own
                revision=revision,
                base=base,
                routes=play.drafts.specs(),
            )
            order.key += f"-{place}"
            orders.append(order)
            tables.append(dict(play.drafts.routes))
        play.drafts.routes = before
        await asyncio.gather(
            *(operators[place % 2].send(order=order) for place, order in enumerate(orders))
        )
        await play.operator.catch_up()
        for order, table in zip(orders, tables, strict=True):
            if order.acked_us or order.body == play.operator.body:
                play.drafts.routes = table
                play.adopt()
        return orders


async def send_again(play: Any, orders: list[Order]) -> None:
    """Everything once more, as it was, by the other operator, all at once."""
    await asyncio.gather(*(play.second.send_once(order=order) for order in orders))


async def ack_lost(play: Any, rand: random.Random) -> None:
    """Eight orders under way at once, most of whose answers get lost on their way; what
    was acknowledged is sent again, at once and after later changes."""
    known: list[Order] = []
    for _ in range(ROUNDS):
        play.operator.lose_share = play.second.lose_share = LOST_SHARE
        orders = await contest(play, rand, count=AT_ONCE)
        play.operator.lose_share = play.second.lose_share = 0.0
        known += [order for order in orders if order.acked_us]
        await send_again(play, known)


async def one_number(play: Any, rand: random.Random) -> None:
    """Two operators pick one number for different changes; answers get lost, and machines
    of the core are killed meanwhile."""
    play.operator.lose_share = play.second.lose_share = LOST_SHARE
    known: list[Order] = []
    for _ in range(ROUNDS):
        known += await contest(play, rand, is_one_number=True)
        play.later(_kill_one(play, rand))
    play.operator.lose_share = play.second.lose_share = 0.0
    await send_again(play, [order for order in known if order.acked_us])


async def _kill_one(play: Any, rand: random.Random) -> None:
    async with play.loss(node=None):
        node = rand.choice(play.fleet.core())
        await play.fleet.kill(node=node, for_us=rand.choice((250_000, 2_000_000)))


async def race_in_cut(play: Any, rand: random.Random) -> None:
    """Two operators race under one number while a machine of the core is cut off from the
    others; what was acknowledged is sent again, to either side, and after the cut."""
    async with play.loss(node=None):
        cuts = _cut_off(play, rand)
        racing = asyncio.ensure_future(_races(play, rand))
        await asyncio.sleep(CUT_S)
        for cut in cuts:
            play.world.cuts -= {(cut.a, cut.b), (cut.b, cut.a)}
            cut.end_us = play.world.now_us()
        play.world.flush()
        await send_again(play, await racing)


async def _races(play: Any, rand: random.Random) -> list[Order]:
    known: list[Order] = []
    for _ in range(2):
        orders = await contest(play, rand, is_one_number=True)
        known += [order for order in orders if order.acked_us]
        await send_again(play, known)
    return known


def _cut_off(play: Any, rand: random.Random) -> list[Cut]:
    """Cut one machine of the core off from the rest of it."""
    alone = rand.choice(play.fleet.core())
    cuts = []
    for other in play.fleet.core():
        if other is alone:
            continue
        play.world.cut(a=alone.name, b=other.name)
        cut = Cut(a=alone.name, b=other.name, begin_us=play.world.now_us())
        play.history.cuts.append(cut)
        cuts.append(cut)
    return cuts


async def order_repeated(play: Any, rand: random.Random) -> None:
    """Orders that were acknowledged are sent again after each later change, and after
    every process of the core was killed."""
    for _ in range(ROUNDS):
        await config_change(play, rand)
        await send_again(play, [order for order in play.history.orders if order.acked_us])
    async with play.loss(node=None):
        for node in play.fleet.core():
            play.later(play.fleet.kill(node=node, roles=("core",), for_us=0))
        await asyncio.sleep(2.0)
    await send_again(play, [order for order in play.history.orders if order.acked_us])
