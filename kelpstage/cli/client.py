"""Calls to cores and edges from the command line."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from kelpstage.cli.output import BAD_INPUT, REJECTED, UNREACHABLE, UNRESOLVED, fail
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectionLostError, ReplyTimeoutError
from kelpstage.common.errors.validation import InvalidField, InvalidSettingsError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.ports.live import LiveNet
from kelpstage.common.transport.address import is_address

DEFAULT_TIMEOUT_US = 10_000_000
REPLY_MARGIN_US = 1_000_000  # added to the deadline that the server gets, so that its reply arrives


def require_addresses(*, given: list[str], what: str) -> list[str]:
    """Returns the given addresses; exits with an error if one is invalid or there is none.

    >>> require_addresses(given=["127.0.0.1:1"], what="core")
    ['127.0.0.1:1']
    """
    faults = [
        InvalidField(path=f"--{what}", why=f"{address!r} is not IP:port")
        for address in given
        if not is_address(address=address)
    ]
    if not given:
        faults = [InvalidField(path=f"--{what}", why="give at least one IP:port")]
    if faults:
        fail(error=InvalidSettingsError(faults=faults), code=BAD_INPUT)
    return given


async def _send(*, call: HttpCall) -> HttpReply | KelpstageError:
    return await LiveNet().fetch(call=call)


def send_once(*, call: HttpCall) -> HttpReply | KelpstageError:
    """Sends one request, without a retry."""
    return asyncio.run(_send(call=call))


def send_request(
    *,
    addresses: list[str],
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    wait_us: int = DEFAULT_TIMEOUT_US,
) -> HttpReply:
    """Sends a request to the addresses in turn and returns the first reply.

    A write that may have arrived is not retried at another address: the command ends with the
    code for an unresolved result.
    """
    last: HttpReply | KelpstageError | None = None
    for address in addresses:
        call = HttpCall(
            method=method,
            url=f"http://{address}{path}",
            headers={"Kelp-Time-Left-Us": str(wait_us), **(headers or {})},
            body=body,
            wait_us=wait_us + REPLY_MARGIN_US,
        )
        last = send_once(call=call)
        if isinstance(last, HttpReply):
            if _is_no_leader(reply=last):
                continue
            return last
        if method != "GET" and isinstance(last, (ReplyTimeoutError, ConnectionLostError)):
            fail(
                error={
                    "kind": "unresolved",
                    "why": f"{address}: {last.kind}; the result is unknown, repeat the request",
                },
                code=UNRESOLVED,
            )
    if isinstance(last, HttpReply):
        return last
    assert last is not None, "no address was given"
    fail(error=last, code=UNREACHABLE)


def _is_no_leader(*, reply: HttpReply) -> bool:
    """True if a core replies that it knows no leader; another core may know one."""
    return reply.status == 503 and error_of(reply=reply).get("kind") == "no_leader"


def error_of(*, reply: HttpReply) -> dict[str, Any]:
    """Returns the error in the body of a reply, or `untyped` with the status if there is none.

    >>> error_of(reply=HttpReply(status=500, body=b"x"))
    {'kind': 'untyped', 'status': 500}
    """
    try:
        return dict(json.loads(reply.body)["defect"])
    except (ValueError, KeyError, TypeError):
        return {"kind": "untyped", "status": reply.status}


def json_or_fail(*, reply: HttpReply, is_json: bool) -> Any:
    """Returns the JSON of a successful reply; otherwise prints the error and exits."""
    if reply.status == 200:
        return json.loads(reply.body)
    error = error_of(reply=reply)
    code = UNRESOLVED if error["kind"] == "unresolved" else REJECTED
    if error["kind"] == "no_leader":
        code = UNREACHABLE
    fail(error=error, code=code, is_json=is_json)
