"""Commands that list and change the control members."""

from typing import Any

from cleo.helpers import argument
import msgspec
from result import Result

from orioleshore.cli import base
from orioleshore.model import errors


class MemberListCommand(base.RemoteCommand):
    """Lists the control members."""

    name = 'member list'
    description = 'Show the control members and the progress of their logs.'
    options = base.REMOTE_OPTIONS

    def execute_command(self) -> Result[Any, errors.Failure]:
        """Return leader, term and members."""
        return self.send_request('GET', '/v1/members')


class _ChangeMembersCommand(base.RemoteCommand):
    """Base class of commands that change the group of control members."""

    options = base.REMOTE_OPTIONS

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
