"""Deterministic state machine: applies the commands of the log.

Every rule that must hold is checked here again, so that a stale leader
or planner cannot break it.
"""

# The modules of commands register their handlers when they are imported.
from orioleshore.state import claim_commands  # noqa: F401
from orioleshore.state import commands
from orioleshore.state import document_commands  # noqa: F401
from orioleshore.state import host_commands  # noqa: F401
from orioleshore.state import job_commands  # noqa: F401
from orioleshore.state import ledger_commands  # noqa: F401
from orioleshore.state import records
from orioleshore.state import registry
from orioleshore.state import wave_commands  # noqa: F401


def apply_command(
    command: commands.Command, state: records.State
) -> registry.CommandResult:
    """Apply one command, and return its answer or why it was refused."""
    # A leader whose clock went back must not bring expired records back.
    state.time = max(state.time, command.time)
    return registry.apply(command, state)
