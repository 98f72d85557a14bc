"""Encode dataclass messages as Cap'n Proto bytes and decode them."""

import dataclasses
from collections.abc import Callable
from enum import Enum
from functools import cache
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import capnp

capnp.remove_import_hook()

M = TypeVar("M")
Writer = Callable[[Any, str, Any], None]
Reader = Callable[[Any], Any]

PACKAGE = Path(__file__).parents[1]
MAX_WORDS = 16 * 1024 * 1024


def load_schema(path: Path) -> Any:
    """Load a schema file; it imports others as "/package/file.capnp"."""
    return capnp.load(str(path), imports=[str(PACKAGE)])


@dataclasses.dataclass(frozen=True)
class _Field:
    """Encode and decode one field of a message."""

    name: str
    wire: str
    write: Writer
    read: Reader


def _camel(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


@cache
def _fields(cls: type) -> tuple[_Field, ...]:
    hints = get_type_hints(cls)
    names = [field.name for field in dataclasses.fields(cls)]
    return tuple(_make_field(name, hints[name]) for name in names)


def _make_field(name: str, hint: Any) -> _Field:
    hint = getattr(hint, "__supertype__", hint)
    if get_origin(hint) is tuple:
        write, read = _list_codec(get_args(hint)[0])
    elif dataclasses.is_dataclass(hint):
        write, read = _write_struct, _struct_reader(hint)
    elif isinstance(hint, type) and issubclass(hint, Enum):
        write, read = _write_enum, hint
    else:
        write, read = setattr, _keep
    return _Field(name, _camel(name), write, read)


def _list_codec(item: Any) -> tuple[Writer, Reader]:
    item = getattr(item, "__supertype__", item)
    if dataclasses.is_dataclass(item):
        read = _struct_reader(item)
        return _write_structs, lambda values: tuple([read(v) for v in values])
    if isinstance(item, type) and issubclass(item, Enum):
        return _write_enums, lambda values: tuple([item(v) for v in values])
    return _write_scalars, tuple


def _keep(value: Any) -> Any:
    return value


def _write_enum(builder: Any, wire: str, value: Enum) -> None:
    setattr(builder, wire, value.value)


def _write_struct(builder: Any, wire: str, value: Any) -> None:
    _fill(builder.init(wire), value)


def _write_structs(builder: Any, wire: str, values: tuple) -> None:
    items = builder.init(wire, len(values))
    for number, value in enumerate(values):
        _fill(items[number], value)


def _write_enums(builder: Any, wire: str, values: tuple) -> None:
    _write_scalars(builder, wire, tuple(value.value for value in values))


def _write_scalars(builder: Any, wire: str, values: tuple) -> None:
    items = builder.init(wire, len(values))
    for number, value in enumerate(values):
        items[number] = value


def _fill(builder: Any, message: Any) -> None:
    for field in _fields(type(message)):
        field.write(builder, field.wire, getattr(message, field.name))


def _struct_reader(cls: type) -> Reader:
    def read(reader: Any) -> Any:
        return cls(*[f.read(getattr(reader, f.wire)) for f in _fields(cls)])

    return read


def encode(struct: Any, message: Any) -> bytes:
    """Encode a dataclass as a struct with the same fields."""
    builder = struct.new_message()
    _fill(builder, message)
    return builder.to_bytes()


def decode(struct: Any, cls: type[M], data: bytes) -> M:
    """Decode a struct into a dataclass; raise ValueError on damaged bytes."""
    try:
        with struct.from_bytes(data, traversal_limit_in_words=MAX_WORDS) as reader:
            return _struct_reader(cls)(reader)
    except (capnp.KjException, UnicodeDecodeError) as error:
        raise ValueError(f"damaged message: {error}") from error


def _field_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


class Union:
    """Encode messages as the members of a struct's union, and decode them."""

    def __init__(self, struct: Any, classes: tuple[type, ...]):
        self._struct = struct
        self._names = {cls: _field_name(cls) for cls in classes}
        self._readers = {_field_name(cls): _struct_reader(cls) for cls in classes}

    def encode(self, message: Any) -> bytes:
        """Encode one message of the union."""
        builder = self._struct.new_message()
        _fill(builder.init(self._names[type(message)]), message)
        return builder.to_bytes()

    def decode(self, data: bytes) -> Any:
        """Decode one message of the union; raise ValueError on damaged bytes."""
        try:
            with self._struct.from_bytes(
                data, traversal_limit_in_words=MAX_WORDS
            ) as reader:
                name = str(reader.which())
                return self._readers[name](getattr(reader, name))
        except (capnp.KjException, KeyError, UnicodeDecodeError) as error:
            raise ValueError(f"damaged message: {error}") from error
