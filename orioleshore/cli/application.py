"""Entry point of the program ``orioleshore``."""

import sys

from cleo.application import Application

import orioleshore
from orioleshore.cli import commands


def create_application() -> Application:
    """Return the application with all commands."""
    application = Application('orioleshore', orioleshore.__version__)
    for command in (
        commands.RunCommand,
        commands.CheckCommand,
        commands.ValidateCommand,
        commands.DiffCommand,
        commands.ApplyCommand,
        commands.ShowCommand,
        commands.StatusCommand,
        commands.DumpCommand,
        commands.ExplainCommand,
        commands.MemberListCommand,
        commands.MemberAddCommand,
        commands.MemberRemoveCommand,
        commands.MemberReplaceCommand,
    ):
        application.add(command())
    return application


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(create_application().run())
