"""Runs one role on the platform: ``python -m orioleshore.platform ROLE``."""

import gc
import importlib
import os
import sys

from orioleshore.model import states
from orioleshore.platform import boot
from orioleshore.platform import precedence

SETTINGS_VARIABLE = 'ORIOLESHORE_SETTINGS'


def main(arguments: list[str]) -> int:
    """Run until the process is stopped and return the exit code."""
    # Collections while modules are loaded find nothing and take a tenth of
    # the time. The process enables them again once it has started.
    gc.disable()
    role = states.Role(arguments[0])
    path = os.environ[SETTINGS_VARIABLE]
    outcome = boot.read_deployment(path, role)
    if outcome.is_err():
        failure = outcome.unwrap_err()
        sys.stderr.write(f'{failure.message}: {failure.details}\n')
        return failure.answer.exit_code
    deployment = outcome.unwrap()
    precedence.wait_for_member(deployment.local_member_address)
    # Nearly all of the time of the start is spent on this import.
    launch = importlib.import_module('orioleshore.platform.launch')
    return launch.run_role(role, path, deployment)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
