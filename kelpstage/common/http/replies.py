"""Shaping of HTTP replies shared by edge and core."""

from __future__ import annotations

import json

from kelpstage.common.errors import Defect
from kelpstage.common.ports.interfaces import HttpReply

JSON_TYPE = "application/json"


def json_reply(*, status: int = 200, body: object, headers: dict | None = None) -> HttpReply:
    """A JSON reply.

    >>> json_reply(body={"a": 1}).body
    b'{"a":1}'
    """
    return HttpReply(
        status=status,
        headers={"Content-Type": JSON_TYPE, **(headers or {})},
        body=json.dumps(body, separators=(",", ":"), ensure_ascii=False).encode(),
    )


def defect_reply(*, defect: Defect, headers: dict | None = None, search: str = "") -> HttpReply:
    """The reply a defect asks for, with `Retry-After` where coming back helps, and
    the id of the search that came to it.

    >>> from kelpstage.common.errors import NotReady
    >>> reply = defect_reply(defect=NotReady(why="no lease"))
    >>> reply.status, reply.headers["Retry-After"]
    (503, '1')
    """
    extra = dict(headers or {})
    if defect.retry_after_s is not None:
        extra["Retry-After"] = str(defect.retry_after_s)
    body = {"defect": defect.as_json()} | ({"search": search} if search else {})
    return json_reply(status=defect.status, body=body, headers=extra)
