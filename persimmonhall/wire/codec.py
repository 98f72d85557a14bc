"""Encode dataclass messages as Cap'n Proto bytes and decode them."""

import dataclasses
import struct
from collections.abc import Callable
from enum import Enum
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple, TypeVar, get_args, get_origin, get_type_hints

import capnp
from absl import logging

capnp.remove_import_hook()

MessageT = TypeVar("MessageT")
FieldWriter = Callable[[Any, str, Any], None]
ValueReader = Callable[[Any], Any]

PACKAGE_PATH = Path(__file__).parents[1]
WORD_BYTES = 8
# What was encoded here is read once. A damaged message may refer to the same bytes many
# times, or state millions of items that have no size.
MAX_WORDS_READ_PER_WORD = 4
MIN_WORDS_READ = 64
ITEM_SIZE = struct.Struct("<H")


class Packer(NamedTuple):
    """Encode one class as bytes of its own; `unpack` raises ValueError."""

    pack: Callable[[Any], bytes]
    unpack: Callable[[bytes], Any]


_packers: dict[type, Packer] = {}


def register_packer(cls: type, packer: Packer) -> None:
    """Encode fields of a class, and lists of it, as Data instead of structs."""
    _packers[cls] = packer


def load_schema(path: Path) -> Any:
    """Load a schema file; it imports others as "/package/file.capnp"."""
    return capnp.load(str(path), imports=[str(PACKAGE_PATH)])


@dataclasses.dataclass(frozen=True)
class _FieldCodec:
    """Encode and decode one field of a message."""

    name: str
    wire_name: str
    write: FieldWriter
    read: ValueReader


def _camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


@cache
def _field_codecs(cls: type) -> tuple[_FieldCodec, ...]:
    hints = get_type_hints(cls)
    names = [field.name for field in dataclasses.fields(cls)]
    return tuple(_make_field_codec(name, hints[name]) for name in names)


def _make_field_codec(name: str, hint: Any) -> _FieldCodec:
    hint = getattr(hint, "__supertype__", hint)
    if get_origin(hint) is tuple:
        write, read = _make_list_codec(get_args(hint)[0])
    elif hint in _packers:
        write, read = _make_packed_codec(_packers[hint])
    elif dataclasses.is_dataclass(hint):
        write, read = _write_struct, _make_struct_reader(hint)
    elif isinstance(hint, type) and issubclass(hint, Enum):
        write, read = _write_enum, hint
    else:
        write, read = setattr, _identity
    return _FieldCodec(name, _camel_case(name), write, read)


def _make_list_codec(item: Any) -> tuple[FieldWriter, ValueReader]:
    item = getattr(item, "__supertype__", item)
    if item in _packers:
        return _make_packed_list_codec(_packers[item])
    if dataclasses.is_dataclass(item):
        read = _make_struct_reader(item)
        return _write_structs, lambda values: tuple([read(v) for v in values])
    if isinstance(item, type) and issubclass(item, Enum):
        return _write_enums, lambda values: tuple([item(v) for v in values])
    return _write_scalars, tuple


def _make_packed_codec(packer: Packer) -> tuple[FieldWriter, ValueReader]:
    def write(builder: Any, wire_name: str, value: Any) -> None:
        setattr(builder, wire_name, packer.pack(value))

    return write, lambda data: packer.unpack(bytes(data))


def _make_packed_list_codec(packer: Packer) -> tuple[FieldWriter, ValueReader]:
    """Write items one after the other, each behind its length.

    An item that can't be read is left out: the others hold.
    """

    def write(builder: Any, wire_name: str, values: tuple) -> None:
        items = [packer.pack(value) for value in values]
        parts = [part for item in items for part in (ITEM_SIZE.pack(len(item)), item)]
        setattr(builder, wire_name, b"".join(parts))

    def read(data: Any) -> tuple:
        data, start, values = bytes(data), 0, []
        while start < len(data):
            if len(data) - start < ITEM_SIZE.size:
                raise ValueError("damaged message: a list ends inside a length")
            end = start + ITEM_SIZE.size + ITEM_SIZE.unpack_from(data, start)[0]
            if end > len(data):
                raise ValueError("damaged message: a list ends inside an item")
            try:
                values.append(packer.unpack(data[start + ITEM_SIZE.size : end]))
            except ValueError as error:
                logging.warning("item of a list left out: %s", error)
            start = end
        return tuple(values)

    return write, read


def _identity(value: Any) -> Any:
    return value


def _write_enum(builder: Any, wire_name: str, value: Enum) -> None:
    setattr(builder, wire_name, value.value)


def _write_struct(builder: Any, wire_name: str, value: Any) -> None:
    _write_fields(builder.init(wire_name), value)


def _write_structs(builder: Any, wire_name: str, values: tuple) -> None:
    items = builder.init(wire_name, len(values))
    for number, value in enumerate(values):
        _write_fields(items[number], value)


def _write_enums(builder: Any, wire_name: str, values: tuple) -> None:
    _write_scalars(builder, wire_name, tuple(value.value for value in values))


def _write_scalars(builder: Any, wire_name: str, values: tuple) -> None:
    items = builder.init(wire_name, len(values))
    for number, value in enumerate(values):
        items[number] = value


def _write_fields(builder: Any, message: Any) -> None:
    for field in _field_codecs(type(message)):
        field.write(builder, field.wire_name, getattr(message, field.name))


def _make_struct_reader(cls: type) -> ValueReader:
    def read(reader: Any) -> Any:
        return cls(*[f.read(getattr(reader, f.wire_name)) for f in _field_codecs(cls)])

    return read


def _max_words_read(data: bytes) -> int:
    """Return how many words a reader of a message may follow."""
    return MIN_WORDS_READ + MAX_WORDS_READ_PER_WORD * (len(data) // WORD_BYTES)


def encode(schema: Any, message: Any) -> bytes:
    """Encode a dataclass as a struct with the same fields."""
    builder = schema.new_message()
    _write_fields(builder, message)
    return builder.to_bytes()


def decode(schema: Any, cls: type[MessageT], data: bytes) -> MessageT:
    """Decode a struct into a dataclass; raise ValueError on damaged bytes."""
    try:
        with schema.from_bytes(
            data, traversal_limit_in_words=_max_words_read(data)
        ) as reader:
            return _make_struct_reader(cls)(reader)
    except (capnp.KjException, UnicodeDecodeError) as error:
        raise ValueError(f"damaged message: {error}") from error


def _member_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


class UnionCodec:
    """Encode messages as the members of a struct's union, and decode them."""

    def __init__(self, schema: Any, classes: tuple[type, ...]):
        self._schema = schema
        self._names = {cls: _member_name(cls) for cls in classes}
        self._readers = {_member_name(cls): _make_struct_reader(cls) for cls in classes}

    def encode(self, message: Any) -> bytes:
        """Encode one message of the union."""
        builder = self._schema.new_message()
        _write_fields(builder.init(self._names[type(message)]), message)
        return builder.to_bytes()

    def decode(self, data: bytes) -> Any:
        """Decode one message of the union; raise ValueError on damaged bytes."""
        try:
            with self._schema.from_bytes(
                data, traversal_limit_in_words=_max_words_read(data)
            ) as reader:
                name = str(reader.which())
                return self._readers[name](getattr(reader, name))
        except (capnp.KjException, KeyError, UnicodeDecodeError) as error:
            raise ValueError(f"damaged message: {error}") from error
