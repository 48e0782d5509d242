"""Files that operators check before they send them, by their form."""

import enum
import functools
import pathlib
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.findings import differences
from orioleshore.findings import document_warnings
from orioleshore.frontends import submission
from orioleshore.model import changes
from orioleshore.model import decoding
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import findings


class Form(enum.Enum):
    """Form of a file."""

    DOCUMENT = 'document'
    PLATFORM = 'platform'


class DocumentFile(msgspec.Struct, frozen=True):
    """A document of this system, as YAML or JSON."""

    body: bytes


class PlatformFile(msgspec.Struct, frozen=True):
    """A configuration of queues, as the platform's operator sends it."""

    body: bytes


File = DocumentFile | PlatformFile

_Compared = Result[differences.Comparison, errors.Failure]

_FILE_TYPES = {Form.DOCUMENT: DocumentFile, Form.PLATFORM: PlatformFile}


class Report(msgspec.Struct, frozen=True):
    """Number of entries by section, and what was found."""

    items: dict[str, int]
    findings: tuple[findings.Finding, ...]

    @property
    def is_valid(self) -> bool:
        return not findings.has_errors(self.findings)


def read_file(path: str, form: Form) -> Result[File, errors.Failure]:
    """Return the file at a path; fails with INVALID_DOCUMENT."""
    try:
        body = pathlib.Path(path).read_bytes()
    except OSError as error:
        return _refuse_file(f'{path!r} cannot be read: {error}')
    return Ok(_FILE_TYPES[form](body))


@functools.singledispatch
def check(file: File) -> Report:
    """Return what is wrong with a file, as its receiver sees it."""
    raise TypeError(f'unknown file {type(file).__name__}')


@check.register
def _(file: DocumentFile) -> Report:
    content = parse_document(file)
    if content.is_err():
        failure = content.unwrap_err()
        text = '; '.join([failure.message, *failure.details])
        return Report(
            {}, (findings.Finding(findings.Kind.UNREADABLE, '$', text),)
        )
    outcome = submission.inspect_document(content.unwrap())
    if outcome.is_err():
        return Report({}, tuple(outcome.unwrap_err()))
    document = outcome.unwrap()
    counts = {
        section.value: len(changes.get_items(document, section))
        for section in changes.Section
    }
    return Report(counts, tuple(document_warnings.find_warnings(document)))


@check.register
def _(file: PlatformFile) -> Report:
    # Imported here, since other commands need no adapter to the platform.
    from orioleshore.platform import checking

    found = tuple(checking.find_findings(file.body))
    if findings.has_errors(found):
        return Report({}, found)
    return Report(checking.count_entries(file.body), found)


@functools.singledispatch
def get_path_in_force(file: File) -> str:
    """Return the path at which a running system shows what is in force."""
    raise TypeError(f'unknown file {type(file).__name__}')


@get_path_in_force.register
def _(file: DocumentFile) -> str:
    return '/v1/document'


@get_path_in_force.register
def _(file: PlatformFile) -> str:
    from orioleshore.platform import checking

    return checking.PATH_IN_FORCE


@functools.singledispatch
def read_in_force(file: File) -> Result[Any, errors.Failure]:
    """Return a file as a running system would show it if it were in force.

    Fails with INVALID_DOCUMENT.
    """
    raise TypeError(f'unknown file {type(file).__name__}')


@read_in_force.register
def _(file: DocumentFile) -> Result[Any, errors.Failure]:
    return parse_document(file).map(
        lambda content: {'version': None, 'document': content}
    )


@read_in_force.register
def _(file: PlatformFile) -> Result[Any, errors.Failure]:
    try:
        return Ok(decoding.decode_plain_json(file.body))
    except decoding.DecodingError as error:
        return _refuse_file(f'the configuration cannot be read: {error}')


@functools.singledispatch
def compare(file: File, in_force: Any) -> _Compared:
    """Return what sending a valid file would change.

    ``in_force`` is what a running system shows. Fails with INVALID_DOCUMENT
    if it cannot be read.
    """
    raise TypeError(f'unknown file {type(file).__name__}')


@compare.register
def _(file: DocumentFile, in_force: Any) -> _Compared:
    documents_read = parse_document(file).and_then(
        lambda content: submission.check_document(in_force['document']).map(
            lambda old: (old, msgspec.convert(content, documents.Document))
        )
    )
    if documents_read.is_err():
        return documents_read
    old, new = documents_read.unwrap()
    edits = changes.get_delta(old, new)
    found = differences.find_differences(
        msgspec.to_builtins(old), msgspec.to_builtins(new)
    )
    return Ok(
        differences.Comparison(
            in_force['version'],
            tuple(found),
            edits=tuple(changes.describe_edit(edit) for edit in edits),
        )
    )


@compare.register
def _(file: PlatformFile, in_force: Any) -> _Compared:
    from orioleshore.platform import checking

    new = read_in_force(file)
    if new.is_err():
        return new
    if not isinstance(in_force, dict):
        return _refuse_file('the configuration in force cannot be read')
    return Ok(checking.compare(in_force, new.unwrap()))


def parse_document(file: DocumentFile) -> Result[Any, errors.Failure]:
    """Return the plain data of a document; fails with INVALID_DOCUMENT."""
    try:
        text = file.body.decode()
    except UnicodeDecodeError as error:
        return _refuse_file(f'the text is not UTF-8: {error}')
    return submission.parse_text(text)


def _refuse_file(message: str) -> Err[errors.Failure]:
    return Err(errors.Failure(errors.ErrorKind.INVALID_DOCUMENT, message))
