"""Convert TOML tables to dataclasses and report every problem with its key."""

import dataclasses
import math
import re
import types
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from returns.result import Failure, Result, Success

from persimmonhall.address import Address, parse_address

T = TypeVar("T")

# The pattern of a longer key would take seconds to compile.
MAX_KEY_CHARS = 200
# Numbers up to this one are exact as floating point.
MAX_WHOLE_NUMBER = 1 << 53

TYPE_DESCRIPTIONS = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "true or false",
}


@dataclass(frozen=True)
class Problem:
    """Describe a problem with one key."""

    key: str
    line: int
    text: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f"line {self.line}: {self.key}: {self.text}"


def bounded(
    default: Any = dataclasses.MISSING,
    *,
    min_value: float | None = None,
    max_value: float | None = None,
    pattern: str | None = None,
) -> Any:
    """Return a dataclass field with bounds for its value, inclusive."""
    metadata = {"min_value": min_value, "max_value": max_value, "pattern": pattern}
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


class _TableReader:
    """Convert tables to dataclasses and collect the problems found."""

    def __init__(self, text: str):
        self._lines = text.splitlines()
        self.problems: list[Problem] = []

    def add_problem(self, path: tuple[str | int, ...], text: str) -> None:
        """Add a problem at a path of keys."""
        key = ".".join(str(part)[:MAX_KEY_CHARS] for part in path) or "(file)"
        self.problems.append(Problem(key, self._find_line(path), text))

    def _find_line(self, path: tuple[str | int, ...]) -> int:
        names = [part for part in path if isinstance(part, str)]
        positions = [part for part in path if isinstance(part, int)]
        if not names or not self._lines or max(map(len, names)) > MAX_KEY_CHARS:
            return 1
        start = self._find_header_line(names[:-1], positions[-1] if positions else 0)
        key = re.compile(rf"^\s*[\"']?{re.escape(names[-1])}[\"']?\s*=")
        header = re.compile(rf"^\s*\[+\s*{re.escape('.'.join(names))}\s*\]")
        for number, line in enumerate(self._lines[start:], start + 1):
            if key.match(line) or header.match(line):
                return number
        return start or 1

    def _find_header_line(self, names: list[str], occurrence: int) -> int:
        header = re.compile(rf"^\s*\[+\s*{re.escape('.'.join(names))}\s*\]")
        found = [n for n, line in enumerate(self._lines, 1) if header.match(line)]
        if not names or not found:
            return 0
        return found[min(occurrence, len(found) - 1)]

    def read(self, cls: type, table: dict, path: tuple = ()) -> Any:
        """Convert a table to a dataclass, or report problems and return None."""
        hints = get_type_hints(cls)
        fields = {field.name: field for field in dataclasses.fields(cls)}
        for name in table.keys() - fields.keys():
            known = ", ".join(sorted(fields))
            self.add_problem((*path, name), f"unknown key (known: {known})")
        values = {}
        before = len(self.problems)
        for name, field in fields.items():
            if name in table:
                values[name] = self._read_value(
                    hints[name], table[name], (*path, name), field.metadata
                )
            elif _is_required(field):
                self.add_problem((*path, name), "missing key")
        if len(self.problems) > before:
            return None
        return cls(**values)

    def _read_value(self, hint: Any, value: Any, path: tuple, metadata: Any) -> Any:
        if get_origin(hint) in (Union, types.UnionType):
            if value is None and type(None) in get_args(hint):
                return None
            hint = next(arg for arg in get_args(hint) if arg is not type(None))
        hint = getattr(hint, "__supertype__", hint)
        if get_origin(hint) is tuple:
            return self._read_items(get_args(hint)[0], value, path, metadata)
        if get_origin(hint) is dict:
            return self._read_mapping(get_args(hint)[1], value, path, metadata)
        if dataclasses.is_dataclass(hint) and hint is not Address:
            return self._read_table(hint, value, path)
        if hint is Address:
            return self._read_address(value, path)
        if isinstance(hint, type) and issubclass(hint, Enum):
            return self._read_choice(hint, value, path)
        return self._read_scalar(hint, value, path, metadata)

    def _read_items(self, hint: Any, value: Any, path: tuple, metadata: Any) -> tuple:
        if not isinstance(value, list):
            self.add_problem(path, "must be a list")
            return ()
        return tuple(
            self._read_value(hint, item, (*path, number), metadata)
            for number, item in enumerate(value)
        )

    def _read_mapping(self, hint: Any, value: Any, path: tuple, metadata: Any) -> dict:
        if not isinstance(value, dict):
            self.add_problem(path, "must be a table")
            return {}
        return {
            name: self._read_value(hint, item, (*path, name), metadata)
            for name, item in value.items()
        }

    def _read_table(self, hint: type, value: Any, path: tuple) -> Any:
        if not isinstance(value, dict):
            self.add_problem(path, "must be a table")
            return None
        return self.read(hint, value, path)

    def _read_address(self, value: Any, path: tuple) -> Address | None:
        if not isinstance(value, str):
            self.add_problem(path, "must be an address IP:PORT")
            return None
        match parse_address(value):
            case Success(address):
                return address
            case Failure(reason):
                self.add_problem(path, reason)
        return None

    def _read_choice(self, hint: type[Enum], value: Any, path: tuple) -> Enum | None:
        for member in hint:
            if member.value == value:
                return member
        known = ", ".join(str(member.value) for member in hint)
        self.add_problem(path, f"{value!r} is not one of: {known}")
        return None

    def _read_scalar(self, hint: type, value: Any, path: tuple, metadata: Any) -> Any:
        if hint is float and type(value) is int:
            if abs(value) > MAX_WHOLE_NUMBER:
                self.add_problem(path, "is too large")
                return None
            value = float(value)
        if type(value) is not hint:
            shown = "" if metadata.get("is_secret") else f", not {value!r}"
            self.add_problem(path, f"must be {TYPE_DESCRIPTIONS[hint]}{shown}")
            return None
        if hint is float and not math.isfinite(value):
            self.add_problem(path, f"must be a finite number, not {value}")
            return None
        min_value, max_value = metadata.get("min_value"), metadata.get("max_value")
        if min_value is not None and value < min_value:
            self.add_problem(path, f"must be at least {min_value}, not {value}")
        if max_value is not None and value > max_value:
            self.add_problem(path, f"must be at most {max_value}, not {value}")
        pattern = metadata.get("pattern")
        if pattern is not None and not re.fullmatch(pattern, value):
            self.add_problem(path, f"{value!r} does not match {pattern}")
        return value


def _is_required(field: dataclasses.Field) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def read_toml(cls: type[T], text: str) -> Result[T, tuple[Problem, ...]]:
    """Parse TOML text into a dataclass or return every problem found."""
    # Imported on first use: a node whose settings are JSON never needs it.
    import tomllib

    try:
        table = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        line = re.search(r"at line (\d+)", str(error))
        number = int(line.group(1)) if line else len(text.splitlines())
        return Failure((Problem("(file)", number, f"not valid TOML: {error}"),))
    return read_table(cls, table, text)


def read_table(
    cls: type[T], table: dict, text: str = ""
) -> Result[T, tuple[Problem, ...]]:
    """Convert a table to a dataclass or return every problem.

    `text` is the source of the table; it gives the line numbers of problems.
    """
    reader = _TableReader(text)
    value = reader.read(cls, table)
    if reader.problems:
        return Failure(tuple(sorted(reader.problems, key=lambda p: p.line)))
    return Success(value)
