"""Commands that check, compare, apply and show configurations."""

import time
from typing import Any
import uuid

from cleo.helpers import argument
from cleo.helpers import option
import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore.cli import base
from orioleshore.cli import files
from orioleshore.cli import output
from orioleshore.findings import differences
from orioleshore.frontends import submission
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import findings
from orioleshore.model import ids
from orioleshore.model import numbers
from orioleshore.state import operations

_FORM_OPTION = option(
    'format',
    None,
    'Form of the file: '
    + ' or '.join(form.value for form in files.Form)
    + ', the configuration of queues as the platform receives it.',
    flag=False,
    default=files.Form.DOCUMENT.value,
)


class ValidateCommand(base.BaseCommand):
    """Checks a file before it is sent; needs no running system."""

    name = 'validate'
    description = 'Check a document, or another configuration, in a file.'
    arguments = [argument('document', 'YAML or JSON file.')]
    options = [
        _FORM_OPTION,
        option('strict', None, 'Exit with 1 if there are only warnings.'),
        base.JSON_OPTION,
    ]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the number of entries of each section, and all findings."""
        report = _read_file(self).map(files.check)
        if report.is_err():
            return report
        found = report.unwrap()
        if not found.is_valid and not self.option('json'):
            return _refuse_report(found)
        return Ok(
            {
                'valid': found.is_valid,
                'items': found.items,
                'findings': [_describe_finding(f) for f in found.findings],
            }
        )

    def get_exit_code(self, content: Any) -> int:
        """Return 2 for errors, and with --strict 1 for warnings."""
        if not content['valid']:
            return errors.EXIT_INVALID
        if content['findings'] and self.option('strict'):
            return errors.EXIT_REFUSED
        return 0

    def format_content(self, content: Any) -> str:
        """Return the report as text for people."""
        return output.format_report(content)


class DiffCommand(base.RemoteCommand):
    """Compares a file with what is in force."""

    name = 'diff'
    description = 'Show what sending a file would change.'
    arguments = [argument('document', 'YAML or JSON file.')]
    options = [
        _FORM_OPTION,
        option(
            'against',
            None,
            'Compare with this file instead of the version in force.',
            flag=False,
        ),
        *base.REMOTE_OPTIONS,
    ]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return one entry for each item that differs."""
        read = _read_file(self)
        if read.is_err():
            return read
        report = files.check(read.unwrap())
        if not report.is_valid:
            return _refuse_report(report)
        return (
            self._read_in_force(read.unwrap())
            .and_then(lambda shown: files.compare(read.unwrap(), shown))
            .map(_describe_comparison)
        )

    def format_content(self, content: Any) -> str:
        """Return the differences as text for people."""
        return output.format_comparison(content)

    def _read_in_force(self, file: files.File) -> Result[Any, errors.Failure]:
        if self.option('against'):
            return files.read_file(
                self.option('against'), files.Form(self.option('format'))
            ).and_then(files.read_in_force)
        path = files.get_path_in_force(file)
        if isinstance(file, files.DocumentFile):
            return self.send_request('GET', path)
        return self.send_open_request('GET', path)


class ApplyCommand(base.RemoteCommand):
    """Puts a document in force."""

    name = 'apply'
    description = 'Apply a document file as the next version.'
    arguments = [argument('document', 'YAML or JSON file.')]
    options = [
        option(
            'base-version',
            None,
            'Version that the file is based on; default: the one in force.',
            flag=False,
        ),
        option(
            'operation-id',
            None,
            'Id of this change; give the same one to repeat a change whose '
            'answer was lost.',
            flag=False,
        ),
        *base.REMOTE_OPTIONS,
    ]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the new version and the operation id."""
        document = _read_document(self.argument('document'))
        if document.is_err():
            return document
        base_version = self._get_base_version()
        if base_version.is_err():
            return base_version
        operation_id = self.option(
            'operation-id'
        ) or operations.generate_operation_id(
            ids.WallTime(time.time()), uuid.uuid4().hex
        )
        self.line_error(f'operation id {operation_id}')
        body = msgspec.json.encode(
            {
                'base_version': base_version.unwrap(),
                'operation_id': operation_id,
                'document': document.unwrap(),
            }
        ).decode()
        answer = self.send_request('POST', '/v1/document', body)
        return answer.map(
            lambda content: {**content, 'operation_id': operation_id}
        )

    def _get_base_version(self) -> Result[int, errors.Failure]:
        text = self.option('base-version')
        if text is None:
            return self.send_request('GET', '/v1/document').map(
                lambda content: content['version']
            )
        number = numbers.parse_count(text)
        if number is None:
            return Err(
                errors.Failure(
                    errors.ErrorKind.INVALID_REQUEST,
                    f'--base-version: expected a number, got {text!r}',
                )
            )
        return Ok(number)


class ShowCommand(base.RemoteCommand):
    """Shows the document in force."""

    name = 'show'
    description = 'Show the document in force.'
    options = base.REMOTE_OPTIONS

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return version and document."""
        return self.send_request('GET', '/v1/document')


def _read_file(command: base.BaseCommand) -> Result[files.File, Any]:
    """Return the file that a command names, in the form that it names."""
    try:
        form = files.Form(command.option('format'))
    except ValueError:
        return Err(
            errors.Failure(
                errors.ErrorKind.INVALID_REQUEST,
                f'--format: unknown form {command.option("format")!r}',
            )
        )
    return files.read_file(command.argument('document'), form)


def _read_document(path: str) -> Result[documents.Document, errors.Failure]:
    return (
        files.read_file(path, files.Form.DOCUMENT)
        .and_then(files.parse_document)
        .and_then(submission.check_document)
    )


def _refuse_report(report: files.Report) -> Err[errors.Failure]:
    return Err(
        errors.Failure(
            errors.ErrorKind.INVALID_DOCUMENT,
            'the file is not valid',
            tuple(
                output.format_finding(_describe_finding(finding))
                for finding in report.findings
            ),
        )
    )


def _describe_finding(finding: findings.Finding) -> dict[str, str]:
    return {
        'severity': finding.severity.value,
        'kind': finding.kind.value,
        'place': finding.place,
        'reason': finding.reason,
        'remedy': finding.remedy,
    }


def _describe_comparison(found: differences.Comparison) -> dict[str, Any]:
    return {
        'version': found.version,
        'edits': list(found.edits),
        'differences': msgspec.to_builtins(found.differences),
        'findings': [_describe_finding(f) for f in found.warnings],
    }
