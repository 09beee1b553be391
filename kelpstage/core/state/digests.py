"""Digests that identify a write and a document.

Both are stored in the replicated state, so their input format must not change.
"""

from __future__ import annotations

import hashlib


def put_digest(*, document: bytes, expected: int, version: int = 0) -> bytes:
    """The digest that identifies a write, so that retries are recognized (SHA-256, 32 bytes).

    Without a stated version (0), the version is `expected` + 1.

    >>> plain = put_digest(document=b"{}", expected=1)
    >>> len(plain), plain == put_digest(document=b"{}", expected=1, version=2)
    (32, True)
    >>> plain == put_digest(document=b"{}", expected=1, version=3)
    False
    """
    stated = b"" if version in (0, expected + 1) else b"\0version" + version.to_bytes(8, "big")
    return hashlib.sha256(expected.to_bytes(8, "big") + stated + document).digest()


def document_digest(*, document: bytes) -> bytes:
    """The digest that identifies a document as the base of a delta (8 bytes of SHA-256).

    >>> len(document_digest(document=b"{}"))
    8
    """
    return hashlib.sha256(document).digest()[:8]
