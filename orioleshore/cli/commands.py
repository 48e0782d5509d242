"""Commands that run a process, check its settings and show its state."""

import pathlib
from typing import Any

from cleo.helpers import argument
from cleo.helpers import option
import msgspec
from result import Err
from result import Ok
from result import Result

from orioleshore import settings_file
from orioleshore.cli import base
from orioleshore.cli import output
from orioleshore.history import phrases
from orioleshore.history import story
from orioleshore.model import errors
from orioleshore.state import queries


class RunCommand(base.BaseCommand):
    """Runs one process until it is stopped."""

    name = 'run'
    description = 'Run a process with a settings file.'
    arguments = [argument('settings', 'YAML file with the settings.')]
    options = [base.JSON_OPTION]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Run until SIGTERM or SIGINT."""
        # Imported here, so that the other commands start without it.
        from orioleshore.roles import runner

        return settings_file.read_settings(self.argument('settings')).and_then(
            runner.run_process
        )


class CheckCommand(base.BaseCommand):
    """Checks a settings file."""

    name = 'check'
    description = 'Check a settings file, and show it with its defaults.'
    arguments = [argument('settings', 'YAML file with the settings.')]
    options = [base.JSON_OPTION]

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the settings with all defaults."""
        return settings_file.read_settings(self.argument('settings')).map(
            msgspec.to_builtins
        )


class StatusCommand(base.RemoteCommand):
    """Shows the state of the fleet."""

    name = 'status'
    description = (
        'Show leader, versions in force, budgets, waves, hosts and jobs.'
    )
    options = base.REMOTE_OPTIONS

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the status."""
        return self.send_request('GET', '/v1/status')

    def format_content(self, content: Any) -> str:
        """Return the status as text for people."""
        return output.format_status(content)


class DumpCommand(base.RemoteCommand):
    """Shows the state of the process at the URL."""

    name = 'dump'
    description = 'Dump the state of a process as JSON.'
    options = base.REMOTE_OPTIONS

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the dump."""
        return self.send_request('GET', '/v1/dump')

    def format_content(self, content: Any) -> str:
        """Return the dump as JSON."""
        return output.format_json(content)


class ExplainCommand(base.RemoteCommand):
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
        *base.REMOTE_OPTIONS,
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


def _refuse_usage(message: str) -> Err[errors.Failure]:
    return Err(errors.Failure(errors.ErrorKind.INVALID_REQUEST, message))
