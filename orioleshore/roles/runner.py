"""Runs a process in an aiomisc entry point with uvloop."""

import aiomisc
from result import Result

from orioleshore import settings
from orioleshore.model import errors
from orioleshore.roles import process
from orioleshore.tasks import shutdown
from orioleshore.telemetry import logs

# One thread syncs the log, the others look up names and write snapshots.
THREADS = 4


def run_process(config: settings.Settings) -> Result[None, errors.Failure]:
    """Run a process until it is stopped."""
    logs.configure(config.node, config.log_level)
    with aiomisc.entrypoint(
        pool_size=THREADS, log_config=False, catch_signals=()
    ) as loop:
        role_process = process.Process(config)
        outcome = loop.run_until_complete(role_process.start())
        if outcome.is_err():
            return outcome
        outcome = loop.run_until_complete(role_process.run())
        if outcome.is_err():
            shutdown.exit_after_failure(outcome.unwrap_err())
        return outcome
