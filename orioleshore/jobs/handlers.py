"""Handlers of the calls to the scheduler, one for each type of call."""

from __future__ import annotations

import functools
import logging
import typing

from result import Err
from result import Ok
from result import Result

from orioleshore.jobs import admission
from orioleshore.jobs import answers
from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.jobs import organisation_status
from orioleshore.jobs import organisations
from orioleshore.jobs import reports
from orioleshore.jobs import specs
from orioleshore.jobs import targets
from orioleshore.model import errors
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.telemetry import logs

if typing.TYPE_CHECKING:
    from orioleshore.jobs import scheduler as scheduling

LOG = logging.getLogger(__name__)

JOB_ID_LENGTH = 16


def is_job_id(text: str) -> bool:
    """Return whether a text is a well-formed job id."""
    return len(text) == JOB_ID_LENGTH and all(
        char in '0123456789abcdefABCDEF' for char in text
    )


def _find_target(
    call: calls.SubmitJob | calls.GetJob | calls.CancelJob,
    scheduler: scheduling.Scheduler,
) -> Result[tuple[specs.Queue, ids.JobId], errors.Failure]:
    return targets.find_target(
        scheduler.ledger.configuration, call.host, call.path
    )


def _find_organisation(
    key: ids.ApiKey, queue: specs.Queue, scheduler: scheduling.Scheduler
) -> Result[ids.OrganisationId, errors.Failure]:
    """Return the organisation of a caller; fails with UNAUTHORIZED.

    Any organisation may ask for any job: a job is named by its random id,
    and its callers may go on after their key has moved to another one.
    """
    organisation = scheduler.directory.find_by_key(key)
    if organisation is not None:
        return Ok(organisation)
    if queue.is_public or not scheduler.ledger.configuration.requires_keys:
        return Ok(organisations.NO_ORGANISATION)
    LOG.info(
        logs.format_event(
            'key_refused',
            queue=queue.name,
            has_key=bool(key),
            version=scheduler.ledger.configuration.version,
        )
    )
    return answers.build_failure(
        errors.ErrorKind.UNAUTHORIZED,
        'no organisation of the configuration in force holds this key',
    )


@functools.singledispatch
def handle(
    call: typing.Any, scheduler: scheduling.Scheduler
) -> answers.Answer:
    """Handle one call with the state of the scheduler."""
    raise TypeError(f'unknown call {type(call).__name__}')


@handle.register(calls.SubmitJob)
def _(
    call: calls.SubmitJob, scheduler: scheduling.Scheduler
) -> answers.Answer:
    target = _find_target(call, scheduler)
    if target.is_err():
        return target
    queue, name = target.unwrap()
    caller = _find_organisation(call.key, queue, scheduler)
    if caller.is_err():
        return caller
    if not is_job_id(name):
        return answers.build_failure(
            errors.ErrorKind.INVALID_REQUEST, 'malformed job id'
        )
    if name in scheduler.ledger.jobs:
        return Ok(None)
    if name in scheduler.ledger.early_cancels:
        scheduler.accept_cancelled_job(name, call.job, queue, caller.unwrap())
        LOG.info(logs.format_event('job_came_cancelled', job=name))
        return Ok(None)
    limit = scheduler.directory.get_limit(caller.unwrap())
    refusal = admission.find_refusal(
        scheduler, call.job, queue, caller.unwrap()
    ) or organisations.find_refusal(call.job, limit)
    if refusal is not None:
        LOG.info(
            logs.format_event(
                'job_refused',
                job=name,
                queue=queue.name,
                organisation=caller.unwrap(),
                error=refusal.kind,
                reason=refusal.message,
                retry_after_s=refusal.retry_after_s,
            )
        )
        return Err(refusal)
    scheduler.accept_job(name, call.job, queue, caller.unwrap())
    LOG.info(
        logs.format_event(
            'job_accepted',
            job=name,
            queue=queue.name,
            pool=queue.pool,
            organisation=caller.unwrap(),
            tasks=ledger.count_tasks(call.job),
            lasting=call.job.is_long_running,
            objective_ms=scheduler.ledger.jobs[name].objective_ms,
            version=scheduler.ledger.configuration.version,
        )
    )
    return Ok(None)


@handle.register(calls.GetJob)
def _(call: calls.GetJob, scheduler: scheduling.Scheduler) -> answers.Answer:
    target = _find_target(call, scheduler)
    if target.is_err():
        return target
    queue, name = target.unwrap()
    caller = _find_organisation(call.key, queue, scheduler)
    if caller.is_err():
        return caller
    if not name:
        waiting = sum(
            job.record.state is states.BatchState.QUEUED
            and job.record.host == queue.host
            and job.record.prefix == queue.prefix
            for job in scheduler.jobs.values()
        )
        return Ok(calls.QueueStatus(waiting))
    record = scheduler.ledger.jobs.get(name)
    if record is None:
        return answers.build_failure(
            errors.ErrorKind.JOB_UNKNOWN, 'no such job'
        )
    return Ok(calls.JobStatus(record.state))


@handle.register(calls.CancelJob)
def _(
    call: calls.CancelJob, scheduler: scheduling.Scheduler
) -> answers.Answer:
    target = _find_target(call, scheduler)
    if target.is_err():
        return target
    queue, name = target.unwrap()
    caller = _find_organisation(call.key, queue, scheduler)
    if caller.is_err():
        return caller
    record = scheduler.ledger.jobs.get(name)
    if record is None:
        # Noted also for a caller that is told that there is no such job: its
        # submission may still wait at an entry host.
        if is_job_id(name):
            scheduler.cancel_unknown_job(name)
        return answers.build_failure(
            errors.ErrorKind.JOB_UNKNOWN, 'no such job'
        )
    if not record.is_ended:
        scheduler.cancel_job(name)
        LOG.info(logs.format_event('job_cancelled', job=name))
    return Ok(None)


@handle.register(calls.PutConfiguration)
def _(
    call: calls.PutConfiguration, scheduler: scheduling.Scheduler
) -> answers.Answer:
    current = scheduler.ledger.configuration.version
    received = call.configuration.version
    if received > current:
        scheduler.record_change(
            ledger.ConfigurationChanged(call.configuration)
        )
    LOG.info(
        logs.format_event(
            'configuration_received',
            version=received,
            held=current,
            in_force=max(received, current),
            queues=len(call.configuration.queues),
            organisations=len(call.configuration.organisations),
        )
    )
    return Ok(None)


@handle.register(calls.GetConfiguration)
def _(
    call: calls.GetConfiguration, scheduler: scheduling.Scheduler
) -> answers.Answer:
    if not scheduler.ledger.configuration.version:
        return answers.build_failure(
            errors.ErrorKind.NOT_READY, 'no configuration yet'
        )
    return Ok(scheduler.ledger.configuration)


@handle.register(calls.GetOrganisations)
def _(
    call: calls.GetOrganisations, scheduler: scheduling.Scheduler
) -> answers.Answer:
    return Ok(organisation_status.list_organisations(scheduler))


@handle.register(calls.OpenWave)
def _(call: calls.OpenWave, scheduler: scheduling.Scheduler) -> answers.Answer:
    if call.wave not in scheduler.ledger.waves:
        scheduler.record_change(
            ledger.WaveOpened(
                call.wave,
                call.hosts,
                call.at_once,
                scheduler.wall_time,
                ids.WallTime(scheduler.wall_time + call.duration_s),
            )
        )
        LOG.info(
            logs.format_event(
                'wave_opened',
                wave=call.wave,
                hosts=len(call.hosts),
                at_once=call.at_once,
                duration_s=call.duration_s,
            )
        )
    return Ok(None)


@handle.register(calls.GetWave)
def _(call: calls.GetWave, scheduler: scheduling.Scheduler) -> answers.Answer:
    record = scheduler.ledger.waves.get(call.wave)
    if record is None:
        return answers.build_failure(
            errors.ErrorKind.NOT_FOUND, 'no such wave'
        )
    return Ok(calls.WaveStatus(record.is_completed))


@handle.register(calls.NoteUpkeep)
def _(
    call: calls.NoteUpkeep, scheduler: scheduling.Scheduler
) -> answers.Answer:
    scheduler.upkeep.record_outcome(call)
    return Ok(None)


@handle.register(calls.NoteMove)
def _(call: calls.NoteMove, scheduler: scheduling.Scheduler) -> answers.Answer:
    scheduler.pools.record_outcome(call)
    return Ok(None)


@handle.register(calls.NoteHosts)
def _(
    call: calls.NoteHosts, scheduler: scheduling.Scheduler
) -> answers.Answer:
    scheduler.orders.end_listing()
    scheduler.known_hosts.record_list(call)
    return Ok(None)


@handle.register(calls.NoteApprovals)
def _(
    call: calls.NoteApprovals, scheduler: scheduling.Scheduler
) -> answers.Answer:
    scheduler.approvals.record_answer(call)
    return Ok(None)


@handle.register(calls.LeaveWorker)
def _(
    call: calls.LeaveWorker, scheduler: scheduling.Scheduler
) -> answers.Answer:
    worker = scheduler.workers.get(call.worker)
    if worker is not None:
        scheduler.drain_worker(worker)
    return Ok(None)


@handle.register(calls.Heartbeat)
def _(
    call: calls.Heartbeat, scheduler: scheduling.Scheduler
) -> answers.Answer:
    return reports.answer_heartbeat(call, scheduler)


@handle.register(calls.LeaseRenewal)
def _(
    call: calls.LeaseRenewal, scheduler: scheduling.Scheduler
) -> answers.Answer:
    return reports.renew_lease(call.heartbeat, scheduler)


@handle.register(calls.PartialHeartbeat)
def _(
    call: calls.PartialHeartbeat, scheduler: scheduling.Scheduler
) -> answers.Answer:
    return reports.answer_heartbeat(
        call.heartbeat, scheduler, call.unread_runs
    )
