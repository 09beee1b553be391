"""The generated index that stand-in backends serve, and the oracle for its search results.

The oracle shares no code with the code under test: it sorts all records and merges nothing.
"""

from __future__ import annotations

import hashlib
import json
import struct
from dataclasses import dataclass
from functools import lru_cache

QUERIES = tuple(f"name-{number:02d}" for number in range(30))
RECORD_COUNT = 320


@dataclass(frozen=True, kw_only=True)
class Cut:
    """A division of the index into shards.

    >>> Cut(name="c1", shards=("s1", "s2")).shard_of(number=3)
    's2'
    """

    name: str
    shards: tuple[str, ...]

    def shard_of(self, *, number: int) -> str:
        """Returns the shard of a record; numbers are assigned to shards in round-robin order."""
        return self.shards[number % len(self.shards)]


@lru_cache(maxsize=100_000)
def record(*, query: str, number: int) -> tuple[int, bytes]:
    """Returns a record's score and exact bytes.

    The spacing varies on purpose, because replies are compared byte by byte.

    >>> record(query="name-01", number=0) == record(query="name-01", number=0)
    True
    """
    digest = hashlib.sha256(f"{query}|{number}".encode()).digest()
    score = int.from_bytes(digest[:2], "big") % 200 - 20
    gap = " " * (digest[2] % 3)
    text = (
        f'{{"id":"{number}",{gap}"score":{gap}{score},"query":"{query}",'
        f'"name":"élève {digest[3:9].hex()}",{gap}"seen":1e{digest[9] % 9},'
        f'"note":"{digest[10 : 10 + digest[9] % 20].hex()}"}}'
    )
    return score, text.encode()


@lru_cache(maxsize=20_000)
def part(*, query: str, cut: Cut, shard: str) -> tuple[tuple[int, bytes], ...]:
    """Returns a shard's records for a query, not ordered by score."""
    numbers = [n for n in range(RECORD_COUNT) if cut.shard_of(number=n) == shard]
    rows = [record(query=query, number=n) for n in numbers]
    rows.sort(key=lambda row: hashlib.md5(row[1]).digest())
    return tuple(rows)


@lru_cache(maxsize=20_000)
def sealed_reply(*, query: str, cut: Cut, shard: str) -> bytes:
    """Returns a shard's reply to a query, with its stamp."""
    return seal(
        shard=shard,
        cut=cut.name,
        rows=[data for _, data in part(query=query, cut=cut, shard=shard)],
    )


def seal(*, shard: str, cut: str, rows: list[bytes]) -> bytes:
    """Returns a backend's reply: shard, cut, count, stamp and records.

    >>> json.loads(seal(shard="s", cut="c", rows=[b"{}"]))["count"]
    1
    """
    head = json.dumps(
        {"shard": shard, "cut": cut, "count": len(rows), "stamp": stamp(rows=rows)}
    ).encode()
    return head[:-1] + b', "records": [' + b", ".join(rows) + b"]}"


def stamp(*, rows: list[bytes]) -> str:
    """Returns SHA-256 in hexadecimal over each row's length (8 bytes, big-endian) and its bytes."""
    digest = hashlib.sha256()
    for row in rows:
        digest.update(struct.pack("!Q", len(row)) + row)
    return digest.hexdigest()


@lru_cache(maxsize=50_000)
def best(*, query: str, cut: Cut, shards: frozenset, limit: int | None) -> bytes:
    """The oracle: returns the best records of the given shards, by descending score."""
    rows = [
        record(query=query, number=n)
        for n in range(RECORD_COUNT)
        if cut.shard_of(number=n) in shards
    ]
    rows.sort(key=lambda row: (-row[0], row[1]))
    if limit is not None:
        rows = rows[:limit]
    return b",".join(data for _, data in rows)
