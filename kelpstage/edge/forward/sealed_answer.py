"""The codec of forwarded requests, whose replies are raw bytes with a seal.

A backend's reply has a status, a seal (an opaque token in a header) and a body. The reply
to a search is one part, with unordered records of 16 bytes as its body; the reply to a
request to one backend is returned to the client unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpstage.common.errors.backends import (
    BackendFailedError,
    InvalidReplyError,
    RequestNotRunError,
)
from kelpstage.common.http.headers import join_headers
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Owner
from kelpstage.edge.backend.reply import ValidatedPart
from kelpstage.edge.forward.headers import HeaderNames

RECORD_SIZE = 16  # bytes
NOT_RUN_STATUS = 421
# Statuses that promise a client that the request has not run and never will (PROTOCOL,
# "Answers"). From a backend they promise that only together with its `not run` header.
NOT_RUN_STATUSES = frozenset((408, NOT_RUN_STATUS, 429, 503))
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
    )
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedReply:
    """A backend's reply that is returned to the client unchanged."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def is_success(self) -> bool:
        """True for a 2xx status."""
        return 200 <= self.status < 300


class SealedCodec:
    """Builds the calls to backends and validates their replies.

    >>> codec = SealedCodec(names=HeaderNames())
    >>> headers = {"kelp-seal": "a.1", "kelp-request-id": "r"}
    >>> reply = HttpReply(status=200, headers=headers, body=b"x" * 35)
    >>> codec.read_part(reply=reply, backend="i-1", shard="s", request_id="r").count
    2
    >>> codec.read_part(reply=reply, backend="i-1", shard="s", request_id="q").part
    'request'
    """

    def __init__(self, *, names: HeaderNames) -> None:
        self.names = names
        self._seal = names.seal.lower()
        self._request_id = names.request_id.lower()
        self._not_run = names.not_run.lower()
        self._instance = names.instance.lower()

    def call(self, *, ask: Any) -> HttpCall:
        """Build the call to one instance; a header names it so that no other one runs it."""
        request = ask.record.request
        headers = dict(request.headers)
        if len(headers) < len(request.headers):  # some occur more than once
            headers = join_headers(pairs=request.headers)
        headers[self.names.deadline_ms] = str(max(1, ask.wait_us // 1000))
        headers[self.names.expect_instance] = ask.backend
        return HttpCall(
            method=request.method,
            url=f"http://{ask.address}{request.target}",
            headers=headers,
            body=request.body,
            wait_us=ask.wait_us,
            connection_limit=ask.connection_limit,
            reply_owner=lambda reply: self._owner_of(reply=reply, request_id=request.request_id),
        )

    def _owner_of(self, *, reply: HttpReply, request_id: str) -> Owner:
        """Which request a reply belongs to, by its request id.

        A late second reply to another request may arrive in place of the expected one; a
        reply without a request id may be such a reply too.
        """
        named = reply.headers.get(self._request_id)
        if named is None:
            return Owner.UNNAMED
        return Owner.OURS if named == request_id else Owner.OTHERS

    def _validate_reply(
        self, *, reply: HttpReply, backend: str, request_id: str
    ) -> RequestNotRunError | InvalidReplyError | None:
        """Return an error if the reply is not to this request or says that it has not run."""
        if self._owner_of(reply=reply, request_id=request_id) != Owner.OURS:
            return InvalidReplyError(
                backend=backend, part="request", why="the reply does not name this request"
            )
        if reply.status == NOT_RUN_STATUS:
            return RequestNotRunError(backend=backend, answer=reply.status, why="another instance")
        if self._not_run in reply.headers:
            if 200 <= reply.status < 300:  # contradicts itself: run and not run
                return InvalidReplyError(
                    backend=backend, part="status", why="a 2xx status with the not-run header"
                )
            return RequestNotRunError(
                backend=backend, answer=reply.status, why="rejected by the backend"
            )
        if reply.headers.get("content-encoding", "identity") != "identity":
            return InvalidReplyError(
                backend=backend, part="encoding", why=reply.headers["content-encoding"]
            )
        return None

    def read_part(
        self, *, reply: HttpReply, backend: str, shard: str, request_id: str
    ) -> ValidatedPart | RequestNotRunError | InvalidReplyError | BackendFailedError:
        """Read one part of a search from a reply, or return an error."""
        error = self._validate_reply(reply=reply, backend=backend, request_id=request_id)
        if error is not None:
            return error
        if not 200 <= reply.status < 300:
            return BackendFailedError(backend=backend, answer=reply.status)
        seal = reply.headers.get(self._seal, "")
        if not is_seal(text=seal):
            return InvalidReplyError(
                backend=backend, part="seal", why="none" if not seal else "not a single token"
            )
        body = reply.body
        size = len(body) - len(body) % RECORD_SIZE
        records = [body[at : at + RECORD_SIZE] for at in range(0, size, RECORD_SIZE)]
        return ValidatedPart(shard=shard, cut="", stamp=seal, count=len(records), records=records)

    def read_forwarded(
        self, *, reply: HttpReply, backend: str, request_id: str
    ) -> ForwardedReply | RequestNotRunError | InvalidReplyError | BackendFailedError:
        """Read the reply to a request to one backend, or return an error.

        A status that promises "not run" is not returned to the client without the backend's
        `not run` header: the client would rely on the promise and send the request again.
        """
        error = self._validate_reply(reply=reply, backend=backend, request_id=request_id)
        if error is not None:
            return error
        if 200 <= reply.status < 300 and not is_seal(text=reply.headers.get(self._seal, "")):
            return InvalidReplyError(backend=backend, part="seal", why="none")
        if reply.status in NOT_RUN_STATUSES:
            return BackendFailedError(backend=backend, answer=reply.status)
        headers = tuple(pair for pair in reply.headers.items() if pair[0] not in HOP_BY_HOP_HEADERS)
        return ForwardedReply(status=reply.status, headers=headers, body=reply.body)


def is_seal(*, text: str) -> bool:
    """True if the text can be an item of a comma-separated list of seals.

    >>> is_seal(text="3e.07"), is_seal(text="a,b"), is_seal(text="")
    (True, False, False)
    """
    return bool(text) and text.isascii() and text.isprintable() and not set(text) & set(", ")
