"""Turn typed messages into Cap'n Proto bytes and back."""

import dataclasses
from enum import Enum
from functools import cache
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import capnp

capnp.remove_import_hook()

M = TypeVar("M")

PACKAGE = Path(__file__).parents[1]
MAX_WORDS = 16 * 1024 * 1024


def load_schema(path: Path) -> Any:
    """Load a schema file; it imports others as "/slice/file.capnp"."""
    return capnp.load(str(path), imports=[str(PACKAGE)])


@cache
def _camel(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


@cache
def _fields(cls: type) -> tuple[tuple[str, str, Any], ...]:
    hints = get_type_hints(cls)
    return tuple(
        (f.name, _camel(f.name), hints[f.name]) for f in dataclasses.fields(cls)
    )


def _to_wire(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if dataclasses.is_dataclass(value):
        return {
            wire: _to_wire(getattr(value, name))
            for name, wire, _ in _fields(type(value))
        }
    if isinstance(value, (tuple, list)):
        return [_to_wire(item) for item in value]
    return value


def _from_wire(hint: Any, value: Any) -> Any:
    hint = getattr(hint, "__supertype__", hint)
    if get_origin(hint) is tuple:
        item = get_args(hint)[0]
        return tuple(_from_wire(item, v) for v in value)
    if dataclasses.is_dataclass(hint):
        return hint(
            **{
                name: _from_wire(inner, value[wire])
                for name, wire, inner in _fields(hint)
                if wire in value
            }
        )
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint(value)
    return value


def encode(struct: Any, message: Any) -> bytes:
    """Encode a dataclass as the struct of the same fields."""
    return struct.new_message(**_to_wire(message)).to_bytes()


def decode(struct: Any, cls: type[M], data: bytes) -> M:
    """Decode a struct into its dataclass; raise ValueError on damaged bytes."""
    try:
        with struct.from_bytes(data, traversal_limit_in_words=MAX_WORDS) as reader:
            return _from_wire(cls, reader.to_dict(verbose=True))
    except (capnp.KjException, KeyError, TypeError) as error:
        raise ValueError(f"damaged message: {error}") from error


def _field_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


class Union:
    """Encode messages as the fields of one struct's union."""

    def __init__(self, struct: Any, classes: tuple[type, ...]):
        self._struct = struct
        self._names = {
            cls: cls.__name__[0].lower() + cls.__name__[1:] for cls in classes
        }
        self._classes = {name: cls for cls, name in self._names.items()}

    def encode(self, message: Any) -> bytes:
        """Encode one message of the union."""
        name = self._names[type(message)]
        return self._struct.new_message(**{name: _to_wire(message)}).to_bytes()

    def decode(self, data: bytes) -> Any:
        """Decode one message of the union; raise ValueError on damaged bytes."""
        try:
            with self._struct.from_bytes(
                data, traversal_limit_in_words=MAX_WORDS
            ) as reader:
                name = str(reader.which())
                value = getattr(reader, name).to_dict(verbose=True)
                return _from_wire(self._classes[name], value)
        except (capnp.KjException, KeyError, TypeError) as error:
            raise ValueError(f"damaged message: {error}") from error
