"""The operators' HTTP interface of a core; a core that does not lead forwards to the leader."""

from __future__ import annotations

from urllib.parse import unquote, urlsplit

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import (
    NoConfigurationError,
    NoLeaderError,
    UnknownPutError,
    WriteUnresolvedError,
)
from kelpstage.common.errors.requests import (
    MethodNotAllowedError,
)
from kelpstage.common.http.replies import JSON_TYPE, error_reply, json_reply
from kelpstage.common.metrics.web import METRICS_PATH, metrics_reply
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.transport.messages import ForwardOperatorCall, ForwardOperatorCallReply
from kelpstage.core.context import OperatorContext
from kelpstage.core.forwarding import forward_to_leader
from kelpstage.core.leases.lease_service import LeaseService
from kelpstage.core.leases.validation import validate_document
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.outcomes import PutApplied
from kelpstage.core.web.call_validation import read_request, resource_of
from kelpstage.core.web.metrics import core_families
from kelpstage.core.web.rollouts import ROLLOUTS_PATH, begin_rollout, get_rollouts
from kelpstage.core.web.views import LOCAL_VIEWS, membership_view

READ_WAIT_US = 2_000_000
LEADER_WAIT_US = 400_000  # how long a call waits for a leader election
LEADER_POLL_US = 20_000


async def serve_operators(*, core: OperatorContext, call: HttpCall) -> HttpReply:
    """Handle one HTTP call of an operator, and count it by its reply."""
    path = urlsplit(call.url).path
    reply = await _serve(core=core, call=call, path=path)
    core.operator_calls[f"{call.method[:8]} {resource_of(path=path)} {reply.status}"] += 1
    return reply


async def _serve(*, core: OperatorContext, call: HttpCall, path: str) -> HttpReply:
    if path == METRICS_PATH and call.method == "GET":
        return await metrics_reply(clock=core.ports.clock, collect=lambda: core_families(core=core))
    local_view = LOCAL_VIEWS.get(path)
    if local_view is not None:
        if call.method != "GET":
            return error_reply(error=MethodNotAllowedError(method=call.method, allowed="GET"))
        return local_view(core)
    request = read_request(call=call, path=path)
    if isinstance(request, KelpstageError):
        return error_reply(error=request)
    waited_us = await _await_leader(core=core, wait_us=request.wait_us)
    request.wait_us = max(1, request.wait_us - waited_us)
    task = core.task
    if task is not None and task.is_leader:
        return _to_http_reply(reply=await answer_as_leader(core=core, request=request))
    if task is None or not task.leader_address:
        why = core.waits_for or "no leader is known to this core"
        return _rejection_of(core=core, request=request) or error_reply(
            error=NoLeaderError(why=why)
        )
    reply = await forward_to_leader(core=core, request=request)
    if isinstance(reply, ForwardOperatorCallReply):
        return _to_http_reply(reply=reply)
    rejection = _rejection_of(core=core, request=request)
    if rejection is not None:
        return rejection
    if request.method == "PUT":
        return _unresolved_reply(
            put_id=request.put_id, why=f"the leader did not reply: {reply.kind}"
        )
    return error_reply(error=NoLeaderError(why=f"leader not reached: {reply.kind}"))


def _rejection_of(*, core: OperatorContext, request: ForwardOperatorCall) -> HttpReply | None:
    """The rejection of an invalid document when no leader was reached, else `None`."""
    if request.method != "PUT":
        return None
    if core.lease_service is None:
        result = validate_document(document=request.body)
    else:
        result = core.lease_service.configuration_writes.validate(document=request.body)
    return error_reply(error=result) if isinstance(result, KelpstageError) else None


async def _await_leader(*, core: OperatorContext, wait_us: int) -> int:
    """Delay a call briefly while no leader is known, since an election is probably under way.

    Returns the delay in microseconds.
    """
    clock = core.ports.clock
    began_us = clock.now_us()
    until_us = began_us + _max_leader_wait_us(wait_us=wait_us)
    while core.task is not None and not core.task.leader_address:
        if clock.now_us() >= until_us:
            break
        await clock.sleep(us=LEADER_POLL_US)
    return clock.now_us() - began_us


def _max_leader_wait_us(*, wait_us: int) -> int:
    """The longest delay of a call while no leader is known."""
    return min(LEADER_WAIT_US, wait_us // 2)


def _to_http_reply(*, reply: ForwardOperatorCallReply) -> HttpReply:
    headers = {"Content-Type": JSON_TYPE}
    if reply.retry_after:
        headers["Retry-After"] = reply.retry_after
    if reply.etag:
        headers["ETag"] = reply.etag
    if reply.location:
        headers["Location"] = reply.location
    return HttpReply(status=reply.status, headers=headers, body=reply.body)


def _unresolved_reply(*, put_id: str, why: str) -> HttpReply:
    return error_reply(
        error=WriteUnresolvedError(put_id=put_id, why=why),
        headers={"Location": f"/v1/puts/{put_id}"},
    )


async def answer_as_leader(
    *, core: OperatorContext, request: ForwardOperatorCall
) -> ForwardOperatorCallReply:
    """Answer as the leader; `NoLeaderError` (503) if this core does not lead."""
    reply = await _answer(core=core, request=request)
    return ForwardOperatorCallReply(
        status=reply.status,
        body=reply.body,
        retry_after=reply.headers.get("Retry-After", ""),
        etag=reply.headers.get("ETag", ""),
        location=reply.headers.get("Location", ""),
        is_leader=True,
    )


async def _answer(*, core: OperatorContext, request: ForwardOperatorCall) -> HttpReply:
    task, lease_service, rollouts = core.task, core.lease_service, core.rollout_service
    if task is None or lease_service is None or rollouts is None or not task.is_leader:
        no_leader = error_reply(error=NoLeaderError(why="this core does not lead"))
        return _rejection_of(core=core, request=request) or no_leader
    if request.method == "PUT":
        outcome = await lease_service.configuration_writes.put(
            document=request.body,
            expected=int(request.if_match.strip('"')),
            put_id=request.put_id,
            wait_us=request.wait_us * 9 // 10,
            version=request.version,
        )
        return _put_reply(outcome=outcome, put_id=request.put_id)
    if request.method == "POST":
        return await begin_rollout(
            rollouts=rollouts, body=request.body, wait_us=request.wait_us * 9 // 10
        )
    if request.method == "DELETE":
        names = unquote(request.url.removeprefix("/v1/roster/")).split(",")
        removal = await lease_service.membership_changes.remove_edges(edges=names)
        if isinstance(removal, KelpstageError):
            return error_reply(error=removal)
        return json_reply(body={"epoch": removal.epoch, "roster": task.machine.state.membership})
    error = await _confirm_read(core=core, task=task, wait_us=request.wait_us * 9 // 10)
    if error is not None:
        return error_reply(error=error)
    if request.url == "/v1/configuration":
        return _get_configuration(task=task)
    if request.url.startswith(ROLLOUTS_PATH):
        return get_rollouts(rollouts=rollouts, task=task, path=request.url)
    if request.url == "/v1/roster":
        return json_reply(
            body=membership_view(
                task=task, lease_service=lease_service, now_us=core.ports.clock.now_us()
            )
        )
    return _get_put(
        lease_service=lease_service, put_id=unquote(request.url.removeprefix("/v1/puts/"))
    )


def _put_reply(*, outcome: PutApplied | KelpstageError, put_id: str) -> HttpReply:
    if isinstance(outcome, PutApplied):
        return json_reply(
            body={"version": outcome.version, "epoch": outcome.epoch, "put_id": put_id},
            headers={"ETag": f'"{outcome.version}"'},
        )
    if isinstance(outcome, WriteUnresolvedError):
        return _unresolved_reply(put_id=put_id, why=outcome.why)
    return error_reply(error=outcome)


async def _confirm_read(
    *, core: OperatorContext, task: ReplicaTask, wait_us: int
) -> KelpstageError | None:
    """Confirm that the state that `task` has applied is current (ReadIndex of Raft).

    The confirmation is invalid if the process was paused beyond the call's deadline, or if the
    replica restarted from its disk meanwhile, because the new one may have applied less.
    """
    clock = core.ports.clock
    wait_us = min(wait_us, READ_WAIT_US)
    until_us = clock.now_us() + wait_us
    error = await task.confirm(wait_us=wait_us)
    if error is not None:
        return error
    if core.task is not task:
        return NoLeaderError(why="this replica restarted during the read")
    if clock.now_us() > until_us:
        return NoLeaderError(why="confirmed after the deadline: this process was paused")
    return None


def _get_configuration(*, task: ReplicaTask) -> HttpReply:
    state = task.machine.state
    if not state.version:
        return error_reply(error=NoConfigurationError(why="no configuration was written yet"))
    return HttpReply(
        status=200,
        headers={"Content-Type": JSON_TYPE, "ETag": f'"{state.version}"'},
        body=state.document,
    )


def _get_put(*, lease_service: LeaseService, put_id: str) -> HttpReply:
    outcome = lease_service.configuration_writes.put_state(put_id=put_id)
    if outcome is None:
        return error_reply(error=UnknownPutError(put_id=put_id))
    if isinstance(outcome, KelpstageError):
        return json_reply(body={"put_id": put_id, "state": "refused", "defect": outcome.as_json()})
    is_settled = lease_service.is_settled(epoch=outcome.epoch)
    return json_reply(
        body={
            "put_id": put_id,
            "state": "acknowledged" if is_settled else "committed",
            "version": outcome.version,
            "epoch": outcome.epoch,
        }
    )
