"""Parses and checks the reply of a backend; the only module that knows its format.

A reply is a JSON object with `shard`, `cut`, `count`, `stamp` and `records`. The stamp is the
SHA-256, in hex, over the records: for each one its length as eight bytes and then its exact
bytes in the body. Records are copied from the body byte for byte and never serialized again.
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

WHITESPACE = re.compile(r"[ \t\n\r]*")
RANK_MIN, RANK_MAX = -(2**63) + 1, 2**63 - 1
REPLY_LIMIT = 16 * 1024 * 1024  # bytes of the body


def _reject_constant(name: str) -> object:
    raise ValueError(f"{name} is not valid JSON")


# `scan_once` returns a value and its end position; the type stubs lack it.
_decoder: Any = json.JSONDecoder(parse_constant=_reject_constant)


@dataclass(frozen=True, kw_only=True)
class ValidatedPart:
    """The result of one shard, which passed every check."""

    shard: str
    cut: str
    stamp: str
    count: int
    records: list[tuple[int, bytes]]


def stamp_of(*, records: list[bytes]) -> str:
    """Return the stamp over the exact bytes of records.

    >>> stamp_of(records=[b"{}"])[:8]
    '7cf4b3ea'
    """
    digest = hashlib.sha256()
    for record in records:
        digest.update(struct.pack("!Q", len(record)))
        digest.update(record)
    return digest.hexdigest()


def _skip_whitespace(*, text: str, position: int) -> int:
    return WHITESPACE.match(text, position).end()  # type: ignore[union-attr]  # also matches the empty string


def _scan_records(*, text: str, position: int) -> tuple[list[tuple[object, str]], int]:
    """Return the values of an array with their exact texts, and the end position."""
    if text[position] != "[":
        raise ValueError("records is not an array")
    position = _skip_whitespace(text=text, position=position + 1)
    out: list[tuple[object, str]] = []
    if text[position] == "]":
        return out, position + 1
    while True:
        value, end = _decoder.scan_once(text, position)
        out.append((value, text[position:end]))
        position = _skip_whitespace(text=text, position=end)
        if text[position] == "]":
            return out, position + 1
        if text[position] != ",":
            raise ValueError("expected a comma or the end of records")
        position = _skip_whitespace(text=text, position=position + 1)


def _scan_reply(*, text: str) -> dict[str, Any]:
    """Return the fields of a reply, with the exact text of each record."""
    position = _skip_whitespace(text=text, position=0)
    if text[position] != "{":
        raise ValueError("reply is not an object")
    fields: dict[str, Any] = {}
    position = _skip_whitespace(text=text, position=position + 1)
    while text[position] != "}":
        if text[position] != '"':
            raise ValueError("expected a field name")
        name, position = scanstring(text, position + 1)
        if name in fields:
            raise ValueError(f"duplicate field {name}")
        position = _skip_whitespace(text=text, position=position)
        if text[position] != ":":
            raise ValueError("expected a colon")
        position = _skip_whitespace(text=text, position=position + 1)
        if name == "records":
            fields[name], position = _scan_records(text=text, position=position)
        else:
            fields[name], position = _decoder.scan_once(text, position)
        position = _skip_whitespace(text=text, position=position)
        if text[position] == ",":
            position = _skip_whitespace(text=text, position=position + 1)
            if text[position] == "}":
                raise ValueError("trailing comma")
        elif text[position] != "}":
            raise ValueError("expected a comma or the end of the object")
    if _skip_whitespace(text=text, position=position + 1) != len(text):
        raise ValueError("data after the end of the object")
    return fields


def _check_headers(*, backend: str, reply: HttpReply) -> InvalidReplyError | None:
    """Return the first error of the status, the headers or the body's length; `None` if valid."""

    def invalid(part: str, why: str) -> InvalidReplyError:
        return InvalidReplyError(backend=backend, part=part, why=why)

    if reply.status != 200:
        return invalid("status", str(reply.status))
    kind = reply.headers.get("content-type", "").split(";")[0].strip().lower()
    if kind != "application/json":
        return invalid("type", kind or "none")
    if reply.headers.get("content-encoding", "identity") != "identity":
        return invalid("encoding", reply.headers["content-encoding"])
    if len(reply.body) > REPLY_LIMIT:
        return invalid("length", f"{len(reply.body)} bytes")
    stated = reply.headers.get("content-length")
    if stated is not None and stated != str(len(reply.body)):
        return invalid("length", f"received {len(reply.body)} of {stated} bytes")
    return None


def read_reply(
    *, backend: str, reply: HttpReply, shard: str, cut: str, order_by: str
) -> ValidatedPart | InvalidReplyError:
    """Check a complete reply: status, type, encoding, format, shard, cut, count and stamp.

    >>> record = b'{"score":3}'
    >>> body = (b'{"shard":"s","cut":"c","count":1,"stamp":"'
    ...         + stamp_of(records=[record]).encode() + b'","records":[' + record + b']}')
    >>> expected = dict(backend="b", shard="s", cut="c", order_by="score")
    >>> good = HttpReply(status=200, headers={"content-type": "application/json"}, body=body)
    >>> read_reply(reply=good, **expected).records
    [(-3, b'{"score":3}')]
    >>> truncated = HttpReply(status=200, headers=good.headers, body=body[:-1])
    >>> read_reply(reply=truncated, **expected).part
    'form'
    """

    def invalid(part: str, why: str) -> InvalidReplyError:
        return InvalidReplyError(backend=backend, part=part, why=why)

    header_error = _check_headers(backend=backend, reply=reply)
    if header_error is not None:
        return header_error
    try:
        fields = _scan_reply(text=reply.body.decode("utf-8"))
    except UnicodeDecodeError:
        return invalid("encoding", "not UTF-8")
    except (ValueError, IndexError, StopIteration, RecursionError) as error:
        return invalid("form", str(error)[:200] or type(error).__name__)
    if fields.get("shard") != shard:
        return invalid("shard", f"{fields.get('shard')!r}"[:80])
    if fields.get("cut") != cut:
        return invalid("cut", f"{fields.get('cut')!r}"[:80])
    scanned = fields.get("records")
    if not isinstance(scanned, list) or type(fields.get("count")) is not int:
        return invalid("form", "records or count is missing or has the wrong type")
    if fields["count"] != len(scanned):
        return invalid("count", f"{len(scanned)} records, {fields['count']} declared")
    raw = [text.encode("utf-8") for _, text in scanned]
    if fields.get("stamp") != stamp_of(records=raw):
        return invalid("stamp", "does not match the records")
    records: list[tuple[int, bytes]] = []
    for (value, _), data in zip(scanned, raw, strict=False):
        rank = value.get(order_by) if isinstance(value, dict) else None
        if type(rank) is not int or not RANK_MIN <= rank <= RANK_MAX:
            return invalid("record", f"{order_by} is not a 64-bit integer")
        records.append((-rank, data))
    return ValidatedPart(
        shard=shard, cut=cut, stamp=fields["stamp"], count=len(records), records=records
    )
