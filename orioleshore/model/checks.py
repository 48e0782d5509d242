"""Validation of plain data that reports every invalid field."""

import types
import typing
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result


def convert(value: Any, expected_type: Any) -> Result[Any, list[str]]:
    """Convert plain data to a type, or return one line per invalid field.

    Each line has the path of the field and what was expected there.
    """
    try:
        return Ok(msgspec.convert(value, expected_type))
    except msgspec.ValidationError as error:
        # msgspec reports only the first error.
        return Err(find_problems(value, expected_type, '$') or [str(error)])


def find_problems(value: Any, expected_type: Any, path: str) -> list[str]:
    """Return one line for each invalid field of a value."""
    struct = get_struct_type(expected_type)
    if struct is not None and isinstance(value, dict):
        return _find_field_problems(value, struct, path)
    item = _get_item_type(expected_type)
    if item is not None and isinstance(value, list):
        problems = []
        for position, element in enumerate(value):
            problems += find_problems(element, item, f'{path}[{position}]')
        return problems
    return _check_leaf(value, expected_type, path)


def _find_field_problems(value: dict, struct: type, path: str) -> list[str]:
    problems = []
    fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
    for key in value:
        if key not in fields:
            expected = ', '.join(sorted(fields))
            problems.append(
                f'{path}.{key}: unknown key, expected one of: {expected}'
            )
    for name, field in fields.items():
        if name in value:
            problems += find_problems(
                value[name], field.type, f'{path}.{name}'
            )
        elif field.required:
            problems.append(f'{path}.{name}: required, but missing')
    return problems


def _check_leaf(value: Any, expected_type: Any, path: str) -> list[str]:
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        text, _, inner = str(error).partition(' - at `$')
        return [f'{path}{inner.rstrip("`")}: {text}']
    return []


def get_struct_type(expected_type: Any) -> type | None:
    """Return the struct in a type or union, None when there is none."""
    for candidate in _get_union_members(expected_type):
        if isinstance(candidate, type) and issubclass(
            candidate, msgspec.Struct
        ):
            return candidate
    return None


def _get_item_type(expected_type: Any) -> Any | None:
    for candidate in _get_union_members(expected_type):
        arguments = typing.get_args(candidate)
        if typing.get_origin(candidate) in (tuple, list) and arguments:
            return arguments[0]
    return None


def _get_union_members(expected_type: Any) -> tuple[Any, ...]:
    if typing.get_origin(expected_type) in (typing.Union, types.UnionType):
        return typing.get_args(expected_type)
    return (expected_type,)
