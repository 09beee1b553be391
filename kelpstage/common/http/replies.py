"""Builds JSON and error replies for edges and cores."""

from __future__ import annotations

import json

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.http.error_status import status_of
from kelpstage.common.ports.interfaces import HttpReply

JSON_TYPE = "application/json"


def json_reply(
    *, status: int = 200, body: object, headers: dict[str, str] | None = None
) -> HttpReply:
    """A JSON reply.

    >>> json_reply(body={"a": 1}).body
    b'{"a":1}'
    """
    return HttpReply(
        status=status,
        headers={"Content-Type": JSON_TYPE, **(headers or {})},
        body=json.dumps(body, separators=(",", ":"), ensure_ascii=False).encode(),
    )


def error_reply(
    *, error: KelpstageError, headers: dict[str, str] | None = None, search: str = ""
) -> HttpReply:
    """The reply for an error: its status, `Retry-After` if a retry can succeed, and the id of
    the failed search, if any.

    >>> from kelpstage.common.errors.serving import NotReadyError
    >>> reply = error_reply(error=NotReadyError(why="no lease"))
    >>> reply.status, reply.headers["Retry-After"]
    (503, '1')
    """
    extra = dict(headers or {})
    status = status_of(error=error)
    if status.retry_after_s is not None:
        extra["Retry-After"] = str(status.retry_after_s)
    body = {"defect": error.as_json()} | ({"search": search} if search else {})
    return json_reply(status=status.code, body=body, headers=extra)
