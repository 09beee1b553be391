"""Errors in a client's request, or in the resource that it names."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from kelpstage.common.errors.base import KelpstageError


@dataclass(frozen=True, kw_only=True)
class BadRequestError(KelpstageError):
    """The request cannot be parsed or has an invalid part."""

    kind: ClassVar[str] = "bad_request"
    part: str
    why: str


@dataclass(frozen=True, kw_only=True)
class MissingDeadlineError(KelpstageError):
    """The request lacks the header with the time left until its deadline."""

    kind: ClassVar[str] = "missing_time_left"
    header: str


@dataclass(frozen=True, kw_only=True)
class InvalidDeadlineError(KelpstageError):
    """The time left until the deadline is not an integer of microseconds in range."""

    kind: ClassVar[str] = "bad_time_left"
    header: str
    given: str
    why: str


@dataclass(frozen=True, kw_only=True)
class InvalidLimitError(KelpstageError):
    """The requested number of records is not an integer in range."""

    kind: ClassVar[str] = "bad_limit"
    given: str
    why: str


@dataclass(frozen=True, kw_only=True)
class BodyTooLargeError(KelpstageError):
    """The request's body is longer than `limit_bytes`."""

    kind: ClassVar[str] = "oversized_body"
    limit_bytes: int


@dataclass(frozen=True, kw_only=True)
class HeadersTooLargeError(KelpstageError):
    """The request line and headers are longer than `limit_bytes`."""

    kind: ClassVar[str] = "oversized_head"
    limit_bytes: int


@dataclass(frozen=True, kw_only=True)
class RequestReadTimeoutError(KelpstageError):
    """The `part` of a request was incomplete after `after_us` microseconds; it has not run."""

    kind: ClassVar[str] = "slow_request"
    part: str
    after_us: int


@dataclass(frozen=True, kw_only=True)
class InternalError(KelpstageError):
    """An unexpected exception in a handler; the effect of the request is unknown."""

    kind: ClassVar[str] = "broken_handler"
    why: str


@dataclass(frozen=True, kw_only=True)
class UnknownResourceError(KelpstageError):
    """No resource of the public interface has this path."""

    kind: ClassVar[str] = "unknown_resource"
    path: str


@dataclass(frozen=True, kw_only=True)
class MethodNotAllowedError(KelpstageError):
    """The resource does not support this method."""

    kind: ClassVar[str] = "wrong_method"
    method: str
    allowed: str


@dataclass(frozen=True, kw_only=True)
class UnknownCollectionError(KelpstageError):
    """The current configuration has no such collection."""

    kind: ClassVar[str] = "unknown_collection"
    collection: str


@dataclass(frozen=True, kw_only=True)
class UnknownShardError(KelpstageError):
    """The collection has no such shard."""

    kind: ClassVar[str] = "unknown_shard"
    collection: str
    shard: str


@dataclass(frozen=True, kw_only=True)
class RecordNotFoundError(KelpstageError):
    """The shard replied that it has no such record."""

    kind: ClassVar[str] = "no_such_record"
    collection: str
    shard: str
    record: str


@dataclass(frozen=True, kw_only=True)
class UnknownSearchError(KelpstageError):
    """The search never started at this node, or its timeline was evicted by newer ones."""

    kind: ClassVar[str] = "unknown_search"
    search: str


@dataclass(frozen=True, kw_only=True)
class UnknownRouteError(KelpstageError):
    """No forward route matches this host and path."""

    kind: ClassVar[str] = "unknown_route"
    host: str
    path: str


@dataclass(frozen=True, kw_only=True)
class MissingRequestIdError(KelpstageError):
    """A request to a forward route lacks the header with its id."""

    kind: ClassVar[str] = "missing_request_id"
    header: str
