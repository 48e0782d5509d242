"""Runs one role on the platform: ``python -m orioleshore.platform ROLE``."""

import importlib
import os
import sys

import aiomisc

from orioleshore.model import states
from orioleshore.platform import boot
from orioleshore.platform import process
from orioleshore.tasks import shutdown
from orioleshore.telemetry import logs

SETTINGS_VARIABLE = 'ORIOLESHORE_SETTINGS'
# One thread syncs the log, one writes snapshots.
THREADS = 2
# Only the module of the role that runs is imported: after a power loss, the
# processor time of start-up delays the moment at which a host serves again.
_ROLES = {
    states.Role.ENTRY: 'orioleshore.platform.entry_role',
    states.Role.CONTROL: 'orioleshore.platform.control_role',
}


def main(arguments: list[str]) -> int:
    """Run until the process is stopped and return the exit code."""
    role = states.Role(arguments[0])
    path = os.environ[SETTINGS_VARIABLE]
    outcome = boot.read_deployment(path, role)
    if outcome.is_err():
        failure = outcome.unwrap_err()
        sys.stderr.write(f'{failure.message}: {failure.details}\n')
        return failure.answer.exit_code
    deployment = outcome.unwrap()
    config = deployment.settings
    logs.configure(config.node, config.log_level)
    build = importlib.import_module(_ROLES[role]).build
    with aiomisc.entrypoint(
        pool_size=THREADS, log_config=False, catch_signals=()
    ) as loop:
        platform_process = process.PlatformProcess(path, role, build)
        run_outcome = loop.run_until_complete(platform_process.run(deployment))
        if run_outcome.is_err():
            shutdown.exit_after_failure(run_outcome.unwrap_err())
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
