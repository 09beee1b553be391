"""Troubles of a day, by name: what happens to backends, machines, disks, the operator."""

from __future__ import annotations

import asyncio
import random
from typing import Any, Awaitable, Callable

from kelpstage.testbed.platform_model.history import Cut

Work = Callable[[Any, random.Random], Awaitable[None]]
TROUBLES: dict[str, Work] = {}
CLOSINGS: dict[str, Work] = {}


def trouble(work: Work) -> Work:
    TROUBLES[work.__name__] = work
    return work


def closing(work: Work) -> Work:
    CLOSINGS[work.__name__] = work
    return work


async def sleep(*, s: float) -> None:
    await asyncio.sleep(s)


def pick_backends(
    play: Any, rand: random.Random, *, count: int, gathered: bool | None = None
) -> list:
    found = [
        b
        for b in play.park.live.values()
        if not b.is_draining and (gathered is None or bool(b.service.pause_us) == gathered)
    ]
    return rand.sample(found, min(count, len(found)))


async def _again(play: Any, *, backend: Any, after_s: float) -> None:
    """Another life of the service comes up."""
    await sleep(s=after_s)
    play.park.start(service=backend.service, zone=backend.zone)


# --- backends ---------------------------------------------------------------------------------


@trouble
async def srv_crash(play: Any, rand: random.Random) -> None:
    """Backends crash one after another; most come back as new lives."""
    for backend in pick_backends(play, rand, count=4):
        play.park.crash(backend=backend)
        if rand.random() < 0.75:
            play.later(_again(play, backend=backend, after_s=1 + rand.random() * 4))
        await sleep(s=0.5 + rand.random() * 2)


@trouble
async def srv_slow(play: Any, rand: random.Random) -> None:
    chosen = pick_backends(play, rand, count=3)
    for backend in chosen:
        backend.mood.slow = rand.choice((4.0, 10.0))
    await sleep(s=8)
    for backend in chosen:
        backend.mood.slow = 1.0


@trouble
async def garble(play: Any, rand: random.Random) -> None:
    """Answers cut off, without form, doubled, late, encoded."""
    chosen = pick_backends(play, rand, count=4)
    for backend in chosen:
        backend.mood.bad_share = rand.choice((0.1, 0.5))
    await sleep(s=10)
    for backend in chosen:
        backend.mood.bad_share = 0.0


@trouble
async def srv_reset(play: Any, rand: random.Random) -> None:
    chosen = pick_backends(play, rand, count=4)
    for backend in chosen:
        backend.mood.reset_share = rand.choice((0.1, 0.4))
    await sleep(s=8)
    for backend in chosen:
        backend.mood.reset_share = 0.0


@trouble
async def srv_drain(play: Any, rand: random.Random) -> None:
    """Backends leave in order, each after its successor has come; addresses come round."""
    for backend in pick_backends(play, rand, count=6):
        play.park.start(service=backend.service, zone=backend.zone)
        await sleep(s=1.5)
        play.park.drain(backend=backend)
        await sleep(s=rand.random())


@trouble
async def srv_dark(play: Any, rand: random.Random) -> None:
    """Backends fall silent, and take everything."""
    chosen = pick_backends(play, rand, count=2)
    for backend in chosen:
        play.park.go_dark(backend=backend)
    await sleep(s=6)
    for backend in chosen:
        play.park.wake(backend=backend)


@trouble
async def srv_grey(play: Any, rand: random.Random) -> None:
    """They fail part of their requests while their health answer is good."""
    chosen = pick_backends(play, rand, count=4)
    for backend in chosen:
        backend.mood.fail_share, backend.mood.health_lie = rand.choice((0.2, 0.8)), "good"
    await sleep(s=9)
    for backend in chosen:
        backend.mood.fail_share, backend.mood.health_lie = 0.0, ""


@trouble
async def srv_lying_health(play: Any, rand: random.Random) -> None:
    chosen = pick_backends(play, rand, count=8)
    for backend in chosen:
        backend.mood.health_lie = rand.choice(("good", "bad"))
    await sleep(s=10)
    for backend in chosen:
        backend.mood.health_lie = ""


@trouble
async def srv_flap(play: Any, rand: random.Random) -> None:
    """Down and up by turns, each time as a new life."""
    for backend in pick_backends(play, rand, count=2):
        for _ in range(3):
            play.park.crash(backend=backend)
            await sleep(s=1.5)
            backend = play.park.start(service=backend.service, zone=backend.zone)
            await sleep(s=1.5)


@trouble
async def idle_race(play: Any, rand: random.Random) -> None:
    """Idle connections are forgotten without a word."""
    chosen = pick_backends(play, rand, count=12)
    for backend in chosen:
        backend.mood.forgets_idle = True
    await sleep(s=12)
    for backend in chosen:
        backend.mood.forgets_idle = False


@trouble
async def shard_down(play: Any, rand: random.Random) -> None:
    """All backends of a shard are down, then new ones come."""
    service = rand.choice(play.shape.index)
    gone = play.park.of(service=service)
    for backend in gone:
        play.park.crash(backend=backend)
    await sleep(s=6)
    for backend in gone:
        play.park.start(service=backend.service, zone=backend.zone)


@trouble
async def many_slow(play: Any, rand: random.Random) -> None:
    chosen = pick_backends(play, rand, count=len(play.shape.index), gathered=True)
    for backend in chosen:
        backend.mood.slow = 6.0
    await sleep(s=8)
    for backend in chosen:
        backend.mood.slow = 1.0


@trouble
async def many_dark(play: Any, rand: random.Random) -> None:
    """Backends of many shards crash or fall silent."""
    chosen = pick_backends(play, rand, count=len(play.shape.index) // 2, gathered=True)
    dark = []
    for backend in chosen:
        if rand.random() < 0.5:
            play.park.crash(backend=backend)
            play.later(_again(play, backend=backend, after_s=6))
        else:
            play.park.go_dark(backend=backend)
            dark.append(backend)
    await sleep(s=7)
    for backend in dark:
        play.park.wake(backend=backend)


@trouble
async def srv_desk(play: Any, rand: random.Random) -> None:
    """Every backend that runs what may run once only: slow, breaking off, answering badly."""
    chosen = play.park.of(service=play.shape.other)
    for backend in chosen:
        backend.mood.slow = rand.choice((1.0, 3.0, 8.0))
        backend.mood.bad_share, backend.mood.reset_share = 0.2, 0.15
        backend.mood.forgets_idle = rand.random() < 0.5
    await sleep(s=7)
    play.park.crash(backend=chosen[0])
    play.later(_again(play, backend=chosen[0], after_s=2))
    await sleep(s=3)
    for backend in chosen:
        backend.mood.slow, backend.mood.bad_share, backend.mood.reset_share = 1.0, 0.0, 0.0
        backend.mood.forgets_idle = False


# --- clients ----------------------------------------------------------------------------------


@trouble
async def burst(play: Any, rand: random.Random) -> None:
    """Many users come at once."""
    play.clients.press = 3.0
    await sleep(s=8)
    play.clients.press = 1.0


@trouble
async def retry_abuse(play: Any, rand: random.Random) -> None:
    """Some clients repeat at once and often, while backends of many shards are slow."""
    play.clients.abuse = 0.5
    await many_slow(play, rand)
    play.clients.abuse = 0.0


# --- machines ---------------------------------------------------------------------------------


def _helpers(play: Any) -> list:
    return [node for node in play.fleet.there() if not node.has_disk]


@trouble
async def node_kill(play: Any, rand: random.Random) -> None:
    """Machines that take clients are killed, one after another."""
    for node in rand.sample(_helpers(play), 2):
        play.later(play.fleet.kill(node=node, for_us=rand.choice((250_000, 3_000_000))))
        await sleep(s=rand.random() * 4)


@trouble
async def core_kill(play: Any, rand: random.Random) -> None:
    """Both processes of a machine of the core are killed."""
    async with play.loss(node=None):
        node = rand.choice(play.fleet.core())
        await play.fleet.kill(node=node, for_us=rand.choice((250_000, 4_000_000)))


@trouble
async def power_loss(play: Any, rand: random.Random) -> None:
    node = rand.choice(play.fleet.there())
    async with play.loss(node=node):
        await play.fleet.cut_power(node=node, for_us=rand.choice((2_000_000, 6_000_000)))


@trouble
async def node_freeze(play: Any, rand: random.Random) -> None:
    node = rand.choice(play.fleet.there())
    async with play.loss(node=node):
        await play.fleet.freeze(node=node, for_us=rand.choice((800_000, 3_000_000, 7_000_000)))


@trouble
async def roll_term(play: Any, rand: random.Random) -> None:
    """Machines are stopped and started in turn."""
    nodes = play.fleet.there()
    for node in nodes if len(nodes) < 8 else rand.sample(nodes, 4):
        async with play.loss(node=node):
            await play.fleet.stop(node=node)
        await sleep(s=1)


@trouble
async def herd_kill(play: Any, rand: random.Random) -> None:
    """Many processes are killed at the same moment; most of the core stays."""
    async with play.loss(node=None):
        nodes = play.fleet.there()
        chosen = rand.sample(nodes, len(nodes) // 2)
        core = [node for node in chosen if node.has_disk]
        await asyncio.gather(
            *(play.fleet.kill(node=node) for node in chosen if node not in core[1:])
        )


@trouble
async def core_herd(play: Any, rand: random.Random) -> None:
    """Every process of the core is killed at once and back within a second."""
    for node in play.fleet.core():
        play.later(play.fleet.kill(node=node, roles=("core",), for_us=0))


@trouble
async def replace_core(play: Any, rand: random.Random) -> None:
    async with play.loss(node=None):
        node = rand.choice(play.fleet.core())
        fresh = await play.fleet.replace_core(node=node, is_told=rand.random() < 0.5)
        play.front.remove(name=node.name)
        play.add_front(node=fresh)


@trouble
async def seed_turnover(play: Any, rand: random.Random) -> None:
    """The seeds are exchanged; the settings files change, with a signal or without."""
    core = play.fleet.core()
    play.fleet.seeds = [node.control for node in rand.sample(core, min(3, len(core)))]
    play.fleet.reread_all()


async def _after_ack(play: Any, rand: random.Random, *, is_disk: bool) -> None:
    """What has just acknowledged a configuration loses power, or its disk."""
    async with play.loss(node=None):
        await _lose_after_ack(play, rand, is_disk=is_disk)


async def _lose_after_ack(play: Any, rand: random.Random, *, is_disk: bool) -> None:
    acked: list[str] = []
    play.operator.on_acked = lambda order, address: acked.append(address)
    await config_change(play, rand)
    play.operator.on_acked = lambda order, address: None
    if not acked:
        return
    node = next((n for n in play.fleet.core() if n.control == acked[-1]), None)
    if node is None:
        return
    if is_disk:
        await play.fleet.kill(node=node, is_disk=True, for_us=1_000_000)
    else:
        await play.fleet.cut_power(node=node, for_us=2_500_000)


@trouble
async def after_ack_kill(play: Any, rand: random.Random) -> None:
    await _after_ack(play, rand, is_disk=False)


@trouble
async def after_ack_wipe(play: Any, rand: random.Random) -> None:
    await _after_ack(play, rand, is_disk=True)


async def _disk(play: Any, rand: random.Random, *, how: str) -> None:
    async with play.loss(node=None):
        node = rand.choice(play.fleet.core())
        trouble = play.fleet.trouble_disk(node=node, how=how, for_us=6_000_000)
        await asyncio.gather(trouble, config_change(play, rand))


@trouble
async def disk_slow(play: Any, rand: random.Random) -> None:
    await _disk(play, rand, how="slow")


@trouble
async def disk_full(play: Any, rand: random.Random) -> None:
    await _disk(play, rand, how="full")


@trouble
async def disk_stall(play: Any, rand: random.Random) -> None:
    await _disk(play, rand, how="stall")


@trouble
async def core_cut(play: Any, rand: random.Random) -> None:
    """The core is cut in two, or a machine of it off from everybody."""
    async with play.loss(node=None):
        await _cut(play, rand)


async def _cut(play: Any, rand: random.Random) -> None:
    node = rand.choice(play.fleet.core())
    is_all = rand.random() < 0.5
    others = [n for n in play.fleet.there() if n is not node and (is_all or n.has_disk)]
    cuts = []
    for other in others:
        play.world.cut(a=node.name, b=other.name)
        cut = Cut(a=node.name, b=other.name, begin_us=play.world.now_us())
        play.day.cuts.append(cut)
        cuts.append(cut)
    await sleep(s=1.5)
    play.later(config_change(play, rand))
    await sleep(s=6)
    for cut in cuts:
        play.world.cuts -= {(cut.a, cut.b), (cut.b, cut.a)}
        cut.end_us = play.world.now_us()
    play.world.flush()


# --- the operator -----------------------------------------------------------------------------


@trouble
async def config_change(play: Any, rand: random.Random) -> None:
    """One change: a time-out, weights, a move, a route more or fewer."""
    async with play.changing:
        await _change(play, rand)


async def _change(play: Any, rand: random.Random) -> None:
    before = dict(play.drafts.routes)
    what = rand.choice(("time", "split", "move", "add", "drop"))
    if what == "time":
        play.drafts.change_time_out()
    if what == "split":
        play.drafts.split()
    if what == "move":
        play.drafts.move()
    if what == "add":
        play.drafts.add(kind=rand.choice(play.shape.kinds), is_late=True)
    if what == "drop" and play.drafts.drop() is None:
        play.drafts.change_time_out()
    await play.put(before=before)


@trouble
async def config_changes(play: Any, rand: random.Random) -> None:
    """Changes in a row, some of whose answers get lost."""
    play.operator.lose_share = 0.3
    for _ in range(4):
        await config_change(play, rand)
        await sleep(s=rand.random() * 2)
    play.operator.lose_share = 0.0


@trouble
async def config_race(play: Any, rand: random.Random) -> None:
    """Two operators change the configuration on top of the same version."""
    async with play.changing:
        await play.race(rand)


@trouble
async def config_invalid(play: Any, rand: random.Random) -> None:
    """Configurations that must be refused."""
    async with play.changing:
        await play.put_invalid(rand)


@trouble
async def big_config(play: Any, rand: random.Random) -> None:
    """The configuration grows by many routes."""
    async with play.changing:
        before = dict(play.drafts.routes)
        for number in range(300):
            play.drafts.add(kind=play.shape.kinds[number % len(play.shape.kinds)], is_late=True)
        await play.put(before=before)


@trouble
async def reshard(play: Any, rand: random.Random) -> None:
    """The index is cut again: new backends, a version that names them, the old ones drain."""
    async with play.changing:
        draft = next(d for d in play.drafts.routes.values() if d.fan_out)
        old = draft.fan_out
        new = play.shape.recut if old == play.shape.index else play.shape.index
        play.start_services(names=new)
        await sleep(s=4)
        before = dict(play.drafts.routes)
        play.drafts.recut()
        order = await play.put(before=before)
    if not order.acked_us:
        return
    await sleep(s=play.day.bounds.apply_us / 1_000_000 + 1)
    for service in old:
        for backend in play.park.of(service=service):
            play.park.drain(backend=backend)


# --- closing faults ---------------------------------------------------------------------------


@closing
async def closing_power(play: Any, rand: random.Random) -> None:
    """Every machine loses power."""
    await asyncio.gather(
        *(play.fleet.cut_power(node=node, for_us=1_000_000) for node in play.fleet.there())
    )


@closing
async def closing_kill(play: Any, rand: random.Random) -> None:
    """Every process is killed."""
    await asyncio.gather(*(play.fleet.kill(node=node) for node in play.fleet.there()))


@closing
async def closing_wipe(play: Any, rand: random.Random) -> None:
    """As many machines as may be lost lose their disks, while all others lose power."""
    core = play.fleet.core()
    wiped = rand.sample(core, play.shape.tolerance)
    await asyncio.gather(
        *(play.fleet.kill(node=node, is_disk=True, for_us=1_000_000) for node in wiped),
        *(play.fleet.cut_power(node=node, for_us=1_000_000) for node in core if node not in wiped),
    )
