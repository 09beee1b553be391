"""The made-up index that stand-in backends serve, and the oracle over it.

The oracle is written apart from the code under test: it sorts the whole
universe plainly and never merges.
"""

from __future__ import annotations

import hashlib
import json
import struct
from dataclasses import dataclass
from functools import lru_cache

QUERIES = tuple(f"name-{number:02d}" for number in range(30))
UNIVERSE = 320


@dataclass(frozen=True, kw_only=True)
class Cut:
    """One way of cutting the index into shards.

    >>> Cut(name="c1", shards=("s1", "s2")).shard_of(number=3)
    's2'
    """

    name: str
    shards: tuple[str, ...]

    def shard_of(self, *, number: int) -> str:
        """The shard that holds the record of this number: numbers go round the shards."""
        return self.shards[number % len(self.shards)]


@lru_cache(maxsize=100_000)
def record(*, query: str, number: int) -> tuple[int, bytes]:
    """A record's score and exact bytes; spacing varies on purpose.

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
    """A shard's records for a query, in no order."""
    numbers = [n for n in range(UNIVERSE) if cut.shard_of(number=n) == shard]
    rows = [record(query=query, number=n) for n in numbers]
    rows.sort(key=lambda row: hashlib.md5(row[1]).digest())
    return tuple(rows)


@lru_cache(maxsize=20_000)
def sealed_reply(*, query: str, cut: Cut, shard: str) -> bytes:
    """A shard's reply to a query, sealed with its stamp."""
    return seal(
        shard=shard,
        cut=cut.name,
        rows=[data for _, data in part(query=query, cut=cut, shard=shard)],
    )


def seal(*, shard: str, cut: str, rows: list[bytes]) -> bytes:
    """A reply with its stamp, as the backends' page describes it.

    >>> json.loads(seal(shard="s", cut="c", rows=[b"{}"]))["count"]
    1
    """
    head = json.dumps(
        {"shard": shard, "cut": cut, "count": len(rows), "stamp": stamp(rows=rows)}
    ).encode()
    return head[:-1] + b', "records": [' + b", ".join(rows) + b"]}"


def stamp(*, rows: list[bytes]) -> str:
    """SHA-256 in hexadecimal over each row's length, 8 bytes big-endian, and its bytes."""
    digest = hashlib.sha256()
    for row in rows:
        digest.update(struct.pack("!Q", len(row)) + row)
    return digest.hexdigest()


@lru_cache(maxsize=50_000)
def best(*, query: str, cut: Cut, shards: frozenset, limit: int | None) -> bytes:
    """The oracle: exactly the best records of the named shards, greatest first."""
    rows = [
        record(query=query, number=n) for n in range(UNIVERSE) if cut.shard_of(number=n) in shards
    ]
    rows.sort(key=lambda row: (-row[0], row[1]))
    if limit is not None:
        rows = rows[:limit]
    return b",".join(data for _, data in rows)
