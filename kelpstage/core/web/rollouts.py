"""Operators' calls about rollouts: `POST /v1/rollouts`, `GET /v1/rollouts` and one of them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import UnknownRolloutError
from kelpstage.common.errors.requests import BadRequestError
from kelpstage.common.http.replies import error_reply, json_reply
from kelpstage.common.ports.interfaces import HttpReply
from kelpstage.common.rollouts.condition import RolloutCondition
from kelpstage.common.rollouts.totals import VersionTotals
from kelpstage.common.transport.messages import RolloutState
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.rollouts.service import RolloutService
from kelpstage.core.state.rollouts import rollout_of

ROLLOUTS_PATH = "/v1/rollouts"
MAX_NAME_BYTES = 1_024
MIN_OVER_US, MAX_OVER_US = 1_000_000, 7 * 24 * 3_600 * 1_000_000


@dataclass(frozen=True, kw_only=True)
class RolloutRequest:
    """The body of an order: move `service` to version `target` within `over_us`."""

    service: str
    target: str
    over_us: int


def read_order(*, body: bytes) -> RolloutRequest | BadRequestError:
    """Return the order that a body states, or an error that names the invalid field.

    >>> read_order(body=b'{"service":"s","target":"v2","over_us":12000000}').over_us
    12000000
    >>> read_order(body=b'{"service":"s","target":"","over_us":1}').part
    'target'
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        return BadRequestError(part="body", why=f"not JSON: {error}"[:200])
    if not isinstance(raw, dict):
        return BadRequestError(part="body", why="not an object")
    for name in ("service", "target"):
        value = raw.get(name)
        if not isinstance(value, str) or not _is_name(value):
            return BadRequestError(part=name, why=f"text of 1 to {MAX_NAME_BYTES} bytes")
    over_us = raw.get("over_us")
    if type(over_us) is not int or not MIN_OVER_US <= over_us <= MAX_OVER_US:
        why = f"whole microseconds, {MIN_OVER_US} to {MAX_OVER_US}"
        return BadRequestError(part="over_us", why=why)
    return RolloutRequest(service=raw["service"], target=raw["target"], over_us=over_us)


def _is_name(value: str) -> bool:
    try:
        return 0 < len(value.encode()) <= MAX_NAME_BYTES
    except UnicodeEncodeError:
        return False


async def begin_rollout(*, rollouts: RolloutService, body: bytes, wait_us: int) -> HttpReply:
    """Begin a rollout as the leader."""
    order = read_order(body=body)
    if isinstance(order, KelpstageError):
        return error_reply(error=order)
    outcome = await rollouts.orders.begin(
        service=order.service, target=order.target, over_us=order.over_us, wait_us=wait_us
    )
    if isinstance(outcome, KelpstageError):
        return error_reply(error=outcome)
    return json_reply(
        body={"service": order.service, "target": order.target, "number": outcome.number}
    )


def get_rollouts(*, rollouts: RolloutService, task: ReplicaTask, path: str) -> HttpReply:
    """Return the newest rollout of one service, or those of all; the read is confirmed."""
    state = task.machine.state
    if path == ROLLOUTS_PATH:
        rows = [_view(rollout=rollout, rollouts=rollouts) for rollout in state.rollouts]
        return json_reply(body={"rollouts": rows})
    service = unquote(path.removeprefix(f"{ROLLOUTS_PATH}/"))
    rollout = rollout_of(state=state, service=service)
    if rollout is None:
        return error_reply(error=UnknownRolloutError(service=service))
    return json_reply(body=_view(rollout=rollout, rollouts=rollouts))


def _view(*, rollout: RolloutState, rollouts: RolloutService) -> dict[str, Any]:
    view: dict[str, Any] = {
        "service": rollout.service,
        "target": rollout.target,
        "condition": RolloutCondition(rollout.condition).public_name,
        "share": rollout.share / 1_000,
        "over_us": rollout.over_us,
        "number": rollout.number,
        "why": rollout.why or None,
    }
    if rollout.condition == RolloutCondition.ROLLING:
        evidence = rollouts.evidence(rollout=rollout)
        view |= {
            "instances": {"target": evidence.targets, "others": evidence.others},
            "answers": {
                "target": _counts(evidence.target),
                "others": _counts(evidence.other_versions),
            },
        }
    return view


def _counts(routes: dict[str, VersionTotals]) -> dict[str, dict[str, int]]:
    return {
        route: {"answered": totals.answered, "failed": totals.failed}
        for route, totals in sorted(routes.items())
    }
