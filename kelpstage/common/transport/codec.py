"""Messages of betterproto, with bytes made and read from a table for each class.

betterproto 1.x looks every field up anew for every message, which took over half
of an edge's processor time. The bytes are the same (`tests/test_wire.py` compares
them); only the kinds of field that this project uses are known here.
"""

from __future__ import annotations

import dataclasses
from typing import Any, Callable, NamedTuple, Self

import betterproto as bp

# Wire types of protocol buffers (encoding.html, "Message Structure").
VARINT, FIXED_64, SIZED, FIXED_32 = 0, 1, 2, 5
FIXED_BYTES = {FIXED_64: 8, FIXED_32: 4}  # no field here has these; they are skipped
VARINT_BITS = 64


class Field(NamedTuple):
    """How one field travels.

    `key` is the varint of its number and wire type, `kind` its type as betterproto names it,
    and `message` the class of a nested message.
    """

    name: str
    key: bytes
    is_list: bool
    kind: str
    default: Callable[[], Any]
    message: type["Message"] | None


class Table(NamedTuple):
    """All fields of a message class in order, and the same by number."""

    fields: tuple[Field, ...]
    by_number: dict[int, Field]


class Message(bp.Message):
    """The base of all messages: fields are set, written and read by the class's table.

    >>> @dataclasses.dataclass
    ... class Pair(Message):
    ...     name: str = bp.string_field(1)
    ...     count: int = bp.uint64_field(2)
    >>> bytes(Pair(name="a", count=300))
    b'\\n\\x01a\\x10\\xac\\x02'
    >>> Pair().parse(b'\\n\\x01a\\x10\\xac\\x02').count
    300
    """

    __setattr__ = object.__setattr__  # type: ignore[assignment]  # nothing to keep track of

    def __post_init__(self) -> None:
        state = self.__dict__
        is_set = False
        for field in table_of(kind=type(self)).fields:
            if state[field.name] is bp.PLACEHOLDER:
                state[field.name] = field.default()
            else:
                is_set = True
        state["_serialized_on_wire"] = is_set
        state["_unknown_fields"] = b""
        state["_group_map"] = {}

    def __bytes__(self) -> bytes:
        out = bytearray()
        write(message=self, out=out)
        return bytes(out)

    def parse(self, data: bytes) -> Self:
        """Set the fields from a message's bytes; any exception on bytes that are none."""
        read(message=self, data=data)
        return self


_TABLES: dict[type[Message], Table] = {}


def table_of(*, kind: type[Message]) -> Table:
    """The table of a message class, made once."""
    table = _TABLES.get(kind)
    if table is None:
        fields = {
            bp.FieldMetadata.get(declared).number: _field(kind=kind, declared=declared)
            for declared in dataclasses.fields(kind)
        }
        table = _TABLES[kind] = Table(fields=tuple(fields.values()), by_number=fields)
    return table


def _field(*, kind: type[Message], declared: dataclasses.Field[Any]) -> Field:
    meta = bp.FieldMetadata.get(declared)
    default = kind._get_field_default_gen(declared, meta)
    wire = SIZED if meta.proto_type in (bp.TYPE_STRING, bp.TYPE_BYTES, bp.TYPE_MESSAGE) else VARINT
    key = bytearray()
    _write_varint(value=meta.number << 3 | wire, out=key)
    return Field(
        name=declared.name,
        key=bytes(key),
        is_list=default is list,
        kind=meta.proto_type,
        default=default,
        message=kind._cls_for(declared) if meta.proto_type == bp.TYPE_MESSAGE else None,
    )


def _write_varint(*, value: int, out: bytearray) -> None:
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)


def write(*, message: Message, out: bytearray) -> None:
    """Append a message's bytes; what has its default is left out, as proto3 says."""
    state = message.__dict__
    for field in table_of(kind=type(message)).fields:
        value = state[field.name]
        if field.is_list:
            for item in value:
                _write_one(field=field, value=item, out=out)
        elif field.message is not None:
            if value._serialized_on_wire or value != field.default():
                _write_one(field=field, value=value, out=out)
        elif value:
            _write_one(field=field, value=value, out=out)


def _write_one(*, field: Field, value: Any, out: bytearray) -> None:
    out += field.key
    if field.kind == bp.TYPE_STRING:
        value = value.encode("utf-8")
    elif field.message is not None:
        inner = bytearray()
        write(message=value, out=inner)
        value = inner
    elif field.kind != bp.TYPE_BYTES:
        _write_varint(value=int(value), out=out)
        return
    _write_varint(value=len(value), out=out)
    out += value


def _read_varint(*, data: bytes, position: int) -> tuple[int, int]:
    value = shift = 0
    while True:
        byte = data[position]
        position += 1
        value |= (byte & 0x7F) << shift
        if byte < 0x80:
            return value, position
        shift += 7
        if shift >= VARINT_BITS + 7:
            raise ValueError("a number of too many bytes")


def read(*, message: Message, data: bytes) -> None:
    """Take a message's bytes; fields that are not known are skipped.

    >>> from kelpstage.common.transport.messages import RegisterEdge
    >>> read(message=RegisterEdge(), data=b"\\x0a\\x7f")
    Traceback (most recent call last):
    ValueError: cut short
    """
    state = message.__dict__
    by_number = table_of(kind=type(message)).by_number
    value: Any
    position, end = 0, len(data)
    while position < end:
        key, position = _read_varint(data=data, position=position)
        wire = key & 7
        if wire == VARINT:
            value, position = _read_varint(data=data, position=position)
        elif wire == SIZED:
            size = data[position]  # most are short: the number is this one byte
            if size < 0x80:
                position += 1
            else:
                size, position = _read_varint(data=data, position=position)
            value = data[position : position + size]
            position += size
        elif wire in FIXED_BYTES:
            value = None
            position += FIXED_BYTES[wire]
        else:
            raise ValueError(f"wire type {wire}")
        if position > end:
            raise ValueError("cut short")
        field = by_number.get(key >> 3)
        if field is not None:
            _set_field(field=field, wire=wire, value=value, state=state)


def _set_field(*, field: Field, wire: int, value: Any, state: dict[str, Any]) -> None:
    if wire != field.key[0] & 7:
        raise ValueError(f"{field.name} has wire type {wire}")
    if field.kind == bp.TYPE_STRING:
        value = value.decode("utf-8")
    elif field.message is not None:
        inner = field.message()
        read(message=inner, data=value)
        inner.__dict__["_serialized_on_wire"] = True
        value = inner
    elif field.kind == bp.TYPE_BOOL:
        value = value > 0
    if field.is_list:
        state[field.name].append(value)
    else:
        state[field.name] = value
