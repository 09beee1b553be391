"""Calls to cores and edges from the command line."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from kelpstage.cli.output import BAD_INPUT, REFUSED, UNREACHED, UNRESOLVED, fail
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectionLostError, ReplyTimeoutError
from kelpstage.common.errors.validation import InvalidField, InvalidSettingsError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.ports.live import LiveNet
from kelpstage.common.transport.address import is_address

DEFAULT_WAIT_US = 10_000_000
EXTRA_WAIT_US = 1_000_000  # the caller waits longer than the time that it leaves


def need_addresses(*, given: list[str], what: str) -> list[str]:
    """Addresses that were given, or a typed end.

    >>> need_addresses(given=["127.0.0.1:1"], what="core")
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


async def _fetch(*, call: HttpCall) -> HttpReply | KelpstageError:
    return await LiveNet().fetch(call=call)


def ask_once(*, call: HttpCall) -> HttpReply | KelpstageError:
    """One call, no second try."""
    return asyncio.run(_fetch(call=call))


def ask(
    *,
    addresses: list[str],
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    wait_us: int = DEFAULT_WAIT_US,
) -> HttpReply:
    """Ask the first address that answers; a put that may have arrived is not
    sent elsewhere by itself."""
    last: HttpReply | KelpstageError | None = None
    for address in addresses:
        call = HttpCall(
            method=method,
            url=f"http://{address}{path}",
            headers={"Kelp-Time-Left-Us": str(wait_us), **(headers or {})},
            body=body,
            wait_us=wait_us + EXTRA_WAIT_US,
        )
        last = ask_once(call=call)
        if isinstance(last, HttpReply):
            if _knows_no_leader(reply=last):
                continue
            return last
        if method != "GET" and isinstance(last, (ReplyTimeoutError, ConnectionLostError)):
            fail(
                error={"kind": "unresolved", "why": f"{address}: {last.kind}; ask again"},
                code=UNRESOLVED,
            )
    if isinstance(last, HttpReply):
        return last
    assert last is not None, "no address was given"
    fail(error=last, code=UNREACHED)


def _knows_no_leader(*, reply: HttpReply) -> bool:
    """Is this a core that can't say who leads, so that another one is worth asking?"""
    return reply.status == 503 and error_of(reply=reply).get("kind") == "no_leader"


def error_of(*, reply: HttpReply) -> dict[str, Any]:
    """The typed error in a reply, or what stands for it.

    >>> error_of(reply=HttpReply(status=500, body=b"x"))
    {'kind': 'untyped', 'status': 500}
    """
    try:
        return dict(json.loads(reply.body)["defect"])
    except (ValueError, KeyError, TypeError):
        return {"kind": "untyped", "status": reply.status}


def good_or_fail(*, reply: HttpReply, is_json: bool) -> Any:
    """The reply's JSON, or an end that says why not."""
    if reply.status == 200:
        return json.loads(reply.body)
    row = error_of(reply=reply)
    code = UNRESOLVED if row["kind"] == "unresolved" else REFUSED
    if row["kind"] == "no_leader":
        code = UNREACHED
    fail(error=row, code=code, is_json=is_json)
