"""Whether a document is a configuration at all: the same on every core, at any time."""

from __future__ import annotations

import hashlib

from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors.validation import InvalidConfigurationError

JUDGED_KEPT = 8


def validate_document(*, document: bytes) -> InvalidConfigurationError | int:
    """The document's faults, or the version that it states (0 for none).

    >>> validate_document(document=b'{"forward": {}, "version": 7}')
    7
    >>> validate_document(document=b"{").faults[0].path
    '(whole)'
    """
    judged = read_configuration(data=document, version=1)
    return judged if isinstance(judged, InvalidConfigurationError) else judged.stated_version


class DocumentValidator:
    """Judges documents; a repeat is not judged again, since a large one takes a while.

    >>> judge = DocumentValidator()
    >>> judge.judge(document=b'{"forward": {}}')
    0
    """

    def __init__(self) -> None:
        self._judged: dict[bytes, InvalidConfigurationError | int] = {}

    def judge(self, *, document: bytes) -> InvalidConfigurationError | int:
        """What `validate_document` says of it."""
        digest = hashlib.sha256(document).digest()
        found = self._judged.get(digest)
        if found is None:
            found = self._judged[digest] = validate_document(document=document)
            while len(self._judged) > JUDGED_KEPT:
                del self._judged[next(iter(self._judged))]
        return found
