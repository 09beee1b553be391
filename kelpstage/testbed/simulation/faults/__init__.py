"""The faults that a simulated deployment must tolerate, by name.

Each fault is a small scenario. It notes in the history when it begins and ends, and which
failures it excuses: "edge" (calls that were in flight at the named nodes), "backend" (what
only the named backends could have served), "line" (updates that could not be sent to or
from the named nodes). "away" excuses nothing: it tells the checker of returns that machines
are unavailable. A fault that excuses nothing must not be visible to any client.
"""

from __future__ import annotations

import random
from typing import Awaitable, Callable

from kelpstage.testbed.simulation.faults import (
    backends,
    callers,
    combined,
    configuration,
    cores,
    disks,
    edges,
    network,
)
from kelpstage.testbed.simulation.fleet import SimFleet

Fault = Callable[[SimFleet, random.Random], Awaitable[None]]

# Seeds draw faults from this table: add a new fault at its end and do not move any.
_REGISTERED: tuple[Fault, ...] = (
    backends.backend_crash,
    backends.backend_vanish,
    backends.backend_slow,
    backends.backend_lies,
    backends.backend_drains,
    backends.shard_dark,
    backends.many_dark,
    backends.half_slow,
    backends.backends_pause,
    backends.list_stops,
    configuration.drain_label,
    configuration.put_moves,
    backends.many_slow,
    edges.edge_kill,
    edges.edge_herd,
    edges.edge_freeze,
    network.edge_cut_off,
    network.edges_one_way,
    edges.rolling_restart,
    edges.seeds_swapped,
    cores.core_kill,
    cores.core_power,
    cores.core_all_power,
    cores.core_disk_lost,
    cores.core_replaced,
    cores.core_freeze,
    network.core_split,
    network.core_one_way,
    network.core_cut_long,
    network.leaders_cut_in_turn,
    cores.cores_gone,
    disks.disk_slow,
    disks.disk_stalled,
    disks.disk_full,
    combined.herd_without_cores,
    combined.restart_without_cores,
    combined.disk_lost_beside_frozen,
    combined.replaced_while_seeds_swap,
    combined.zone_lost,
    network.zone_cut,
    callers.overload,
    configuration.put_one,
    configuration.put_race,
    configuration.put_repeat,
    configuration.put_large,
    configuration.many_recuts,
    configuration.recut,
)
FAULTS: dict[str, Fault] = {fault.__name__: fault for fault in _REGISTERED}
