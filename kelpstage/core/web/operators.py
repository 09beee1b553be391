"""Operator HTTP of a core; any core proxies to the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable
from urllib.parse import unquote, urlsplit

from kelpstage.common.configuration.validation import DOCUMENT_LIMIT, VERSION_LIMIT
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import (
    MissingIfMatchError,
    NoConfigurationError,
    NoLeaderError,
    UnknownPutError,
    VersionNotAboveError,
    WriteUnresolvedError,
)
from kelpstage.common.errors.requests import (
    BadRequestError,
    BodyTooLargeError,
    MethodNotAllowedError,
    UnknownResourceError,
)
from kelpstage.common.http.replies import JSON_TYPE, error_reply, json_reply
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.transport.messages import ForwardOperatorCall, ForwardOperatorCallReply
from kelpstage.core.handlers import forward_to_leader
from kelpstage.core.leases.validation import validate_document
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.state.outcomes import PutApplied

if TYPE_CHECKING:
    from kelpstage.core.app import Core

DEFAULT_WAIT_US = 10_000_000
READ_WAIT_US = 2_000_000
LEADER_WAIT_US = 400_000  # that a call is kept while a leader is being chosen
LEADER_LOOK_US = 20_000
LONGEST_WAIT_US = 120_000_000


async def serve_operators(*, core: "Core", call: HttpCall) -> HttpReply:
    """Answer one operator's call."""
    path = urlsplit(call.url).path
    local = LOCAL.get(path)
    if local is not None:
        if call.method != "GET":
            return error_reply(error=MethodNotAllowedError(method=call.method, allowed="GET"))
        return local(core)
    wait_us = _wait_us(call=call)
    if isinstance(wait_us, KelpstageError):
        return error_reply(error=wait_us)
    version = _version(call=call)
    if isinstance(version, KelpstageError):
        return error_reply(error=version)
    ask = ForwardOperatorCall(
        method=call.method,
        url=path,
        if_match=call.headers.get("if-match", ""),
        put_id=call.headers.get("kelp-put-id", ""),
        body=call.body,
        wait_us=wait_us,
        version=version,
    )
    refused = _refuse_early(ask=ask)
    if refused is not None:
        return error_reply(error=refused)
    ask.wait_us = max(1, wait_us - await _await_leader(core=core, wait_us=wait_us))
    task = core.task
    if task is not None and task.is_leader:
        return _from_forwarded(reply=await answer_as_leader(core=core, ask=ask))
    if task is None or not task.leader_address:
        why = core.waits_for or "no leader is known to this core"
        return _refusal_of(core=core, ask=ask) or error_reply(error=NoLeaderError(why=why))
    reply = await forward_to_leader(core=core, ask=ask)
    if isinstance(reply, ForwardOperatorCallReply):
        return _from_forwarded(reply=reply)
    refusal = _refusal_of(core=core, ask=ask)
    if refusal is not None:
        return refusal
    if ask.method == "PUT":
        return _unresolved(put_id=ask.put_id, why=f"the leader was lost meanwhile: {reply.kind}")
    return error_reply(error=NoLeaderError(why=f"leader not reached: {reply.kind}"))


def _refusal_of(*, core: "Core", ask: ForwardOperatorCall) -> HttpReply | None:
    """The refusal of a document that no leader would take, where none could be asked."""
    if ask.method != "PUT":
        return None
    if core.lease_service is None:
        judged = validate_document(document=ask.body)
    else:
        judged = core.lease_service.puts.judge(document=ask.body)
    return error_reply(error=judged) if isinstance(judged, KelpstageError) else None


async def _await_leader(*, core: "Core", wait_us: int) -> int:
    """Keep a call for a moment if no leader is known: one is being chosen, and whoever
    called would come back later than it is there. How long it took."""
    clock = core.ports.clock
    began_us = clock.now_us()
    until_us = began_us + _kept_us(wait_us=wait_us)
    while core.task is not None and not core.task.leader_address:
        if clock.now_us() >= until_us:
            break
        await clock.sleep(us=LEADER_LOOK_US)
    return clock.now_us() - began_us


def _kept_us(*, wait_us: int) -> int:
    """How long a call is kept while no leader is known."""
    return min(LEADER_WAIT_US, wait_us // 2)


def _wait_us(*, call: HttpCall) -> int | BadRequestError:
    given = call.headers.get("kelp-time-left-us")
    if given is None:
        return DEFAULT_WAIT_US
    if not _is_digits(given) or not 0 < int(given) <= LONGEST_WAIT_US:
        return BadRequestError(
            part="Kelp-Time-Left-Us", why=f"whole microseconds, 1 to {LONGEST_WAIT_US}"
        )
    return int(given)


def _is_digits(given: str) -> bool:
    return given.isascii() and given.isdigit() and len(given) <= 19


def _version(*, call: HttpCall) -> int | BadRequestError:
    """The version that the operator gives a put; 0 if none is stated."""
    given = call.headers.get("kelp-version", "").strip('"')
    if not given:
        return 0
    if not _is_digits(given) or not 0 < int(given) <= VERSION_LIMIT:
        return BadRequestError(part="Kelp-Version", why=f"a whole number, 1 to {VERSION_LIMIT}")
    return int(given)


def _refuse_early(*, ask: ForwardOperatorCall) -> KelpstageError | None:
    """Refuse what no leader is needed for."""
    if ask.url == "/v1/configuration":
        if ask.method == "GET":
            return None
        if ask.method != "PUT":
            return MethodNotAllowedError(method=ask.method, allowed="GET, PUT")
        return _refuse_put(ask=ask)
    if ask.url.startswith("/v1/puts/"):
        return (
            None if ask.method == "GET" else MethodNotAllowedError(method=ask.method, allowed="GET")
        )
    if ask.url == "/v1/roster":
        return (
            None if ask.method == "GET" else MethodNotAllowedError(method=ask.method, allowed="GET")
        )
    if ask.url.startswith("/v1/roster/"):
        return (
            None
            if ask.method == "DELETE"
            else MethodNotAllowedError(method=ask.method, allowed="DELETE")
        )
    return UnknownResourceError(path=ask.url)


def _refuse_put(*, ask: ForwardOperatorCall) -> KelpstageError | None:
    given = ask.if_match.strip('"')
    if not given:
        return MissingIfMatchError(why="If-Match: the version that this put replaces, 0 for none")
    if not _is_digits(given):
        return BadRequestError(part="If-Match", why="a whole version number")
    if ask.version and ask.version <= int(given):  # whatever version is in force
        return VersionNotAboveError(version=ask.version, current=int(given))
    if not 0 < len(ask.put_id) <= 64 or not ask.put_id.isascii() or "/" in ask.put_id:
        return BadRequestError(part="Kelp-Put-Id", why="1 to 64 ASCII characters without a slash")
    if len(ask.body) > DOCUMENT_LIMIT:
        return BodyTooLargeError(limit_bytes=DOCUMENT_LIMIT)
    return None


def _from_forwarded(*, reply: ForwardOperatorCallReply) -> HttpReply:
    headers = {"Content-Type": JSON_TYPE}
    if reply.retry_after:
        headers["Retry-After"] = reply.retry_after
    if reply.etag:
        headers["ETag"] = reply.etag
    if reply.location:
        headers["Location"] = reply.location
    return HttpReply(status=reply.status, headers=headers, body=reply.body)


def _unresolved(*, put_id: str, why: str) -> HttpReply:
    return error_reply(
        error=WriteUnresolvedError(put_id=put_id, why=why),
        headers={"Location": f"/v1/puts/{put_id}"},
    )


async def answer_as_leader(*, core: "Core", ask: ForwardOperatorCall) -> ForwardOperatorCallReply:
    """Answer as the leader, or say that this is none."""
    reply = await _answer(core=core, ask=ask)
    return ForwardOperatorCallReply(
        status=reply.status,
        body=reply.body,
        retry_after=reply.headers.get("Retry-After", ""),
        etag=reply.headers.get("ETag", ""),
        location=reply.headers.get("Location", ""),
        is_leader=True,
    )


async def _answer(*, core: "Core", ask: ForwardOperatorCall) -> HttpReply:
    task, lease_service = core.task, core.lease_service
    if task is None or lease_service is None or not task.is_leader:
        no_leader = error_reply(error=NoLeaderError(why="this core does not lead"))
        return _refusal_of(core=core, ask=ask) or no_leader
    if ask.method == "PUT":
        outcome = await lease_service.puts.put(
            document=ask.body,
            expected=int(ask.if_match.strip('"')),
            put_id=ask.put_id,
            wait_us=ask.wait_us * 9 // 10,
            version=ask.version,
        )
        return _put_reply(outcome=outcome, put_id=ask.put_id)
    if ask.method == "DELETE":
        names = unquote(ask.url.removeprefix("/v1/roster/")).split(",")
        outcome = await lease_service.remove_edges(edges=names)
        if isinstance(outcome, KelpstageError):
            return error_reply(error=outcome)
        return json_reply(body={"epoch": outcome.epoch, "roster": task.machine.state.membership})
    error = await _confirm_read(core=core, task=task, wait_us=ask.wait_us * 9 // 10)
    if error is not None:
        return error_reply(error=error)
    if ask.url == "/v1/configuration":
        return _get_configuration(task=task)
    if ask.url == "/v1/roster":
        return json_reply(body=membership_view(core=core))
    return _get_put(core=core, put_id=unquote(ask.url.removeprefix("/v1/puts/")))


def _put_reply(*, outcome: Any, put_id: str) -> HttpReply:
    if isinstance(outcome, PutApplied):
        return json_reply(
            body={"version": outcome.version, "epoch": outcome.epoch, "put_id": put_id},
            headers={"ETag": f'"{outcome.version}"'},
        )
    if isinstance(outcome, WriteUnresolvedError):
        return _unresolved(put_id=put_id, why=outcome.why)
    return error_reply(error=outcome)


async def _confirm_read(*, core: "Core", task: ReplicaTask, wait_us: int) -> KelpstageError | None:
    """Is what `task` has applied fit to be read, by a majority's word since the call came?

    The word is void if the process stood still meanwhile, so that the call's time is over,
    or if the replica was built anew from its disk: that one may have applied less.
    """
    clock = core.ports.clock
    wait_us = min(wait_us, READ_WAIT_US)
    until_us = clock.now_us() + wait_us
    error = await task.confirm(wait_us=wait_us)
    if error is not None:
        return error
    if core.task is not task:
        return NoLeaderError(why="this replica was started anew meanwhile")
    if clock.now_us() > until_us:
        return NoLeaderError(why="confirmed too late: this process stood still")
    return None


def _get_configuration(*, task: ReplicaTask) -> HttpReply:
    state = task.machine.state
    if not state.version:
        return error_reply(error=NoConfigurationError(why="none was put yet"))
    return HttpReply(
        status=200,
        headers={"Content-Type": JSON_TYPE, "ETag": f'"{state.version}"'},
        body=state.document,
    )


def _get_put(*, core: "Core", put_id: str) -> HttpReply:
    outcome = core.lease_service.puts.put_state(put_id=put_id)
    if outcome is None:
        return error_reply(error=UnknownPutError(put_id=put_id))
    if isinstance(outcome, KelpstageError):
        return json_reply(body={"put_id": put_id, "state": "refused", "defect": outcome.as_json()})
    is_settled = core.lease_service.is_settled(epoch=outcome.epoch)
    return json_reply(
        body={
            "put_id": put_id,
            "state": "acknowledged" if is_settled else "committed",
            "version": outcome.version,
            "epoch": outcome.epoch,
        }
    )


def membership_view(*, core: "Core") -> dict:
    """The membership with what the leader knows of each edge."""
    state = core.task.machine.state
    now_us = core.ports.clock.now_us()
    rows = []
    for edge in state.membership:
        holder = core.lease_service.lease_table.holder(edge=edge)
        is_known = holder is not None and holder.heard_us > 0
        rows.append(
            {
                "edge": edge,
                "epoch": holder.epoch if holder else 0,
                "is_behind": not holder or holder.epoch < state.epoch,
                "heard_us_ago": now_us - holder.heard_us if is_known else None,
                "address": holder.contact.address if is_known and holder.contact else None,
                "domain": holder.contact.zone if is_known and holder.contact else None,
            }
        )
    return {"epoch": state.epoch, "version": state.version, "edges": rows}


def _ready(core: "Core") -> HttpReply:
    task = core.task
    if task is None or not task.leader_address or core.is_stopping:
        why = "stopping" if core.is_stopping else core.waits_for or "no leader is known"
        return error_reply(error=NoLeaderError(why=why))
    return json_reply(body={"is_ready": True})


def _health(core: "Core") -> HttpReply:
    return json_reply(body={"is_up": True})


def _status(core: "Core") -> HttpReply:
    return json_reply(body=status_view(core=core))


def status_view(*, core: "Core") -> dict:
    """All that this core knows of itself and, if it leads, of the others."""
    task = core.task
    identity = core.identity
    view: dict[str, Any] = {
        "program": "kelpstage-control",
        "own": core.own,
        "domain": core.settings["domain"],
        "replica": identity.replica if identity else None,
        "cluster": identity.cluster if identity else None,
        "waits_for": core.waits_for or None,
        "counts": dict(sorted(core.counts.items())),
        "events": core.journal.tail(limit=20),
    }
    if task is None:
        return view
    view |= {
        "role": task.raft.role,
        "term": task.raft.term,
        "leader": task.leader_address or None,
        "log": {
            "first": task.raft.log.base_index + 1,
            "last": task.raft.log.last_index,
            "durable": task.raft.durable,
            "commit": task.raft.commit_index,
            "applied": task.applied,
        },
        "snapshot_transfers": dict(sorted(task.snapshots.counts.items())),
        "members": task.raft.lag()
        if task.is_leader
        else [
            {"replica": m.replica, "address": m.address, "is_voter": m.is_voter}
            for m in task.raft.members.current
        ],
        "version": task.machine.state.version,
        "epoch": task.machine.state.epoch,
    }
    if task.is_leader:
        view["margin"] = task.raft.margin()
        view["roster"] = membership_view(core=core)["edges"]
    return view


LOCAL: dict[str, Callable[["Core"], HttpReply]] = {
    "/ready": _ready,
    "/health": _health,
    "/v1/status": _status,
}
