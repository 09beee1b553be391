"""Backend faults: crashes, slow or invalid replies, draining, false health checks."""

from __future__ import annotations

import random
from typing import Any

from kelpstage.testbed.platform_model.faults.timing import sleep


def pick_backends(
    play: Any, rand: random.Random, *, count: int, gathered: bool | None = None
) -> list:
    """Return random backends that are not draining; `gathered` selects one kind of service."""
    found = [
        b
        for b in play.backend_pool.live.values()
        if not b.is_draining and (gathered is None or bool(b.service.pause_us) == gathered)
    ]
    return rand.sample(found, min(count, len(found)))


async def _start_replacement(play: Any, *, backend: Any, after_s: float) -> None:
    """Start a new instance of the backend's service and version after a delay."""
    await sleep(s=after_s)
    play.backend_pool.start(
        service=backend.service,
        zone=backend.zone,
        revision=backend.revision,
        version_fault=backend.version_fault,
    )


async def srv_crash(play: Any, rand: random.Random) -> None:
    """Backends crash one after another; most are replaced by new instances."""
    for backend in pick_backends(play, rand, count=4):
        play.backend_pool.crash(backend=backend)
        if rand.random() < 0.75:
            play.later(_start_replacement(play, backend=backend, after_s=1 + rand.random() * 4))
        await sleep(s=0.5 + rand.random() * 2)


async def srv_slow(play: Any, rand: random.Random) -> None:
    """Backends take four or ten times as long for a while."""
    chosen = pick_backends(play, rand, count=3)
    for backend in chosen:
        backend.injected_faults.slow = rand.choice((4.0, 10.0))
    await sleep(s=8)
    for backend in chosen:
        backend.injected_faults.slow = 1.0


async def garble(play: Any, rand: random.Random) -> None:
    """Backends send truncated, malformed, duplicated, late or encoded answers."""
    chosen = pick_backends(play, rand, count=4)
    for backend in chosen:
        backend.injected_faults.bad_share = rand.choice((0.1, 0.5))
    await sleep(s=10)
    for backend in chosen:
        backend.injected_faults.bad_share = 0.0


async def srv_reset(play: Any, rand: random.Random) -> None:
    """Backends reset connections."""
    chosen = pick_backends(play, rand, count=4)
    for backend in chosen:
        backend.injected_faults.reset_share = rand.choice((0.1, 0.4))
    await sleep(s=8)
    for backend in chosen:
        backend.injected_faults.reset_share = 0.0


async def srv_drain(play: Any, rand: random.Random) -> None:
    """Backends drain one after another, each after its replacement; addresses are reused."""
    for backend in pick_backends(play, rand, count=6):
        play.backend_pool.start(service=backend.service, zone=backend.zone)
        await sleep(s=1.5)
        play.backend_pool.drain(backend=backend)
        await sleep(s=rand.random())


async def srv_dark(play: Any, rand: random.Random) -> None:
    """Backends accept connections and requests but never answer."""
    chosen = pick_backends(play, rand, count=2)
    for backend in chosen:
        play.backend_pool.go_silent(backend=backend)
    await sleep(s=6)
    for backend in chosen:
        play.backend_pool.wake(backend=backend)


async def srv_grey(play: Any, rand: random.Random) -> None:
    """Backends fail a share of their requests while their health check passes."""
    chosen = pick_backends(play, rand, count=4)
    for backend in chosen:
        backend.injected_faults.fail_share, backend.injected_faults.false_health = (
            rand.choice((0.2, 0.8)),
            "good",
        )
    await sleep(s=9)
    for backend in chosen:
        backend.injected_faults.fail_share, backend.injected_faults.false_health = 0.0, ""


async def srv_lying_health(play: Any, rand: random.Random) -> None:
    """Backends' health checks pass or fail regardless of their state."""
    chosen = pick_backends(play, rand, count=8)
    for backend in chosen:
        backend.injected_faults.false_health = rand.choice(("good", "bad"))
    await sleep(s=10)
    for backend in chosen:
        backend.injected_faults.false_health = ""


async def srv_flap(play: Any, rand: random.Random) -> None:
    """Backends crash and restart repeatedly, each time as a new instance."""
    for backend in pick_backends(play, rand, count=2):
        for _ in range(3):
            play.backend_pool.crash(backend=backend)
            await sleep(s=1.5)
            backend = play.backend_pool.start(service=backend.service, zone=backend.zone)
            await sleep(s=1.5)


async def idle_race(play: Any, rand: random.Random) -> None:
    """Backends drop idle connections without a FIN or RST."""
    chosen = pick_backends(play, rand, count=12)
    for backend in chosen:
        backend.injected_faults.forgets_idle = True
    await sleep(s=12)
    for backend in chosen:
        backend.injected_faults.forgets_idle = False


async def shard_down(play: Any, rand: random.Random) -> None:
    """All backends of a shard crash and are replaced by new instances later."""
    service = rand.choice(play.shape.index)
    gone = play.backend_pool.active_instances(service=service)
    for backend in gone:
        play.backend_pool.crash(backend=backend)
    await sleep(s=6)
    for backend in gone:
        play.backend_pool.start(service=backend.service, zone=backend.zone)


async def many_slow(play: Any, rand: random.Random) -> None:
    """Backends of many shards are slow."""
    chosen = pick_backends(play, rand, count=len(play.shape.index), gathered=True)
    for backend in chosen:
        backend.injected_faults.slow = 6.0
    await sleep(s=8)
    for backend in chosen:
        backend.injected_faults.slow = 1.0


async def many_dark(play: Any, rand: random.Random) -> None:
    """Backends of many shards crash or stop answering."""
    chosen = pick_backends(play, rand, count=len(play.shape.index) // 2, gathered=True)
    dark = []
    for backend in chosen:
        if rand.random() < 0.5:
            play.backend_pool.crash(backend=backend)
            play.later(_start_replacement(play, backend=backend, after_s=6))
        else:
            play.backend_pool.go_silent(backend=backend)
            dark.append(backend)
    await sleep(s=7)
    for backend in dark:
        play.backend_pool.wake(backend=backend)


async def srv_desk(play: Any, rand: random.Random) -> None:
    """All backends of the non-repeatable service are slow, reset connections and send invalid
    answers; one of them crashes."""
    chosen = play.backend_pool.active_instances(service=play.shape.other)
    for backend in chosen:
        backend.injected_faults.slow = rand.choice((1.0, 3.0, 8.0))
        backend.injected_faults.bad_share, backend.injected_faults.reset_share = 0.2, 0.15
        backend.injected_faults.forgets_idle = rand.random() < 0.5
    await sleep(s=7)
    play.backend_pool.crash(backend=chosen[0])
    play.later(_start_replacement(play, backend=chosen[0], after_s=2))
    await sleep(s=3)
    for backend in chosen:
        (
            backend.injected_faults.slow,
            backend.injected_faults.bad_share,
            backend.injected_faults.reset_share,
        ) = 1.0, 0.0, 0.0
        backend.injected_faults.forgets_idle = False
