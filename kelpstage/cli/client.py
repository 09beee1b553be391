"""Calls to cores and edges from the command line."""

from __future__ import annotations

import asyncio
import json
import pathlib
from typing import Any

from kelpstage.cli.output import BAD_INPUT, REFUSED, UNREACHED, UNRESOLVED, fail
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectionLostError, ReplyTimeoutError
from kelpstage.common.errors.validation import InvalidField, InvalidSettingsError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.ports.live import LiveNet
from kelpstage.common.transport.address import is_address


def read_file(*, path: str) -> bytes:
    """A file's bytes, or a typed end with exit code 2."""
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        fail(error=InvalidField(path=path, why=error.strerror or "unreadable"), code=BAD_INPUT)


def write_whole(*, path: str, data: bytes) -> None:
    """Write a file whole or not at all: beside, then renamed."""
    beside = pathlib.Path(f"{path}.new")
    try:
        beside.write_bytes(data)
        beside.replace(path)
    except OSError as error:
        fail(
            error=InvalidField(path=path, why=error.strerror or "can't be written"), code=BAD_INPUT
        )


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
    wait_us: int = 10_000_000,
) -> HttpReply:
    """Ask the first address that answers; a put that may have arrived is not
    sent elsewhere by itself."""
    last: KelpstageError | None = None
    for address in addresses:
        call = HttpCall(
            method=method,
            url=f"http://{address}{path}",
            headers={"Kelp-Time-Left-Us": str(wait_us), **(headers or {})},
            body=body,
            wait_us=wait_us + 1_000_000,
        )
        reply = ask_once(call=call)
        if isinstance(reply, HttpReply):
            if reply.status == 503 and error_of(reply=reply).get("kind") == "no_leader":
                last = None
                kept = reply
                continue
            return reply
        last = reply
        if method != "GET" and isinstance(reply, (ReplyTimeoutError, ConnectionLostError)):
            fail(
                error={"kind": "unresolved", "why": f"{address}: {reply.kind}; ask again"},
                code=UNRESOLVED,
            )
    if last is None:
        return kept
    fail(error=last, code=UNREACHED)


def error_of(*, reply: HttpReply) -> dict:
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
