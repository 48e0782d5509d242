"""HTML of the console; forms are derived from the document types."""

import html
from typing import Any

import msgspec
from result import Result

from orioleshore.model import changes
from orioleshore.model import checks
from orioleshore.model import decoding
from orioleshore.model import errors


def render_page(title: str, body: str) -> str:
    """Return an HTML page; the title is escaped, ``body`` is not."""
    name = html.escape(title)
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f'<title>{name}</title>'
        '<style>body{font-family:sans-serif;margin:2em;max-width:70em}'
        'table{border-collapse:collapse}td,th{border:1px solid #999;'
        'padding:.3em .6em;text-align:left}label{display:block;margin:.6em 0}'
        '.error{color:#a00}</style></head>'
        f'<body><h1>{name}</h1>{body}</body></html>'
    )


def render_table(headings: list[str], rows: list[list[Any]]) -> str:
    """Return an HTML table with escaped cells."""
    head = ''.join(f'<th>{html.escape(text)}</th>' for text in headings)
    lines = [
        '<tr>'
        + ''.join(f'<td>{html.escape(str(cell))}</td>' for cell in row)
        + '</tr>'
        for row in rows
    ]
    return f'<table><tr>{head}</tr>{"".join(lines)}</table>'


def render_form(
    section: changes.Section,
    item: Any | None,
    hidden: dict[str, str],
) -> str:
    """Return a form for an item of a section, or for a new item."""
    fields = msgspec.structs.fields(changes.ITEM_TYPES[section])
    lines = [
        f'<input type="hidden" name="{html.escape(name)}" '
        f'value="{html.escape(value)}">'
        for name, value in hidden.items()
    ]
    for field in fields:
        value = _format_field_value(field, item)
        lines.append(
            f'<label>{html.escape(field.name)} '
            f'<input name="item.{html.escape(field.name)}" size="60" '
            f'value="{html.escape(value)}"></label>'
        )
    lines.append(
        '<button name="action" value="set">Save</button> '
        '<button name="action" value="remove">Remove</button>'
    )
    return f'<form method="post">{"".join(lines)}</form>'


def render_failure(failure: errors.Failure) -> str:
    """Return a failure as HTML, with its details as a list."""
    details = ''.join(
        f'<li>{html.escape(detail)}</li>' for detail in failure.details
    )
    return (
        f'<p class="error">{html.escape(failure.kind.value)}: '
        f'{html.escape(failure.message)}</p><ul>{details}</ul>'
    )


def parse_item(
    section: changes.Section, form: dict[str, str]
) -> Result[Any, list[str]]:
    """Return the item that the fields of a form describe.

    A field holds JSON, or plain text if it is not valid JSON; an empty field
    stands for the default.
    """
    content = {}
    for name, text in form.items():
        if name.startswith('item.') and text.strip():
            content[name.removeprefix('item.')] = _parse_value(text.strip())
    return checks.convert(content, changes.ITEM_TYPES[section])


def _parse_value(text: str) -> Any:
    try:
        return decoding.decode_plain_json(text)
    except decoding.DecodingError:
        return text


def _format_field_value(field: Any, item: Any | None) -> str:
    if item is None:
        if field.default is msgspec.NODEFAULT:
            return ''
        value = field.default
    else:
        value = getattr(item, field.name)
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode()
