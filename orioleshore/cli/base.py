"""What all commands share: options, output, exit codes and requests."""

import os
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from result import Err
from result import Result
import yaml

from orioleshore.cli import output
from orioleshore.cli import remote
from orioleshore.model import errors

URL_VARIABLE = 'ORIOLESHORE_URL'
TOKEN_VARIABLE = 'ORIOLESHORE_TOKEN_FILE'

JSON_OPTION = option('json', None, 'Write JSON.')
URL_OPTION = option(
    'url',
    None,
    f"Base URL of the operators' interface (or {URL_VARIABLE}).",
    flag=False,
)
TOKEN_OPTION = option(
    'token-file',
    None,
    f'File with the token of the operator (or {TOKEN_VARIABLE}).',
    flag=False,
)
REMOTE_OPTIONS = [URL_OPTION, TOKEN_OPTION, JSON_OPTION]


class BaseCommand(Command):
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
        return self.get_exit_code(content)

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return the content to print, None to print nothing."""
        raise NotImplementedError

    def get_exit_code(self, content: Any) -> int:
        """Return the exit code of a command that did not fail."""
        return 0

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


class RemoteCommand(BaseCommand):
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

    def send_open_request(
        self, method: str, path: str
    ) -> Result[Any, errors.Failure]:
        """Send a request without a token, to an address that asks for none."""
        url = self.option('url') or os.environ.get(URL_VARIABLE)
        if not url:
            return Err(
                errors.Failure(
                    errors.ErrorKind.INVALID_SETTINGS,
                    f'give --url, or set {URL_VARIABLE}',
                )
            )
        return remote.send_request(remote.Remote(url), method, path)
