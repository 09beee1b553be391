"""The table that maps typed errors to HTTP statuses."""

from __future__ import annotations

from dataclasses import dataclass

from kelpstage.common.errors.backends import (
    BackendConnectionError,
    BackendFailedError,
    InvalidReplyError,
    RequestNotRunError,
)
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.control import (
    EdgeAliveError,
    MissingIfMatchError,
    NoConfigurationError,
    NoEdgeMajorityError,
    NoLeaderError,
    PutIdReusedError,
    RecoveryRefusedError,
    RolloutUnderWayError,
    TooFewVotersError,
    UnknownEdgeError,
    UnknownPutError,
    UnknownRolloutError,
    VersionMismatchError,
    VersionNotAboveError,
    WriteUnresolvedError,
)
from kelpstage.common.errors.requests import (
    BadRequestError,
    BodyTooLargeError,
    HeadersTooLargeError,
    InvalidDeadlineError,
    InvalidLimitError,
    MethodNotAllowedError,
    MissingDeadlineError,
    MissingRequestIdError,
    RecordNotFoundError,
    RequestReadTimeoutError,
    UnknownCollectionError,
    UnknownResourceError,
    UnknownRouteError,
    UnknownSearchError,
    UnknownShardError,
)
from kelpstage.common.errors.serving import (
    CallerGoneError,
    DeadlineExceededError,
    NoBackendError,
    NotReadyError,
    OverloadedError,
    QuorumNotMetError,
)
from kelpstage.common.errors.storage import (
    DiskError,
)
from kelpstage.common.errors.validation import (
    InvalidConfigurationError,
)

INTERNAL_SERVER_ERROR = 500


@dataclass(frozen=True, kw_only=True)
class HttpStatus:
    """A status code and, if a retry can succeed, the delay for `Retry-After`."""

    code: int = INTERNAL_SERVER_ERROR
    retry_after_s: int | None = None


STATUSES: dict[type[KelpstageError], HttpStatus] = {
    BadRequestError: HttpStatus(code=400),
    MissingDeadlineError: HttpStatus(code=400),
    InvalidDeadlineError: HttpStatus(code=400),
    InvalidLimitError: HttpStatus(code=400),
    BodyTooLargeError: HttpStatus(code=413),
    HeadersTooLargeError: HttpStatus(code=431),
    RequestReadTimeoutError: HttpStatus(code=408),
    UnknownResourceError: HttpStatus(code=404),
    MethodNotAllowedError: HttpStatus(code=405),
    UnknownCollectionError: HttpStatus(code=404),
    UnknownShardError: HttpStatus(code=404),
    RecordNotFoundError: HttpStatus(code=404),
    UnknownSearchError: HttpStatus(code=404),
    UnknownRouteError: HttpStatus(code=404),
    MissingRequestIdError: HttpStatus(code=400),
    NotReadyError: HttpStatus(code=503, retry_after_s=1),
    CallerGoneError: HttpStatus(code=503),
    OverloadedError: HttpStatus(code=503, retry_after_s=1),
    QuorumNotMetError: HttpStatus(code=503, retry_after_s=1),
    DeadlineExceededError: HttpStatus(code=504, retry_after_s=1),
    NoBackendError: HttpStatus(code=503, retry_after_s=1),
    BackendConnectionError: HttpStatus(code=502, retry_after_s=1),
    InvalidReplyError: HttpStatus(code=502, retry_after_s=1),
    RequestNotRunError: HttpStatus(code=503),
    BackendFailedError: HttpStatus(code=502),
    InvalidConfigurationError: HttpStatus(code=422),
    MissingIfMatchError: HttpStatus(code=428),
    VersionMismatchError: HttpStatus(code=412),
    VersionNotAboveError: HttpStatus(code=409),
    PutIdReusedError: HttpStatus(code=409),
    UnknownPutError: HttpStatus(code=404),
    WriteUnresolvedError: HttpStatus(code=503, retry_after_s=1),
    NoEdgeMajorityError: HttpStatus(code=503, retry_after_s=2),
    TooFewVotersError: HttpStatus(code=503, retry_after_s=1),
    NoLeaderError: HttpStatus(code=503, retry_after_s=1),
    NoConfigurationError: HttpStatus(code=404),
    UnknownEdgeError: HttpStatus(code=404),
    EdgeAliveError: HttpStatus(code=409),
    RecoveryRefusedError: HttpStatus(code=409),
    RolloutUnderWayError: HttpStatus(code=409),
    UnknownRolloutError: HttpStatus(code=404),
    DiskError: HttpStatus(code=503, retry_after_s=2),
}
DEFAULT_STATUS = HttpStatus()


def status_of(*, error: KelpstageError) -> HttpStatus:
    """The HTTP status for an error; 500 for errors that are not in the table.

    >>> from kelpstage.common.errors.requests import BadRequestError
    >>> status_of(error=BadRequestError(part="query", why="no limit"))
    HttpStatus(code=400, retry_after_s=None)
    """
    return STATUSES.get(type(error), DEFAULT_STATUS)
