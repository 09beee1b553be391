"""Registered faults of a scenario by name: faults of backends, clients, machines and the network,
and configuration writes."""

from __future__ import annotations

import random
from typing import Any, Awaitable, Callable

from kelpstage.testbed.platform_model.faults import (
    backends,
    clients,
    closing,
    configuration,
    disks,
    machines,
    membership,
    network,
    rollout_histories,
    rollouts,
    write_races,
)

Fault = Callable[[Any, random.Random], Awaitable[None]]

# A seed selects faults by position in these tables: append new faults, never move one.
_REGISTERED: tuple[Fault, ...] = (
    backends.srv_crash,
    backends.srv_slow,
    backends.garble,
    backends.srv_reset,
    backends.srv_drain,
    backends.srv_dark,
    backends.srv_grey,
    backends.srv_lying_health,
    backends.srv_flap,
    backends.idle_race,
    backends.shard_down,
    backends.many_slow,
    backends.many_dark,
    backends.srv_desk,
    clients.burst,
    clients.retry_abuse,
    machines.node_kill,
    machines.core_kill,
    machines.power_loss,
    machines.node_freeze,
    machines.roll_term,
    machines.herd_kill,
    machines.core_herd,
    machines.replace_core,
    machines.seed_turnover,
    machines.after_ack_kill,
    machines.after_ack_wipe,
    disks.disk_slow,
    disks.disk_full,
    disks.disk_stall,
    network.core_cut,
    configuration.config_change,
    configuration.config_changes,
    configuration.config_race,
    configuration.config_invalid,
    configuration.big_config,
    configuration.reshard,
    write_races.ack_lost,
    write_races.one_number,
    write_races.race_in_cut,
    write_races.order_repeated,
    clients.clients_leave,
    network.core_halves,
    machines.losses_overlap,
    membership.most_leave,
    membership.most_go_dark,
    membership.most_freeze,
    membership.all_replaced,
    rollouts.rollout_good,
    rollouts.rollout_errors,
    rollouts.rollout_slow,
    rollouts.rollout_under_load,
    rollouts.rollout_one_kind,
    rollouts.rollout_late,
    rollouts.rollout_answers_lost,
    rollout_histories.rollout_history,
    machines.clock_steps,
)
_REGISTERED_CLOSING: tuple[Fault, ...] = (
    closing.closing_power,
    closing.closing_kill,
    closing.closing_wipe,
    closing.closing_dark,
    closing.closing_early,
)
PLATFORM_FAULTS: dict[str, Fault] = {work.__name__: work for work in _REGISTERED}
CLOSING_FAULTS: dict[str, Fault] = {work.__name__: work for work in _REGISTERED_CLOSING}
