"""Processing of worker heartbeats and the orders sent in the answers."""

from __future__ import annotations

import logging
import typing

import msgspec
from result import Ok

from orioleshore.jobs import answer_limits
from orioleshore.jobs import answers
from orioleshore.jobs import calls
from orioleshore.jobs import interference
from orioleshore.jobs import organisations
from orioleshore.jobs import placement
from orioleshore.jobs import probation
from orioleshore.jobs import stalls
from orioleshore.jobs import workers
from orioleshore.model import states
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)


def answer_heartbeat(
    call: calls.Heartbeat,
    scheduler: scheduling.Scheduler,
    unread_runs: int = 0,
) -> answers.Answer:
    """Process a worker's heartbeat and return the orders for it.

    ``unread_runs`` is the number of rows of running tasks that could not be
    read. They may be those of runs that are missing in the others.
    """
    if _is_old(call, scheduler):
        return _build_empty_answer(scheduler)
    worker = scheduler.workers.get(call.worker)
    if worker is None or worker.incarnation < call.incarnation:
        worker = scheduler.add_worker(call)
    lease_end = worker.lease_end
    earlier = worker.listed.keys() if unread_runs else ()
    call = _limit_ends(call, scheduler)
    _update_worker(worker, call, scheduler)
    observed = _record_ended_runs(worker, call, scheduler)
    scheduler.usage.set_worker(
        worker.name,
        organisations.list_holdings(
            worker,
            scheduler.ledger.jobs,
            {*earlier}.difference(
                (end.job, end.task, end.attempt) for end in call.ended
            ),
        ),
    )
    missing = _find_missing_runs(worker, call, scheduler)
    if unread_runs and missing:
        return _hold_missing_runs(
            worker, observed, lease_end, len(missing), scheduler
        )
    worker.held_since = None
    _note_received_orders(worker)
    _end_lost_runs(worker, missing, scheduler)
    # The run of a cancelled job ends without having been ordered any more.
    worker.unproven_runs &= worker.ordered.keys() | worker.listed.keys()
    scheduler.crashes.observe_runs(worker)
    for key in stalls.find_stalled_runs(scheduler, worker):
        worker.evicted.add(key)
        placement.record_failed_run(worker, scheduler)
    starts = _choose_starts(worker, scheduler)
    stops = _build_stop_orders(worker, scheduler)
    is_full = _is_answer_full(worker, starts, stops, scheduler)
    has_more = call.has_more_ends or is_full
    return Ok(
        calls.HeartbeatAnswer(
            observed,
            scheduler.epoch,
            scheduler.limits.lease_ms,
            tuple(starts),
            tuple(stops[: answer_limits.MAX_STOPS]),
            tuple(_build_rate_orders(worker, scheduler)),
            scheduler.limits.idle_retry_ms
            if has_more
            else placement.get_heartbeat_delay_ms(scheduler, worker),
            scheduler.leader_address,
        )
    )


def renew_lease(
    call: calls.Heartbeat, scheduler: scheduling.Scheduler
) -> answers.Answer:
    """Renew the lease of a worker, and leave its runs to the next heartbeat.

    The first heartbeat to a leader is answered in full: what the worker runs
    is not known before.
    """
    worker = scheduler.workers.get(call.worker)
    if worker is None or worker.incarnation != call.incarnation:
        return answer_heartbeat(call, scheduler)
    if _is_old(call, scheduler):
        return _build_empty_answer(scheduler)
    _update_state(worker, call, scheduler)
    _extend_lease(worker, call, scheduler)
    return Ok(
        calls.HeartbeatAnswer(
            0,
            scheduler.epoch,
            scheduler.limits.lease_ms,
            retry_ms=scheduler.limits.idle_retry_ms,
            leader=scheduler.leader_address,
        )
    )


def _is_old(call: calls.Heartbeat, scheduler: scheduling.Scheduler) -> bool:
    """Return whether a heartbeat is stale.

    It does not describe the worker's present state, so it renews no lease.
    """
    worker = scheduler.workers.get(call.worker)
    is_old = scheduler.has_newer_incarnation(call) or (
        worker is not None
        and worker.incarnation == call.incarnation
        and call.sequence <= worker.sequence
    )
    if is_old:
        LOG.info(
            logs.format_event(
                'heartbeat_ignored',
                worker=call.worker,
                incarnation=call.incarnation,
                sequence=call.sequence,
                newest=worker.sequence if worker is not None else None,
            )
        )
    return is_old


def _limit_ends(
    call: calls.Heartbeat, scheduler: scheduling.Scheduler
) -> calls.Heartbeat:
    """Return a heartbeat without the ended runs beyond those of one step.

    The worker lists them again, since they are not observed.
    """
    limit = scheduler.pace.max_ends
    if len(call.ended) <= limit:
        return call
    ended = sorted(call.ended, key=lambda end: end.number)
    return msgspec.structs.replace(
        call, ended=tuple(ended[:limit]), has_more_ends=True
    )


def _is_answer_full(
    worker: workers.Worker,
    starts: answer_limits.StartOrders,
    stops: list[calls.StopOrder],
    scheduler: scheduling.Scheduler,
) -> bool:
    """Return whether an answer may leave orders to the next one."""
    if starts.has_room and len(stops) <= answer_limits.MAX_STOPS:
        return False
    scheduler.bounds[states.Bound.ANSWER] += 1
    LOG.info(
        logs.format_event(
            'answer_full',
            worker=worker.name,
            starts=len(starts),
            stops=len(stops),
        )
    )
    return True


def _choose_starts(
    worker: workers.Worker, scheduler: scheduling.Scheduler
) -> answer_limits.StartOrders:
    """Choose suspect tasks or others; the latter by turns at least."""
    starts = answer_limits.make_start_orders(worker, scheduler.pace)
    if not placement.can_start_tasks(scheduler, worker):
        return starts
    if worker.is_turn_of_suspects:
        starts = probation.start_suspects(scheduler, worker)
    worker.is_turn_of_suspects = not starts
    return starts or placement.choose_starts(scheduler, worker)


def _build_empty_answer(scheduler: scheduling.Scheduler) -> answers.Answer:
    """Return the answer that neither extends a lease nor orders anything."""
    return Ok(calls.HeartbeatAnswer(0, scheduler.epoch, 0))


def _hold_missing_runs(
    worker: workers.Worker,
    observed: int,
    lease_end: float,
    missing: int,
    scheduler: scheduling.Scheduler,
) -> answers.Answer:
    """Extend the lease, and neither end the missing runs nor start any.

    The worker's other runs would be killed for one odd row otherwise, and
    the missing ones started again while they may be at work. After one lease
    without news of them the lease ends, and with it all that may still run.
    """
    if worker.held_since is None:
        worker.held_since = scheduler.now
        LOG.warning(
            logs.format_event(
                'runs_unreadable', worker=worker.name, missing=missing
            )
        )
    if scheduler.now - worker.held_since > scheduler.max_lease_s:
        worker.lease_end = lease_end
        return _build_empty_answer(scheduler)
    return Ok(
        calls.HeartbeatAnswer(
            observed,
            scheduler.epoch,
            scheduler.limits.lease_ms,
            stops=tuple(
                _build_stop_orders(worker, scheduler)[
                    : answer_limits.MAX_STOPS
                ]
            ),
            retry_ms=placement.get_heartbeat_delay_ms(scheduler, worker),
            leader=scheduler.leader_address,
        )
    )


def _update_worker(
    worker: workers.Worker,
    call: calls.Heartbeat,
    scheduler: scheduling.Scheduler,
) -> None:
    _update_state(worker, call, scheduler)
    _extend_lease(worker, call, scheduler)
    worker.capacity = call.capacity
    scheduler.registry.set_pool(worker, call.pool)
    worker.reports = {
        (report.job, report.task, report.attempt): report
        for report in call.running
        if scheduler.job_table.is_valid_task(report.job, report.task)
    }
    worker.unproven_runs -= {
        key
        for key, report in worker.reports.items()
        if report.progress >= workers.READY_PERCENT
        and scheduler.is_long_running_run(key)
    }
    worker.reported |= worker.reports.keys()
    worker.reported &= worker.ordered.keys()
    worker.listed = {
        key: worker.ordered.get(key)
        or scheduler.job_table.get_reserved_resources(key)
        for key in worker.reports
    }


def _extend_lease(
    worker: workers.Worker,
    call: calls.Heartbeat,
    scheduler: scheduling.Scheduler,
) -> None:
    worker.sequence = call.sequence
    worker.last_heartbeat_at = scheduler.now
    worker.lease_end = scheduler.now + scheduler.max_lease_s


def _update_state(
    worker: workers.Worker,
    call: calls.Heartbeat,
    scheduler: scheduling.Scheduler,
) -> None:
    """Note the state that a worker reports; one that drains goes on to.

    A worker that reports as ready after it should have ended has not
    announced its exit: that was an earlier life under its name.
    """
    if call.state is states.WorkerState.DRAINING:
        worker.exit_due_at = 0.0
    has_outlived_exit = 0.0 < worker.exit_due_at <= scheduler.now
    is_draining = worker.state is states.WorkerState.DRAINING
    if worker.state is call.state or (is_draining and not has_outlived_exit):
        return
    worker.state = call.state
    worker.exit_due_at = 0.0
    LOG.info(
        logs.format_event(
            'worker_state',
            worker=worker.name,
            state=call.state,
            remaining_ms=call.remaining_ms,
        )
    )


def _record_ended_runs(
    worker: workers.Worker,
    call: calls.Heartbeat,
    scheduler: scheduling.Scheduler,
) -> int:
    """Record the ended runs of a heartbeat and return the last number."""
    observed = 0
    for end in call.ended:
        observed = max(observed, end.number)
        key = (end.job, end.task, end.attempt)
        if not scheduler.job_table.is_valid_task(end.job, end.task):
            continue
        was_ordered = worker.ordered.pop(key, None) is not None
        worker.rates.pop(key, None)
        if was_ordered:
            _record_run_time(worker, key, end.how, scheduler)
            placement.record_run_end(worker, key, end.how, scheduler)
        scheduler.end_run(key, end.how, end.checkpoint, worker.name)
    return observed


def _record_run_time(
    worker: workers.Worker,
    key: workers.RunKey,
    how: states.RunEnd,
    scheduler: scheduling.Scheduler,
) -> None:
    """Add the duration of a successful run to the pool's statistics."""
    started_at = worker.start_ordered_at.pop(key, None)
    if started_at is not None and how is states.RunEnd.DONE:
        scheduler.run_times.add_run_time(
            worker.pool, scheduler.now - started_at
        )


def _find_missing_runs(
    worker: workers.Worker,
    call: calls.Heartbeat,
    scheduler: scheduling.Scheduler,
) -> list[workers.RunKey]:
    """Return ordered runs that a later heartbeat does not list.

    Returns none while the worker may hold back ends: a run that is not listed
    may have succeeded, and would run again if it were taken for lost.
    """
    if call.has_more_ends:
        scheduler.bounds[states.Bound.ENDED_RUNS] += 1
        LOG.info(
            logs.format_event(
                'ends_held_back', worker=worker.name, listed=len(call.ended)
            )
        )
        return []
    missing = []
    for key in worker.ordered:
        if key in worker.listed:
            continue
        job = scheduler.jobs.get(key[0])
        run = job and job.record.tasks.get(key[1])
        if run and run.attempt == key[2] and run.sequence >= worker.sequence:
            continue
        missing.append(key)
    return missing


def _note_received_orders(worker: workers.Worker) -> None:
    """Forget lost orders once a worker has received a later one."""
    if not worker.lost_orders:
        return
    for key in worker.ordered.keys() & worker.listed.keys():
        ordered_at = worker.start_ordered_at.get(key, 0.0)
        if ordered_at >= worker.no_starts_until:
            worker.lost_orders = 0


def _end_lost_runs(
    worker: workers.Worker,
    missing: list[workers.RunKey],
    scheduler: scheduling.Scheduler,
) -> None:
    """End runs as lost whose start order did not reach the worker."""
    has_lost_order = False
    for key in missing:
        del worker.ordered[key]
        worker.unproven_runs.discard(key)
        # Orders of the last leader may be lost because it was.
        is_own = worker.start_ordered_at.pop(key, None) is not None
        has_lost_order = has_lost_order or is_own
        scheduler.end_run(key, states.RunEnd.LOST, '', worker.name)
    if has_lost_order:
        placement.record_lost_order(worker, scheduler)


def _build_stop_orders(
    worker: workers.Worker, scheduler: scheduling.Scheduler
) -> list[calls.StopOrder]:
    """Return stop orders for runs that must not stay on the worker."""
    worker.evicted &= worker.listed.keys()
    if worker.state is states.WorkerState.DRAINING:
        # Long-running tasks would be lost when the worker exits, so they
        # are moved to other workers first.
        worker.evicted |= {
            key for key in worker.listed if scheduler.is_long_running_run(key)
        }
    stops = [calls.StopOrder(*key) for key in worker.evicted]
    for key in worker.listed.keys() - worker.evicted:
        if key in worker.ordered and key[0] in scheduler.jobs:
            continue
        worker.ordered.pop(key, None)
        stops.append(calls.StopOrder(*key))
    return stops


def _build_rate_orders(
    worker: workers.Worker, scheduler: scheduling.Scheduler
) -> list[calls.RateOrder]:
    """Return orders for the filler tasks whose rate changes."""
    fillers = []
    worst = 0.0
    for key, report in worker.reports.items():
        job = scheduler.jobs.get(key[0])
        if job is None:
            continue
        step = job.get_step(key[1])
        if step.is_filler:
            fillers.append(key)
        elif step.tail_target_ms:
            worst = max(worst, report.metric_value / step.tail_target_ms)
    rates = []
    for key in fillers:
        current = worker.rates.get(key, interference.FULL_PERCENT)
        rate = interference.get_filler_percent(current, worst)
        if rate != current:
            worker.rates[key] = rate
            rates.append(calls.RateOrder(*key, rate))
    return rates
