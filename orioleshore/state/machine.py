"""Deterministic state machine that applies the commands of the log.

Every invariant is checked again when a command is applied, so that a
stale leader or planner cannot violate it.
"""

# The *_commands modules register their handlers when they are imported.
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
    """Apply one command; return its result or the reason of its refusal."""
    # The time never decreases: a leader whose clock was set back must not
    # make expired records valid again.
    state.time = max(state.time, command.time)
    return registry.apply(command, state)
