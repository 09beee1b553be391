"""Reading and checking of a backend's reply: the only module that knows its form.

A reply is a JSON object: `shard`, `cut`, `count`, `stamp`, `records`. The stamp
is the SHA-256, in hex, over each record's exact bytes as they stand in the
body, each behind its length as eight bytes. Records are cut out of the body as
they stand; nothing is written anew.
"""

from __future__ import annotations

import hashlib
import json
import re
import struct
from dataclasses import dataclass
from json.decoder import scanstring  # type: ignore[attr-defined]
from typing import Any

from kelpstage.common.errors.backends import InvalidReplyError
from kelpstage.common.ports.interfaces import HttpReply

SPACE = re.compile(r"[ \t\n\r]*")
RANK_MIN, RANK_MAX = -(2**63) + 1, 2**63 - 1
REPLY_LIMIT = 16 * 1024 * 1024  # bytes of a body


def _no_constants(name: str) -> object:
    raise ValueError(f"{name} is not JSON")


# `scan_once` gives a value and where it ends; the typed stubs leave it out.
_decoder: Any = json.JSONDecoder(parse_constant=_no_constants)


@dataclass(frozen=True, kw_only=True)
class SealedPart:
    """A part that passed every check."""

    shard: str
    cut: str
    stamp: str
    count: int
    records: list[tuple[int, bytes]]


def stamp_of(*, records: list[bytes]) -> str:
    """The stamp over records' exact bytes.

    >>> stamp_of(records=[b"{}"])[:8]
    '7cf4b3ea'
    """
    digest = hashlib.sha256()
    for record in records:
        digest.update(struct.pack("!Q", len(record)))
        digest.update(record)
    return digest.hexdigest()


def _skip(*, text: str, place: int) -> int:
    return SPACE.match(text, place).end()  # type: ignore[union-attr]  # matches no text too


def _scan_records(*, text: str, place: int) -> tuple[list[tuple[object, str]], int]:
    """Values of an array with their exact texts."""
    if text[place] != "[":
        raise ValueError("records is not an array")
    place = _skip(text=text, place=place + 1)
    out: list[tuple[object, str]] = []
    if text[place] == "]":
        return out, place + 1
    while True:
        value, end = _decoder.scan_once(text, place)
        out.append((value, text[place:end]))
        place = _skip(text=text, place=end)
        if text[place] == "]":
            return out, place + 1
        if text[place] != ",":
            raise ValueError("records: comma or end expected")
        place = _skip(text=text, place=place + 1)


def _scan_reply(*, text: str) -> dict[str, Any]:
    """The fields of a reply, its records with their exact texts."""
    place = _skip(text=text, place=0)
    if text[place] != "{":
        raise ValueError("not an object")
    fields: dict[str, Any] = {}
    place = _skip(text=text, place=place + 1)
    while text[place] != "}":
        if text[place] != '"':
            raise ValueError("a name expected")
        name, place = scanstring(text, place + 1)
        if name in fields:
            raise ValueError(f"{name} stands twice")
        place = _skip(text=text, place=place)
        if text[place] != ":":
            raise ValueError("colon expected")
        place = _skip(text=text, place=place + 1)
        if name == "records":
            fields[name], place = _scan_records(text=text, place=place)
        else:
            fields[name], place = _decoder.scan_once(text, place)
        place = _skip(text=text, place=place)
        if text[place] == ",":
            place = _skip(text=text, place=place + 1)
            if text[place] == "}":
                raise ValueError("a comma before the end")
        elif text[place] != "}":
            raise ValueError("comma or end expected")
    if _skip(text=text, place=place + 1) != len(text):
        raise ValueError("more behind the object")
    return fields


def _check_head(*, backend: str, reply: HttpReply) -> InvalidReplyError | None:
    """The first error of the status line, the headers or the body's length, if any."""

    def bad(part: str, why: str) -> InvalidReplyError:
        return InvalidReplyError(backend=backend, part=part, why=why)

    if reply.status != 200:
        return bad("status", str(reply.status))
    kind = reply.headers.get("content-type", "").split(";")[0].strip().lower()
    if kind != "application/json":
        return bad("type", kind or "none")
    if reply.headers.get("content-encoding", "identity") != "identity":
        return bad("encoding", reply.headers["content-encoding"])
    if len(reply.body) > REPLY_LIMIT:
        return bad("length", f"{len(reply.body)} bytes")
    stated = reply.headers.get("content-length")
    if stated is not None and stated != str(len(reply.body)):
        return bad("length", f"{len(reply.body)} of {stated} bytes")
    return None


def read_reply(
    *, backend: str, reply: HttpReply, shard: str, cut: str, order_by: str
) -> SealedPart | InvalidReplyError:
    """Check a complete reply: status, type, encoding, form, shard, cut, count, stamp.

    >>> record = b'{"score":3}'
    >>> body = (b'{"shard":"s","cut":"c","count":1,"stamp":"'
    ...         + stamp_of(records=[record]).encode() + b'","records":[' + record + b']}')
    >>> ask = dict(backend="b", shard="s", cut="c", order_by="score")
    >>> good = HttpReply(status=200, headers={"content-type": "application/json"}, body=body)
    >>> read_reply(reply=good, **ask).records
    [(-3, b'{"score":3}')]
    >>> torn = HttpReply(status=200, headers=good.headers, body=body[:-1])
    >>> read_reply(reply=torn, **ask).part
    'form'
    """

    def bad(part: str, why: str) -> InvalidReplyError:
        return InvalidReplyError(backend=backend, part=part, why=why)

    head_error = _check_head(backend=backend, reply=reply)
    if head_error is not None:
        return head_error
    try:
        fields = _scan_reply(text=reply.body.decode("utf-8"))
    except UnicodeDecodeError:
        return bad("encoding", "not UTF-8")
    except (ValueError, IndexError, StopIteration, RecursionError) as error:
        return bad("form", str(error)[:200] or type(error).__name__)
    if fields.get("shard") != shard:
        return bad("shard", f"{fields.get('shard')!r}"[:80])
    if fields.get("cut") != cut:
        return bad("cut", f"{fields.get('cut')!r}"[:80])
    scanned = fields.get("records")
    if not isinstance(scanned, list) or type(fields.get("count")) is not int:
        return bad("form", "records and count are needed")
    if fields["count"] != len(scanned):
        return bad("count", f"{len(scanned)} records, {fields['count']} stated")
    raw = [text.encode("utf-8") for _, text in scanned]
    if fields.get("stamp") != stamp_of(records=raw):
        return bad("stamp", "does not fit the records")
    records: list[tuple[int, bytes]] = []
    for (value, _), data in zip(scanned, raw, strict=False):
        rank = value.get(order_by) if isinstance(value, dict) else None
        if type(rank) is not int or not RANK_MIN <= rank <= RANK_MAX:
            return bad("record", f"{order_by} is not a whole number of 64 bits")
        records.append((-rank, data))
    return SealedPart(
        shard=shard, cut=cut, stamp=fields["stamp"], count=len(records), records=records
    )
