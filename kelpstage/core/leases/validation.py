"""Validation of configuration documents; the result is the same on every core at any time."""

from __future__ import annotations

import hashlib

from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors.validation import InvalidConfigurationError

MAX_CACHED_RESULTS = 8


def validate_document(*, document: bytes) -> InvalidConfigurationError | int:
    """The faults of a document, or the version that it states (0 if none).

    >>> validate_document(document=b'{"forward": {}, "version": 7}')
    7
    >>> validate_document(document=b"{").faults[0].path
    '(whole)'
    """
    result = read_configuration(data=document, version=1)
    return result if isinstance(result, InvalidConfigurationError) else result.stated_version


class DocumentValidator:
    """Validates documents, with a small cache because validating a large document is slow.

    >>> validator = DocumentValidator()
    >>> validator.validate(document=b'{"forward": {}}')
    0
    """

    def __init__(self) -> None:
        self._results: dict[bytes, InvalidConfigurationError | int] = {}

    def validate(self, *, document: bytes) -> InvalidConfigurationError | int:
        """The result of `validate_document`, cached by the document's digest."""
        digest = hashlib.sha256(document).digest()
        result = self._results.get(digest)
        if result is None:
            result = self._results[digest] = validate_document(document=document)
            while len(self._results) > MAX_CACHED_RESULTS:
                del self._results[next(iter(self._results))]
        return result
