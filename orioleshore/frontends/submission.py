"""Parses and checks documents that operators submit."""

from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result
import yaml

from orioleshore.frontends import forms
from orioleshore.model import changes
from orioleshore.model import checks
from orioleshore.model import decoding
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import findings
from orioleshore.model import ids
from orioleshore.state import commands

# The C loader is faster, but not every build of the library has it.
_YAML_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


class _DocumentAnswer(msgspec.Struct):
    version: ids.Version
    document: documents.Document


_DOCUMENT_DECODER = decoding.make_json_decoder(
    _DocumentAnswer, decoding.UNLIMITED_BYTES
)


def parse_text(text: str) -> Result[Any, errors.Failure]:
    """Return the data of a YAML or JSON text."""
    try:
        # JSON is also valid YAML, but for 19,000 hosts the C loader of YAML
        # takes 1.8 s and the JSON decoder 28 ms.
        return Ok(decoding.decode_plain_json(text))
    except decoding.DecodingError:
        return _parse_yaml(text)


def _parse_yaml(text: str) -> Result[Any, errors.Failure]:
    try:
        content = yaml.load(text, Loader=_YAML_LOADER)
        decoding.check_depth(content)
        return Ok(content)
    except (yaml.YAMLError, *decoding.DATA_ERRORS) as error:
        return _make_error('the text is neither YAML nor JSON', [str(error)])


def check_request(
    content: Any,
) -> Result[documents.ChangeRequest, errors.Failure]:
    """Check a change request and its whole document.

    Fails with ``INVALID_DOCUMENT``.
    """
    outcome = checks.convert(content, documents.ChangeRequest)
    if outcome.is_err():
        return _make_error('the document is not valid', outcome.unwrap_err())
    request = outcome.unwrap()
    problems = documents.find_inconsistencies(request.document)
    if problems:
        return _make_error(
            'the document is not valid',
            [problem.replace('$.', '$.document.', 1) for problem in problems],
        )
    return Ok(request)


def make_command(
    request: documents.ChangeRequest,
    current: documents.Document,
    operator: str,
    now: ids.WallTime,
) -> commands.ChangeDocument:
    """Return the command that replaces the current document."""
    return commands.ChangeDocument(
        time=now,
        operation_id=ids.OperationId(request.operation_id),
        operator=operator,
        base_version=ids.Version(request.base_version),
        edits=changes.get_delta(current, request.document),
    )


def read_document(
    answer: bytes,
) -> tuple[ids.Version, documents.Document]:
    """Return the version and the document of a reply to ``GetDocument``."""
    content = _DOCUMENT_DECODER.decode(answer)
    return content.version, content.document


def _make_error(message: str, problems: list[str]) -> Err[errors.Failure]:
    return Err(
        errors.Failure(
            errors.ErrorKind.INVALID_DOCUMENT, message, tuple(problems)
        )
    )


def edit_document(
    document: documents.Document,
    section: changes.Section,
    form: dict[str, str],
) -> Result[documents.Document, errors.Failure]:
    """Return the document with the edit of a form applied.

    Fails with ``INVALID_DOCUMENT`` when the fields are not a valid item.
    """
    name = form.get('item.name', changes.POLICY_NAME)
    value = None
    if form.get('action') != 'remove':
        outcome = forms.parse_item(section, form)
        if outcome.is_err():
            return _make_error('the form is not valid', outcome.unwrap_err())
        value = changes.encode_item(outcome.unwrap())
    edit = changes.Edit(section, name, value)
    return Ok(changes.apply_delta(document, (edit,)))


def check_document(
    content: Any,
) -> Result[documents.Document, errors.Failure]:
    """Check a document without a base version.

    Fails with ``INVALID_DOCUMENT``.
    """
    outcome = inspect_document(content)
    if outcome.is_ok():
        return outcome
    return _make_error(
        'the document is not valid',
        [
            f'{finding.place}: {finding.reason}'
            for finding in outcome.unwrap_err()
        ],
    )


def inspect_document(
    content: Any,
) -> Result[documents.Document, list[findings.Finding]]:
    """Return a document, or all the errors for which it is refused."""
    outcome = checks.convert(content, documents.Document)
    if outcome.is_err():
        return Err([_make_field_error(line) for line in outcome.unwrap_err()])
    problems = documents.find_errors(outcome.unwrap())
    return Err(problems) if problems else Ok(outcome.unwrap())


def _make_field_error(line: str) -> findings.Finding:
    place, separator, reason = line.partition(': ')
    if not separator:
        place, reason = '$', line
    return findings.Finding(findings.Kind.INVALID_FIELD, place, reason)
