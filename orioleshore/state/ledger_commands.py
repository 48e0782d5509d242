"""Handler of the command that records decisions about callers' jobs."""

from result import Ok

from orioleshore.jobs import ledger_updates
from orioleshore.state import commands
from orioleshore.state import records
from orioleshore.state import registry


@registry.apply.register
def _(
    command: commands.RecordProgress, state: records.State
) -> registry.CommandResult:
    if command.epoch < state.ledger_epoch:
        return registry.refuse_stale_epoch(command.epoch, state.ledger_epoch)
    state.ledger_epoch = command.epoch
    for change in command.changes:
        ledger_updates.apply_change(change, state.ledger)
    return Ok(None)
