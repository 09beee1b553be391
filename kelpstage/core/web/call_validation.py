"""Validation of operators' calls: headers, paths and limits.

Any core rejects an invalid call with these checks, without asking the leader.
"""

from __future__ import annotations

from kelpstage.common.configuration.validation import DOCUMENT_LIMIT, VERSION_LIMIT
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import (
    MissingIfMatchError,
    VersionNotAboveError,
)
from kelpstage.common.errors.requests import (
    BadRequestError,
    BodyTooLargeError,
    MethodNotAllowedError,
    UnknownResourceError,
)
from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.common.transport.messages import ForwardOperatorCall
from kelpstage.core.web.rollouts import ROLLOUTS_PATH, read_order

DEFAULT_WAIT_US = 10_000_000
MAX_WAIT_US = 120_000_000


# The first parts of paths, as metrics name them; names that callers choose are left out.
RESOURCES = ("configuration", "puts", "roster", "rollouts", "status")


def resource_of(*, path: str) -> str:
    """The name of a path's resource in metrics; `other` for any path that is not known.

    >>> resource_of(path="/v1/puts/p1"), resource_of(path="/ready"), resource_of(path="/x/y")
    ('puts', 'ready', 'other')
    """
    if path in ("/metrics", "/ready", "/health"):
        return path[1:]
    parts = path.split("/")
    is_known = len(parts) > 2 and parts[1] == "v1" and parts[2] in RESOURCES
    return parts[2] if is_known else "other"


def read_request(*, call: HttpCall, path: str) -> ForwardOperatorCall | KelpstageError:
    """Parse an operator's call into a request; an error if no leader would accept it."""
    wait_us = _read_wait_us(call=call)
    if isinstance(wait_us, KelpstageError):
        return wait_us
    version = _read_version(call=call)
    if isinstance(version, KelpstageError):
        return version
    request = ForwardOperatorCall(
        method=call.method,
        url=path,
        if_match=call.headers.get("if-match", ""),
        put_id=call.headers.get("kelp-put-id", ""),
        body=call.body,
        wait_us=wait_us,
        version=version,
    )
    return _validate_request(request=request) or request


def _read_wait_us(*, call: HttpCall) -> int | BadRequestError:
    """How long the caller waits, in microseconds; the default without the header."""
    given = call.headers.get("kelp-time-left-us")
    if given is None:
        return DEFAULT_WAIT_US
    if not _is_digits(given) or not 0 < int(given) <= MAX_WAIT_US:
        return BadRequestError(
            part="Kelp-Time-Left-Us", why=f"whole microseconds, 1 to {MAX_WAIT_US}"
        )
    return int(given)


def _is_digits(given: str) -> bool:
    return given.isascii() and given.isdigit() and len(given) <= 19


def _read_version(*, call: HttpCall) -> int | BadRequestError:
    """The version that the operator assigns to a write; 0 without the header."""
    given = call.headers.get("kelp-version", "").strip('"')
    if not given:
        return 0
    if not _is_digits(given) or not 0 < int(given) <= VERSION_LIMIT:
        return BadRequestError(part="Kelp-Version", why=f"a whole number, 1 to {VERSION_LIMIT}")
    return int(given)


def _validate_request(*, request: ForwardOperatorCall) -> KelpstageError | None:
    """The error for a call that no leader would accept, else `None`."""
    if request.url == "/v1/configuration":
        if request.method == "GET":
            return None
        if request.method != "PUT":
            return MethodNotAllowedError(method=request.method, allowed="GET, PUT")
        return _validate_put(request=request)
    if request.url == ROLLOUTS_PATH and request.method == "POST":
        order = read_order(body=request.body)
        return order if isinstance(order, KelpstageError) else None
    allowed = _allowed_method(path=request.url)
    if allowed is None:
        return UnknownResourceError(path=request.url)
    if request.method not in allowed.split(", "):
        return MethodNotAllowedError(method=request.method, allowed=allowed)
    return None


def _allowed_method(*, path: str) -> str | None:
    """The methods allowed on a resource other than the configuration; `None` if unknown."""
    if path.startswith(("/v1/puts/", f"{ROLLOUTS_PATH}/")) or path == "/v1/roster":
        return "GET"
    if path == ROLLOUTS_PATH:
        return "GET, POST"
    return "DELETE" if path.startswith("/v1/roster/") else None


def _validate_put(*, request: ForwardOperatorCall) -> KelpstageError | None:
    given = request.if_match.strip('"')
    if not given:
        return MissingIfMatchError(why="If-Match: the version that this put replaces, 0 for none")
    if not _is_digits(given):
        return BadRequestError(part="If-Match", why="a whole version number")
    if request.version and request.version <= int(given):  # whatever the current version is
        return VersionNotAboveError(version=request.version, current=int(given))
    if not 0 < len(request.put_id) <= 64 or not request.put_id.isascii() or "/" in request.put_id:
        return BadRequestError(part="Kelp-Put-Id", why="1 to 64 ASCII characters without a slash")
    if len(request.body) > DOCUMENT_LIMIT:
        return BodyTooLargeError(limit_bytes=DOCUMENT_LIMIT)
    return None
