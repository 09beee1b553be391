"""Whether a document is a configuration at all: the same on every core, at any time."""

from __future__ import annotations

import hashlib

from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors import ConfigurationRefused

JUDGED_KEPT = 8


def judge_document(*, document: bytes) -> ConfigurationRefused | int:
    """The document's faults, or the version that it states (0 for none).

    >>> judge_document(document=b'{"forward": {}, "version": 7}')
    7
    >>> judge_document(document=b"{").faults[0].path
    '(whole)'
    """
    judged = read_configuration(data=document, version=1)
    return judged if isinstance(judged, ConfigurationRefused) else judged.stated_version


class Judge:
    """Judges documents; a repeat is not judged again, since a large one takes a while.

    >>> judge = Judge()
    >>> judge.judge(document=b'{"forward": {}}')
    0
    """

    def __init__(self) -> None:
        self._judged: dict[bytes, ConfigurationRefused | int] = {}

    def judge(self, *, document: bytes) -> ConfigurationRefused | int:
        """What `judge_document` says of it."""
        digest = hashlib.sha256(document).digest()
        found = self._judged.get(digest)
        if found is None:
            found = self._judged[digest] = judge_document(document=document)
            while len(self._judged) > JUDGED_KEPT:
                del self._judged[next(iter(self._judged))]
        return found
