"""Lists of numbers as the command line gives them."""

from __future__ import annotations


def read_seeds(*, text: str) -> list[int]:
    """Seeds as `7`, `1-40` or `3,5,8-9`.

    >>> read_seeds(text="3,5,8-9")
    [3, 5, 8, 9]
    """
    out: list[int] = []
    for piece in text.split(","):
        low, _, high = piece.partition("-")
        out += range(int(low), int(high or low) + 1)
    return out


def read_counts(*, text: str) -> list[int]:
    """Counts of nodes as `50,100,200`.

    >>> read_counts(text="50,100")
    [50, 100]
    """
    return [int(piece) for piece in text.split(",")]
