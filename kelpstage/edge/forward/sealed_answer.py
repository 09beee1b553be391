"""Sealed answers of raw bytes: the codec of forwarded requests.

A backend's answer is its status, a seal (an opaque token in a header) and a body.
For a search the body is records of 16 bytes in no order, and the answer is one
part; for a request to one backend it goes back as it came.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpstage.common.errors.backends import (
    BackendFailedError,
    InvalidReplyError,
    RequestNotRunError,
)
from kelpstage.common.http.headers import joined
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Owner
from kelpstage.edge.backend.reply import ValidatedPart
from kelpstage.edge.forward.headers import HeaderNames

RECORD_SIZE = 16  # bytes
NOT_RUN_STATUS = 421
# Statuses by which a caller may take it that the request has not run and never will
# (PROTOCOL, "Answers"): of a backend's they mean that only with its `not run` header.
PROMISES = frozenset((408, NOT_RUN_STATUS, 429, 503))
LEFT_OUT = frozenset(
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
class WholeReply:
    """A backend's answer that goes to the client as it is."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Is the status one of success (2xx)?"""
        return 200 <= self.status < 300


class SealedCodec:
    """Makes the calls to backends, and checks their answers.

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
        """The call to one instance, named in it so that no other one runs it."""
        request = ask.record.request
        headers = dict(request.headers)
        if len(headers) < len(request.headers):  # some stand more than once
            headers = joined(pairs=request.headers)
        headers[self.names.deadline_ms] = str(max(1, ask.wait_us // 1000))
        headers[self.names.expect_instance] = ask.backend
        return HttpCall(
            method=request.method,
            url=f"http://{ask.address}{request.target}",
            headers=headers,
            body=request.body,
            wait_us=ask.wait_us,
            connection_limit=ask.connection_limit,
            owner_of=lambda reply: self._owner_of(reply=reply, request_id=request.request_id),
        )

    def _owner_of(self, *, reply: HttpReply, request_id: str) -> Owner:
        """Whose answer is it? A late, second one to another request may stand where this
        one's is due; what names no request may be such an answer as well."""
        named = reply.headers.get(self._request_id)
        if named is None:
            return Owner.UNNAMED
        return Owner.OURS if named == request_id else Owner.OTHERS

    def _refused(
        self, *, reply: HttpReply, backend: str, request_id: str
    ) -> RequestNotRunError | InvalidReplyError | None:
        """Why the answer is none to this request, or says that it did not run."""
        if self._owner_of(reply=reply, request_id=request_id) != Owner.OURS:
            return InvalidReplyError(
                backend=backend, part="request", why="it does not name this request"
            )
        if reply.status == NOT_RUN_STATUS:
            return RequestNotRunError(backend=backend, answer=reply.status, why="another instance")
        if self._not_run in reply.headers:
            if 200 <= reply.status < 300:  # it says both that it ran and that it did not
                return InvalidReplyError(
                    backend=backend, part="status", why="a success that has not run"
                )
            return RequestNotRunError(backend=backend, answer=reply.status, why="turned away")
        if reply.headers.get("content-encoding", "identity") != "identity":
            return InvalidReplyError(
                backend=backend, part="encoding", why=reply.headers["content-encoding"]
            )
        return None

    def read_part(
        self, *, reply: HttpReply, backend: str, shard: str, request_id: str
    ) -> ValidatedPart | RequestNotRunError | InvalidReplyError | BackendFailedError:
        """One part of a search, or why there is none."""
        refused = self._refused(reply=reply, backend=backend, request_id=request_id)
        if refused is not None:
            return refused
        if not 200 <= reply.status < 300:
            return BackendFailedError(backend=backend, answer=reply.status)
        seal = reply.headers.get(self._seal, "")
        if not is_seal(text=seal):
            return InvalidReplyError(
                backend=backend, part="seal", why="none" if not seal else "not one token"
            )
        body = reply.body
        size = len(body) - len(body) % RECORD_SIZE
        records = [body[at : at + RECORD_SIZE] for at in range(0, size, RECORD_SIZE)]
        return ValidatedPart(shard=shard, cut="", stamp=seal, count=len(records), records=records)

    def read_whole(
        self, *, reply: HttpReply, backend: str, request_id: str
    ) -> WholeReply | RequestNotRunError | InvalidReplyError | BackendFailedError:
        """The answer to a request to one backend, or why it may not go back as it came.

        A status that promises "not run" does not go back without the backend's word for
        it: our caller would take it as a promise and send the request again.
        """
        refused = self._refused(reply=reply, backend=backend, request_id=request_id)
        if refused is not None:
            return refused
        if 200 <= reply.status < 300 and not is_seal(text=reply.headers.get(self._seal, "")):
            return InvalidReplyError(backend=backend, part="seal", why="none")
        if reply.status in PROMISES:
            return BackendFailedError(backend=backend, answer=reply.status)
        headers = tuple(pair for pair in reply.headers.items() if pair[0] not in LEFT_OUT)
        return WholeReply(status=reply.status, headers=headers, body=reply.body)


def is_seal(*, text: str) -> bool:
    """Can this stand in a list of seals joined by commas?

    >>> is_seal(text="3e.07"), is_seal(text="a,b"), is_seal(text="")
    (True, False, False)
    """
    return bool(text) and text.isascii() and text.isprintable() and not set(text) & set(", ")
