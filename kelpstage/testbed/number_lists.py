"""Parsing of lists of numbers on the command line."""

from __future__ import annotations


def read_seeds(*, text: str) -> list[int]:
    """Parses seeds such as `7`, `1-40` or `3,5,8-9`.

    >>> read_seeds(text="3,5,8-9")
    [3, 5, 8, 9]
    """
    out: list[int] = []
    for piece in text.split(","):
        low, _, high = piece.partition("-")
        out += range(int(low), int(high or low) + 1)
    return out
