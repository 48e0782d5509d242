"""Entry point of the program ``orioleshore``."""

import sys

from cleo.application import Application

import orioleshore
from orioleshore.cli import commands
from orioleshore.cli import document_commands
from orioleshore.cli import member_commands


def create_application() -> Application:
    """Return the application with all commands."""
    application = Application('orioleshore', orioleshore.__version__)
    for command in (
        commands.RunCommand,
        commands.CheckCommand,
        document_commands.ValidateCommand,
        document_commands.DiffCommand,
        document_commands.ApplyCommand,
        document_commands.ShowCommand,
        commands.StatusCommand,
        commands.DumpCommand,
        commands.ExplainCommand,
        member_commands.MemberListCommand,
        member_commands.MemberAddCommand,
        member_commands.MemberRemoveCommand,
        member_commands.MemberReplaceCommand,
    ):
        application.add(command())
    return application


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(create_application().run())
