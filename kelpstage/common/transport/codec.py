"""A faster protobuf codec for betterproto messages, with a cached field table for each class.

betterproto 1.x inspects the fields of a class anew for every message, which took over half
of an edge's processor time. The encoding is identical (`tests/test_wire.py` compares the
bytes). Only the field types that this project uses are supported.
"""

from __future__ import annotations

import dataclasses
from typing import Any, Callable, NamedTuple, Self

import betterproto as bp

# Wire types of protocol buffers (encoding.html, "Message Structure").
VARINT, FIXED_64, LENGTH_DELIMITED, FIXED_32 = 0, 1, 2, 5
FIXED_SIZES = {FIXED_64: 8, FIXED_32: 4}  # no known field has these wire types; they are skipped
VARINT_BITS = 64


class FieldEncoding(NamedTuple):
    """How one field is encoded.

    `tag` is the varint of its number and wire type, `proto_type` its type as betterproto names
    it, and `message` the class of a nested message.
    """

    name: str
    tag: bytes
    is_list: bool
    proto_type: str
    default: Callable[[], Any]
    message: type["Message"] | None


class FieldTable(NamedTuple):
    """The fields of a message class, in the order of their declaration and by number."""

    fields: tuple[FieldEncoding, ...]
    by_number: dict[int, FieldEncoding]


class Message(bp.Message):
    """The base class of all messages; its fields are encoded and decoded by a field table.

    >>> @dataclasses.dataclass
    ... class Pair(Message):
    ...     name: str = bp.string_field(1)
    ...     count: int = bp.uint64_field(2)
    >>> bytes(Pair(name="a", count=300))
    b'\\n\\x01a\\x10\\xac\\x02'
    >>> Pair().parse(b'\\n\\x01a\\x10\\xac\\x02').count
    300
    """

    __setattr__ = object.__setattr__  # type: ignore[assignment]  # no oneof groups to track

    def __post_init__(self) -> None:
        state = self.__dict__
        is_set = False
        for field in field_table(message_class=type(self)).fields:
            if state[field.name] is bp.PLACEHOLDER:
                state[field.name] = field.default()
            else:
                is_set = True
        state["_serialized_on_wire"] = is_set
        state["_unknown_fields"] = b""
        state["_group_map"] = {}

    def __bytes__(self) -> bytes:
        out = bytearray()
        encode_into(message=self, out=out)
        return bytes(out)

    def parse(self, data: bytes) -> Self:
        """Decode a message into the fields; malformed bytes raise an exception of any type."""
        decode_into(message=self, data=data)
        return self


_FIELD_TABLES: dict[type[Message], FieldTable] = {}


def field_table(*, message_class: type[Message]) -> FieldTable:
    """Return the field table of a message class; it is built on first use."""
    table = _FIELD_TABLES.get(message_class)
    if table is None:
        fields = {
            bp.FieldMetadata.get(declared).number: _field_encoding(
                message_class=message_class, declared=declared
            )
            for declared in dataclasses.fields(message_class)
        }
        table = _FIELD_TABLES[message_class] = FieldTable(
            fields=tuple(fields.values()), by_number=fields
        )
    return table


def _field_encoding(
    *, message_class: type[Message], declared: dataclasses.Field[Any]
) -> FieldEncoding:
    meta = bp.FieldMetadata.get(declared)
    default = message_class._get_field_default_gen(declared, meta)
    wire = (
        LENGTH_DELIMITED
        if meta.proto_type in (bp.TYPE_STRING, bp.TYPE_BYTES, bp.TYPE_MESSAGE)
        else VARINT
    )
    tag = bytearray()
    _write_varint(value=meta.number << 3 | wire, out=tag)
    return FieldEncoding(
        name=declared.name,
        tag=bytes(tag),
        is_list=default is list,
        proto_type=meta.proto_type,
        default=default,
        message=message_class._cls_for(declared) if meta.proto_type == bp.TYPE_MESSAGE else None,
    )


def _write_varint(*, value: int, out: bytearray) -> None:
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)


def encode_into(*, message: Message, out: bytearray) -> None:
    """Append the encoded message; fields with their default value are omitted, as in proto3."""
    state = message.__dict__
    for field in field_table(message_class=type(message)).fields:
        value = state[field.name]
        if field.is_list:
            for item in value:
                _encode_value(field=field, value=item, out=out)
        elif field.message is not None:
            if value._serialized_on_wire or value != field.default():
                _encode_value(field=field, value=value, out=out)
        elif value:
            _encode_value(field=field, value=value, out=out)


def _encode_value(*, field: FieldEncoding, value: Any, out: bytearray) -> None:
    out += field.tag
    if field.proto_type == bp.TYPE_STRING:
        value = value.encode("utf-8")
    elif field.message is not None:
        inner = bytearray()
        encode_into(message=value, out=inner)
        value = inner
    elif field.proto_type != bp.TYPE_BYTES:
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
            raise ValueError("varint has too many bytes")


def decode_into(*, message: Message, data: bytes) -> None:
    """Decode bytes into a message; unknown fields are skipped.

    >>> from kelpstage.common.transport.messages import RegisterEdge
    >>> decode_into(message=RegisterEdge(), data=b"\\x0a\\x7f")
    Traceback (most recent call last):
    ValueError: message is truncated
    """
    state = message.__dict__
    fields_by_number = field_table(message_class=type(message)).by_number
    value: Any
    position, end = 0, len(data)
    while position < end:
        tag, position = _read_varint(data=data, position=position)
        wire = tag & 7
        if wire == VARINT:
            value, position = _read_varint(data=data, position=position)
        elif wire == LENGTH_DELIMITED:
            size = data[position]  # fast path: most lengths fit in one byte
            if size < 0x80:
                position += 1
            else:
                size, position = _read_varint(data=data, position=position)
            value = data[position : position + size]
            position += size
        elif wire in FIXED_SIZES:
            value = None
            position += FIXED_SIZES[wire]
        else:
            raise ValueError(f"unsupported wire type {wire}")
        if position > end:
            raise ValueError("message is truncated")
        field = fields_by_number.get(tag >> 3)
        if field is not None:
            _decode_value(field=field, wire=wire, value=value, state=state)


def _decode_value(*, field: FieldEncoding, wire: int, value: Any, state: dict[str, Any]) -> None:
    if wire != field.tag[0] & 7:
        raise ValueError(f"{field.name} has unexpected wire type {wire}")
    if field.proto_type == bp.TYPE_STRING:
        value = value.decode("utf-8")
    elif field.message is not None:
        inner = field.message()
        decode_into(message=inner, data=value)
        inner.__dict__["_serialized_on_wire"] = True
        value = inner
    elif field.proto_type == bp.TYPE_BOOL:
        value = value > 0
    if field.is_list:
        state[field.name].append(value)
    else:
        state[field.name] = value
