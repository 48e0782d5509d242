"""What each log event means, as a sentence with the values of its line."""

import collections

from orioleshore.history import lines

# Events by the part of the system that writes them. A value that a line lacks
# is shown as '-'.
PHRASES = {
    # Calls of callers and operators.
    'request_failed': 'the entry host answered {method} with {status} '
    '{error}: {reason} (Retry-After {retry_after_s} s)',
    'request_unreadable': 'a {method} of {peer} could not be read: {error}',
    'control_call_timed_out': 'no control member answered {request} in '
    'time; the caller got {error}',
    'entry_unreadable': 'entry {entry} of the list {list} could not be read: '
    '{error} ({count} so far)',
    'rumour_unreadable': 'a rumour about {subject} could not be read: {error}',
    'members_unreadable': 'the list of members could not be read: {error}',
    'control_reply_unreadable': 'a reply of {sender} could not be read: '
    '{error}',
    'configuration_received': 'configuration {version} was sent; in force '
    'is {in_force}',
    'version_applied': 'version {version} came into force here',
    'wave_opened': 'a wave over {hosts} hosts was opened, {at_once} at once '
    'within {duration_s} s',
    # Jobs.
    'job_accepted': 'accepted into pool {pool}: {tasks} tasks, to be done '
    'within {objective_ms} ms, under configuration {version}',
    'job_held_by_limit': 'held for {held_s} s by the limit of organisation '
    '{organisation}: the next start needs {need_cpu} thousandths of a core, '
    '{need_memory_mb} MB and {need_accelerators} accelerators; in use are '
    '{used_cpu}, {used_memory_mb} and {used_accelerators} of {limit_cpu}, '
    '{limit_memory_mb} and {limit_accelerators} (0: no limit), by '
    'configuration {version}',
    'key_refused': 'a call to queue {queue} was refused: no organisation of '
    'configuration {version} holds its key (key sent: {has_key})',
    'job_behind_others': 'waits behind others: {organisation} runs '
    '{used_share} of all, and its share is {share}',
    'job_refused': 'refused and not run, {error}: {reason} (Retry-After '
    '{retry_after_s} s)',
    'job_cancelled': 'cancelled by its caller',
    'job_ended': '{state} after {age_s} s; the objective was {objective_ms} '
    'ms; reason of failure: {failure}',
    'tasks_started': 'tasks {tasks} were ordered on {worker}, {waited_s} s '
    'after their step could start; {still_waiting} still wait, {free_cpu} '
    'thousandths of a core are left there',
    'task_ended': 'attempt {attempt} of task {task} on {worker} ended: '
    '{how} ({failures} failures before)',
    'lost_run_succeeded': 'attempt {attempt} of task {task}, given up before, '
    'had succeeded on {worker}',
    'task_evicted': 'task {task} is moved off host {host}',
    'run_stalled': 'task {task} made no progress on {worker} and is stopped',
    'lasting_task_waits': 'a long-running task has waited {waited_s} s: '
    'held by {holds}; {ready} of {workers} workers ready, free CPU {free_cpu}',
    'gang_planned': 'all members of a gang got workers',
    'gang_given_up': 'a gang did not start in time and is planned again',
    'step_approved': 'the policy service approved workers for a step',
    'approval_failed': 'the policy service gave no answer: {error}',
    'approval_unanswered': 'the approval of step {step} is asked for again '
    'after a pause; calls without an answer in a row: {in_row}, refused since '
    'too many wait: {busy}',
    'ends_held_back': 'worker {worker} listed {listed} ended tasks and may '
    'hold back more, so no run of it counts as lost',
    'answer_full': 'the answer to {worker} is full with {starts} starts and '
    '{stops} stops; the rest follow in the next one',
    'job_came_cancelled': 'job {job} had been cancelled before it came, so '
    'it never starts',
    'turn_long': 'a turn of the scheduler with {messages} messages took '
    '{seconds} s, of it {processor_s} s of processor time',
    'work_slowed': 'an answer took {delay_s} s, so one answer starts at most '
    '{max_starts} tasks',
    'changes_queued': '{batches} further batches of changes wait while '
    '{bytes} bytes of changes are committed',
    # Tasks under which workers were lost.
    'loss_recorded': 'worker {worker} on host {host} was lost soon after the '
    'start of {suspects}, {newest} of them the newest',
    'loss_explained': 'the loss of worker {worker} on host {host} is known: '
    '{cause}',
    'suspects_started': 'suspect tasks {tasks} were started on {worker}, '
    'apart from other jobs; up to {losses} workers were lost under them',
    'suspicion_cleared': 'task {task} has run for {ran_s} s and is no longer '
    'suspected',
    'task_given_up': 'task {task} is given up: {crashes} workers crashed '
    'soon after its start, {immediate} of them at once, {silences} more are '
    'silent',
    # Workers and hosts.
    'worker_found': 'worker {worker} reported for the first time, on host '
    '{host} in pool {pool}',
    'worker_state': 'worker {worker} became {state}; {remaining_ms} ms left',
    'worker_lost': 'worker {worker} on host {host} is gone ({why}) with '
    '{runs} runs, silent for {silent_s} s',
    'worker_unheard': 'worker {worker} with {runs} runs did not report to '
    'the new leader',
    'worker_suspected': 'worker {worker} gets no tasks for {shunned_s} s '
    'after {failures_in_row} failures in a row',
    'runs_unreadable': '{missing} runs of worker {worker} are missing in a '
    'heartbeat with rows that cannot be read; they are held',
    'orders_not_received': 'worker {worker} did not get its start orders, '
    '{in_row} times in a row, and gets none for {paused_s} s',
    'heartbeat_ignored': 'an old heartbeat of {worker} came late: sequence '
    '{sequence}, newest {newest}',
    'host_retiring': 'host {host} of pool {pool} gets no more tasks: {needed} '
    'of {hosts} hosts are needed',
    'move_ordered': 'host {host} is to move from {from_pool} to {pool}, '
    'which needs {needed} hosts (share {share})',
    'move_answered': 'the platform answered the move of {host} to {pool}: '
    '{outcome} {detail}',
    'upkeep_ordered': 'upkeep of host {host} was ordered for wave {wave}',
    'upkeep_checked': (
        'host {host} of wave {wave} is missing in the list and was asked about'
    ),
    'upkeep_answered': 'the platform answered the upkeep of {host}: '
    '{outcome} {detail}',
    'upkeep_held': 'upkeep of host {host} waits for task {task}: {away} away '
    'where {limit} may be',
    'host_order_expired': 'an order about {host} was not sent, {late_s} s '
    'late',
    'host_list_failed': 'the platform did not list its hosts: {error}',
    # The group of control members.
    'role_changed': 'the member became {role} in term {term}; leader {leader}',
    'scheduling_started': 'a leader began to schedule with epoch {epoch}, '
    '{jobs} jobs and configuration {version}',
    'scheduling_stopped': 'a leader stopped scheduling; {unanswered} calls '
    'were left unanswered',
    'commit_failed': 'the leader could not commit its decisions: {error}',
    'call_failed': 'a call {call} of {source} raised an error and was refused',
    'tick_failed': 'step {step} of the periodic work raised an error',
    'task_failed': 'task {task} of the process failed; the process ends',
    'background_task_failed': 'task {task} raised an error: {error}',
    'loop_exception': 'an error reached the event loop: {text} {error}',
    'disk_full': 'the disk of the member is full: {error}',
    'disk_has_room': 'the disk of the member has room again',
    'snapshot_postponed': 'a snapshot found no room on the disk',
    'load_postponed': 'the data folder cannot be opened yet: {error}',
    'snapshot_taken': 'a snapshot was taken',
    'snapshot_restored': 'a snapshot was restored',
    'snapshot_unreadable': 'a snapshot could not be read and is sent again',
    'folder_opened': 'the data folder was opened: term {term}, last entry '
    '{last_index}',
    'members_changed': 'the members of the group changed',
    'member_with_other_files': 'a member came back without its files',
    'group_joined': 'the member joined the group',
    'group_not_joined': 'the member could not join the group: {error}',
    'peer_message_malformed': 'a message of {sender} was malformed',
    'handed_over': 'the leader transferred its leadership',
    'handover_failed': 'the leader found no successor before it stopped',
    # Life of a process.
    'started': 'the process started',
    'stopping': 'the process was told to stop',
    'stopped': 'the process stopped',
    'reloaded': 'the process read its settings again',
    'reload_failed': 'the settings could not be read again: {error}',
    'drain_given_up': 'the process stops with {in_flight} requests open',
    'abort_failed': 'a task could not be ended',
    'abort_timed_out': 'tasks did not end in time',
    'lines_left_out': '{count} log lines were left out',
}
# What may explain a change in a job's fate and names no job.
GROUP_EVENTS = frozenset(
    {
        'scheduling_started',
        'scheduling_stopped',
        'commit_failed',
        'tick_failed',
        'task_failed',
        'background_task_failed',
        'disk_full',
        'disk_has_room',
        'handed_over',
        'handover_failed',
        'members_changed',
    }
)
# What may explain the end of a run and names only its worker.
WORKER_EVENTS = frozenset(
    {'worker_lost', 'worker_suspected', 'worker_unheard', 'worker_state'}
)


def describe(line: lines.LogLine) -> str:
    """Return what a line says; the pairs themselves for unknown events."""
    phrase = PHRASES.get(line.event)
    if phrase is None:
        pairs = ' '.join(f'{key}={line.pairs[key]}' for key in line.pairs)
        return f'{line.event} {pairs}'.rstrip()
    values = collections.defaultdict(lambda: '-', line.pairs)
    return phrase.format_map(values).rstrip()
