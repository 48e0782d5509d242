"""Commands of the command line."""

import os
import pathlib
import time
from typing import Any
import uuid

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option
import msgspec
from result import Err
from result import Ok
from result import Result
import yaml

from orioleshore import settings_file
from orioleshore.cli import output
from orioleshore.cli import remote
from orioleshore.frontends import submission
from orioleshore.history import phrases
from orioleshore.history import story
from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import numbers
from orioleshore.state import operations
from orioleshore.state import queries

URL_VARIABLE = 'ORIOLESHORE_URL'
TOKEN_VARIABLE = 'ORIOLESHORE_TOKEN_FILE'

_JSON_OPTION = option('json', None, 'Write JSON.')
_URL_OPTION = option(
    'url',
    None,
    f"Base URL of the operators' interface (or {URL_VARIABLE}).",
    flag=False,
)
_TOKEN_OPTION = option(
    'token-file',
    None,
    f'File with the token of the operator (or {TOKEN_VARIABLE}).',
    flag=False,
)
_REMOTE_OPTIONS = [_URL_OPTION, _TOKEN_OPTION, _JSON_OPTION]


class _BaseCommand(Command):
    """Prints the result, or a failure and sets its exit code."""

    def handle(self) -> int:
        """Run the command and return the exit code."""
        outcome = self.execute_command()
        if outcome.is_err():
            failure = outcome.unwrap_err()
            self.line_error(output.format_failure(failure))
            return failure.answer.exit_code
        content = outcome.unwrap()
        if content is not None:
            self._write_content(content)
        return 0

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the content to print, None to print nothing."""
        raise NotImplementedError

    def format_content(self, content: Any) -> str:
        """Return the content as text for people."""
        return yaml.safe_dump(content, sort_keys=False).rstrip()

    def _write_content(self, content: Any) -> None:
        text = (
            output.format_json(content)
            if self.option('json')
            else self.format_content(content)
        )
        # Raw output, because cleo would interpret "<" as markup.
        self.io.output.write_line(text, type=self._raw_type)

    @property
    def _raw_type(self):
        from cleo.io.outputs.output import Type

        return Type.RAW


class _RemoteCommand(_BaseCommand):
    """Sends requests to the operators' interface of a running system."""

    def send_request(
        self, method: str, path: str, body: str | None = None
    ) -> Result[Any, errors.Failure]:
        """Send a request and return the decoded answer."""
        url = self.option('url') or os.environ.get(URL_VARIABLE)
        token_file = self.option('token-file') or os.environ.get(
            TOKEN_VARIABLE
        )
        if not url or not token_file:
            return Err(
                errors.Failure(
                    errors.ErrorKind.INVALID_SETTINGS,
                    'give --url and --token-file, or set '
                    f'{URL_VARIABLE} and {TOKEN_VARIABLE}',
                )
            )
        return remote.read_token(token_file).and_then(
            lambda token: remote.send_request(
                remote.Remote(url, token), method, path, body
            )
        )


class RunCommand(_BaseCommand):
    """Runs one process until it is stopped."""

    name = 'run'
    description = 'Run a process with a settings file.'
    arguments = [argument('settings', 'YAML file with the settings.')]
    options = [_JSON_OPTION]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Run until SIGTERM or SIGINT."""
        # Imported here, so that the other commands start without it.
        from orioleshore.roles import runner

        return settings_file.read_settings(self.argument('settings')).and_then(
            runner.run_process
        )


class CheckCommand(_BaseCommand):
    """Checks a settings file."""

    name = 'check'
    description = 'Check a settings file, and show it with its defaults.'
    arguments = [argument('settings', 'YAML file with the settings.')]
    options = [_JSON_OPTION]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the settings with all defaults."""
        return settings_file.read_settings(self.argument('settings')).map(
            msgspec.to_builtins
        )


class ValidateCommand(_BaseCommand):
    """Checks a document file; needs no running system."""

    name = 'validate'
    description = 'Check a document file.'
    arguments = [argument('document', 'YAML or JSON file.')]
    options = [_JSON_OPTION]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the number of items in each section of the document."""
        return _read_document(self.argument('document')).map(_count_items)


class DiffCommand(_RemoteCommand):
    """Compares a document file with the document in force."""

    name = 'diff'
    description = 'Show what applying a document file would change.'
    arguments = [argument('document', 'YAML or JSON file.')]
    options = _REMOTE_OPTIONS

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return one line for each changed item."""
        document = _read_document(self.argument('document'))
        if document.is_err():
            return document
        answer = self.send_request('GET', '/v1/document')
        if answer.is_err():
            return answer
        current = msgspec.convert(
            answer.unwrap()['document'], documents.Document
        )
        delta = changes.get_delta(current, document.unwrap())
        return Ok(
            {
                'version': answer.unwrap()['version'],
                'edits': [changes.describe_edit(edit) for edit in delta],
            }
        )


class ApplyCommand(_RemoteCommand):
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
        *_REMOTE_OPTIONS,
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


class ShowCommand(_RemoteCommand):
    """Shows the document in force."""

    name = 'show'
    description = 'Show the document in force.'
    options = _REMOTE_OPTIONS

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return version and document."""
        return self.send_request('GET', '/v1/document')


class StatusCommand(_RemoteCommand):
    """Shows the state of the fleet."""

    name = 'status'
    description = (
        'Show leader, versions in force, budgets, waves, hosts and jobs.'
    )
    options = _REMOTE_OPTIONS

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the status."""
        return self.send_request('GET', '/v1/status')

    def format_content(self, content: Any) -> str:
        """Return the status as text for people."""
        return output.format_status(content)


class DumpCommand(_RemoteCommand):
    """Shows the state of the process at the URL."""

    name = 'dump'
    description = 'Dump the state of a process as JSON.'
    options = _REMOTE_OPTIONS

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the dump."""
        return self.send_request('GET', '/v1/dump')

    def format_content(self, content: Any) -> str:
        """Return the dump as JSON."""
        return output.format_json(content)


class ExplainCommand(_RemoteCommand):
    """Shows why an item has its state: from a process, or from log files."""

    name = 'explain'
    description = 'Explain an item from the running system or its log files.'
    arguments = [
        argument(
            'kind',
            'One of: '
            + ', '.join(kind.value for kind in queries.SubjectKind)
            + '; with --log one of: '
            + ', '.join(kind.value for kind in story.Subject),
        ),
        argument('name', 'Its name, or the key of a request.'),
    ]
    options = [
        *_REMOTE_OPTIONS,
        option(
            'log',
            None,
            'Log file of a process; may be given several times.',
            flag=False,
            multiple=True,
        ),
    ]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return records and decisions about the subject."""
        if self.option('log'):
            return self._read_story()
        return self.send_request(
            'GET',
            f'/v1/explain/{self.argument("kind")}/{self.argument("name")}',
        )

    def format_content(self, content: Any) -> str:
        """Return the explanation as text for people."""
        if 'summary' in content:
            return output.format_story(content)
        return output.format_explanation(content)

    def _read_story(self) -> Result[Any, errors.Failure]:
        kind = self.argument('kind')
        try:
            subject = story.Subject(kind)
        except ValueError:
            return _refuse_usage(f'{kind!r} has no story in log files')
        paths = [pathlib.Path(path) for path in self.option('log')]
        try:
            told = story.tell(subject, self.argument('name'), paths)
        except OSError as error:
            return _refuse_usage(str(error))
        return Ok(
            {
                'summary': told.summary,
                'lines': [
                    {
                        'time': line.time,
                        'node': line.node,
                        'event': line.event,
                        'is_context': is_context,
                        'text': phrases.describe(line),
                        'pairs': line.pairs,
                    }
                    for line, is_context in story.merge(told)
                ],
            }
        )


class MemberListCommand(_RemoteCommand):
    """Lists the control members."""

    name = 'member list'
    description = 'Show the control members and the progress of their logs.'
    options = _REMOTE_OPTIONS

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return leader, term and members."""
        return self.send_request('GET', '/v1/members')


class _ChangeMembersCommand(_RemoteCommand):
    """Base class of commands that change the group of control members."""

    options = _REMOTE_OPTIONS

    def send_change(self, **fields: str) -> Result[Any, errors.Failure]:
        """Send one change and return the answer of the leader."""
        body = msgspec.json.encode(fields).decode()
        return self.send_request('POST', '/v1/members', body)


class MemberAddCommand(_ChangeMembersCommand):
    """Adds a control member."""

    name = 'member add'
    description = 'Add a control member; it votes once its log has caught up.'
    arguments = [
        argument('node', 'Its name.'),
        argument('address', 'Its inner address, "IP:port".'),
    ]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the answer of the leader."""
        return self.send_change(
            add=self.argument('node'), address=self.argument('address')
        )


class MemberRemoveCommand(_ChangeMembersCommand):
    """Removes a control member."""

    name = 'member remove'
    description = 'Remove a control member.'
    arguments = [argument('node', 'Its name.')]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the answer of the leader."""
        return self.send_change(remove=self.argument('node'))


class MemberReplaceCommand(_ChangeMembersCommand):
    """Replaces a control member that will not return."""

    name = 'member replace'
    description = 'Replace a control member that will not return.'
    arguments = [
        argument('old', 'Name of the member to remove.'),
        argument('node', 'Name of the new one; may be the same.'),
        argument('address', 'Its inner address, "IP:port".'),
    ]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the answer of the leader."""
        return self.send_change(
            remove=self.argument('old'),
            add=self.argument('node'),
            address=self.argument('address'),
        )


def _refuse_usage(message: str) -> Err[errors.Failure]:
    return Err(errors.Failure(errors.ErrorKind.INVALID_REQUEST, message))


def _read_document(path: str) -> Result[documents.Document, errors.Failure]:
    """Read a file with a document or with a change that contains one."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Err(
            errors.Failure(
                errors.ErrorKind.INVALID_DOCUMENT,
                f'{path!r} cannot be read: {error}',
            )
        )
    return submission.parse_text(text).and_then(submission.check_document)


def _count_items(document: documents.Document) -> dict[str, Any]:
    counts = {
        section.value: len(changes.get_items(document, section))
        for section in changes.Section
    }
    return {'valid': True, 'items': counts}
