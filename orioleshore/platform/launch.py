"""Runs the process of a role in an aiomisc entry point with uvloop."""

import importlib

import aiomisc

from orioleshore.model import states
from orioleshore.platform import boot
from orioleshore.platform import process
from orioleshore.tasks import shutdown
from orioleshore.telemetry import logs

# One thread syncs the log, one writes snapshots.
THREADS = 2
# Only the module of the role that runs is imported: after a power loss, the
# processor time of start-up delays the moment at which a host serves again.
_ROLES = {
    states.Role.ENTRY: 'orioleshore.platform.entry_role',
    states.Role.CONTROL: 'orioleshore.platform.control_role',
}


def run_role(
    role: states.Role, settings_path: str, deployment: boot.Deployment
) -> int:
    """Run until the process is stopped and return the exit code."""
    config = deployment.settings
    logs.configure(config.node, config.log_level)
    build = importlib.import_module(_ROLES[role]).build
    with aiomisc.entrypoint(
        pool_size=THREADS, log_config=False, catch_signals=()
    ) as loop:
        platform_process = process.PlatformProcess(settings_path, role, build)
        outcome = loop.run_until_complete(platform_process.run(deployment))
        if outcome.is_err():
            shutdown.exit_after_failure(outcome.unwrap_err())
    return 0
