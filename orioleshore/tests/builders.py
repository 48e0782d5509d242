"""Builders of test data."""

import random
from typing import Any

import msgspec

from fakes import workers
from orioleshore.consensus import events as consensus_events
from orioleshore.consensus import log
from orioleshore.consensus import member_messages
from orioleshore.consensus import raft
from orioleshore.jobs import calls
from orioleshore.jobs import ledger
from orioleshore.jobs import ledger_copies
from orioleshore.jobs import progress
from orioleshore.jobs import specs
from orioleshore.jobs import task as jobs_task
from orioleshore.jobs import tuning
from orioleshore.membership import detector
from orioleshore.membership import packing
from orioleshore.model import announcements
from orioleshore.model import changes
from orioleshore.model import documents
from orioleshore.model import ids
from orioleshore.model import states
from orioleshore.protocol import messages
from orioleshore.routing import events as routing_events
from orioleshore.state import commands
from orioleshore.state import machine
from orioleshore.state import operations
from orioleshore.state import records
from orioleshore.tasks import mailbox
from orioleshore.telemetry import latencies
from orioleshore.tests import support
from orioleshore.timers import clock
from orioleshore.timers import service

# A task as the platform names it in a heartbeat.
REPORTED_TASK = '5c0e7a21d94b36f8.0.1.17'

NOW = ids.WallTime(1_800_000_000.0)


def build_operation_id(number: int = 1, now: float = NOW) -> ids.OperationId:
    """Return an operation id issued at ``now``."""
    return operations.generate_operation_id(
        ids.WallTime(now), f'token-{number:08d}'
    )


def build_host(
    name: str = 'freight-1', pool: str = 'freight', **fields
) -> documents.Host:
    """Return a host of 16 cores in the first rack and zone."""
    defaults = {
        'rack': ids.RackId('az1-r1'),
        'availability_zone': ids.AvailabilityZone('az1'),
    }
    return documents.Host(
        name=ids.HostId(name),
        pool=ids.PoolId(pool),
        **{**defaults, **fields},
    )


def build_hosts(
    count: int, pool: str = 'freight', zones: int = 3, rack_size: int = 4
) -> tuple[documents.Host, ...]:
    """Return hosts spread over availability zones and racks."""
    return tuple(
        build_host(
            f'{pool}-{number}',
            pool,
            rack=ids.RackId(
                f'az{number % zones + 1}-r{number // zones // rack_size + 1}'
            ),
            availability_zone=ids.AvailabilityZone(f'az{number % zones + 1}'),
        )
        for number in range(count)
    )


def build_service(
    name: str = 'freight', total: float = 0.34, **fields
) -> documents.Service:
    """Return a service whose GET operations are idempotent."""
    defaults = {
        'pool': ids.PoolId(name),
        'brands': (f'{name}.example', f'/{name}'),
        'budget': documents.Budget(total=total),
        'idempotent': ('GET /',),
    }
    return documents.Service(
        name=ids.ServiceId(name), **{**defaults, **fields}
    )


def build_document(hosts: int = 6, **fields) -> documents.Document:
    """Return a document with one pool and one service."""
    defaults = {
        'pools': (documents.Pool(ids.PoolId('freight')),),
        'services': (build_service(),),
        'hosts': build_hosts(hosts),
        'teams': (documents.Team(ids.TeamId('members'), 1_000.0, 1_000.0),),
    }
    return documents.Document(**{**defaults, **fields})


def build_change(
    document: documents.Document,
    base: documents.Document | None = None,
    base_version: int = 0,
    number: int = 1,
    now: float = NOW,
) -> commands.ChangeDocument:
    """Return the command that changes ``base`` into ``document``."""
    return commands.ChangeDocument(
        time=ids.WallTime(now),
        operation_id=build_operation_id(number, now),
        operator='alice',
        base_version=ids.Version(base_version),
        edits=changes.get_delta(base or documents.Document(), document),
    )


def build_state(
    document: documents.Document | None = None,
) -> records.State:
    """Return a state that holds the document as version 1."""
    state = records.State()
    change = build_change(document or build_document())
    machine.apply_command(change, state).unwrap()
    return state


def build_upstream(
    number: int = 1, service: str = 'freight', **fields
) -> announcements.Upstream:
    """Return an announcement of an upstream with 8 slots."""
    defaults = {
        'address': ids.UpstreamId(f'127.0.1.{number}:8080'),
        'availability_zone': ids.AvailabilityZone('az1'),
        'slots': 8,
        'connections': 64,
        'incarnation': ids.Incarnation(1),
    }
    return announcements.Upstream(
        service=ids.ServiceId(service), **{**defaults, **fields}
    )


def build_request(number: int = 1, **fields) -> routing_events.RequestInfo:
    """Return an idempotent request with a deadline at 1,060 s."""
    defaults = {
        'service': ids.ServiceId('freight'),
        'caller': ids.CallerId('shop-1'),
        'priority': states.Priority.NORMAL,
        'deadline': 1_060.0,
        'is_idempotent': True,
        'key': None,
        'issued': None,
        'digest': b'digest',
    }
    return routing_events.RequestInfo(
        request=ids.RequestId(f'request-{number}'), **{**defaults, **fields}
    )


def build_peer(node: str = 'node-1', **fields) -> announcements.Peer:
    """Return an entry host whose address equals its name."""
    defaults = {
        'address': node,
        'incarnation': ids.Incarnation(1),
        'availability_zone': ids.AvailabilityZone('az1'),
        'roles': (states.Role.ENTRY,),
    }
    return announcements.Peer(ids.NodeId(node), **{**defaults, **fields})


def build_nested_rumour(node: str, depth: int) -> messages.Rumour:
    """Return a rumour with a further field that is nested ``depth`` deep."""
    rumour = packing.pack_peer(build_peer(node, address='127.0.0.1:7001'))
    # An array of four items becomes one of five; 0x91 begins an array of one.
    data = b'\x95' + rumour.data[1:] + b'\x91' * depth + b'\xc0'
    return msgspec.structs.replace(rumour, data=data)


def build_detector(
    node: str = 'node-1',
    incarnation: int = 1,
    seeds: tuple[str, ...] = ('node-0',),
    seed: int = 1,
) -> detector.Detector:
    """Return a failure detector with a period of 1 s."""
    own = build_peer(node, incarnation=ids.Incarnation(incarnation))
    return detector.Detector(
        own,
        seeds,
        1.0,
        0.3,
        packing.get_update_size,
        random.Random(f'{node}-{incarnation}-{seed}'),
    )


def build_entry(index: int, term: int = 1, **fields) -> messages.Entry:
    """Return a log entry that holds a command."""
    defaults = {
        'kind': consensus_events.EntryKind.COMMAND,
        'data': f'command-{index}'.encode(),
    }
    return messages.Entry(
        ids.LogIndex(index), ids.Term(term), **{**defaults, **fields}
    )


def build_members(*names: str) -> consensus_events.Members:
    """Return a group of voters that still have their initial files."""
    return consensus_events.Members(
        tuple(
            consensus_events.Member(
                ids.NodeId(name), f'{name}:1', f'{name}-0', True
            )
            for name in names
        )
    )


def build_raft(
    name: str = 'm0',
    terms: tuple[int, ...] = (1,),
    now: float = 100.0,
    started_at: float | None = None,
) -> raft.Raft:
    """Return a member of a group of three with a log entry for each term.

    The first entry records the group members m0, m1 and m2. Without
    ``started_at``, its process starts now.
    """
    group = build_members('m0', 'm1', 'm2')
    founding = build_entry(
        1,
        terms[0],
        kind=consensus_events.EntryKind.MEMBERS,
        data=log.encode_members(group),
    )
    entries = [build_entry(n, t) for n, t in enumerate(terms[1:], 2)]
    return raft.Raft(
        raft.Config(
            ids.NodeId(name),
            f'{name}:1',
            f'{name}-0',
            {member.name: member.address for member in group.members},
        ),
        consensus_events.HardState(ids.Term(terms[-1])),
        log.Log(None, (founding, *entries)),
        random.Random(1),
        now,
        started_at,
    )


def build_leader(now: float = 110.0) -> raft.Raft:
    """Return the member m0 of ``build_raft`` as leader, elected by m1."""
    member = build_raft()
    member.handle(consensus_events.Tick(), now)
    for reply in (messages.PreVoteReply, messages.VoteReply):
        vote = reply(member.term, True, 'm1-0', False)
        member.handle(
            consensus_events.MessageReceived(ids.NodeId('m1'), vote), now
        )
    return member


def build_claim(**fields) -> commands.ClaimRequest:
    """Return a claim of the idempotency key for the first request."""
    defaults = {
        'time': NOW,
        'key': ids.IdempotencyKey(build_operation_id()),
        'issued': NOW,
        'digest': b'digest',
        'request': ids.RequestId('request-1'),
        'entry_host': ids.NodeId('entry-1'),
        'incarnation': ids.Incarnation(1),
    }
    return commands.ClaimRequest(**{**defaults, **fields})


def build_outcome(**fields) -> commands.RecordOutcome:
    """Return the command that records the answer to the first request."""
    defaults = {
        'time': NOW,
        'key': ids.IdempotencyKey(build_operation_id()),
        'request': ids.RequestId('request-1'),
        'outcome': states.ClaimState.ANSWERED,
        'status': 200,
    }
    return commands.RecordOutcome(**{**defaults, **fields})


def build_grant(
    host: str, host_epoch: int, epoch: int, now: float, number: int = 1
) -> commands.GrantPermission:
    """Return a command that grants maintenance for 900 s."""
    return commands.GrantPermission(
        time=ids.WallTime(now),
        permission=ids.PermissionId(f'maintenance/{host}/{epoch}/{number}'),
        host=ids.HostId(host),
        host_epoch=ids.Epoch(host_epoch),
        purpose=states.Purpose.MAINTENANCE,
        epoch=ids.Epoch(epoch),
        until=ids.WallTime(now + 900.0),
    )


def build_permission_end(
    permission: str, epoch: int, now: float
) -> commands.EndPermission:
    """Return a command that ends a permission."""
    return commands.EndPermission(
        time=ids.WallTime(now),
        permission=ids.PermissionId(permission),
        epoch=ids.Epoch(epoch),
    )


def build_host_state_change(
    host: str,
    host_epoch: int,
    epoch: int,
    now: float,
    state: states.HostState,
) -> commands.SetHostState:
    """Return a command that sets the state of a host."""
    return commands.SetHostState(
        time=ids.WallTime(now),
        host=ids.HostId(host),
        host_epoch=ids.Epoch(host_epoch),
        state=state,
        epoch=ids.Epoch(epoch),
    )


def build_move(
    host: str,
    host_epoch: int,
    epoch: int,
    now: float,
    from_pool: str,
    to_pool: str,
) -> commands.MoveHost:
    """Return a command that moves a host between pools."""
    return commands.MoveHost(
        time=ids.WallTime(now),
        host=ids.HostId(host),
        host_epoch=ids.Epoch(host_epoch),
        from_pool=ids.PoolId(from_pool),
        to_pool=ids.PoolId(to_pool),
        permission=ids.PermissionId(''),
        epoch=ids.Epoch(epoch),
    )


def build_wave_state(hosts: int = 12, **fields) -> records.State:
    """Return a state whose document declares a wave named "kernel"."""
    wave = documents.Wave(
        ids.WaveId('kernel'), (ids.PoolId('freight'),), ids.ImageId('k2')
    )
    document = build_document(hosts, waves=(wave,), **fields)
    return build_state(document)


def build_job(name: str = 'job-1', **fields) -> documents.Job:
    """Return an idempotent job of 1 core and 10 s in pool freight."""
    defaults = {
        'pool': ids.PoolId('freight'),
        'team': ids.TeamId('members'),
        'job_class': ids.JobClass('quote'),
        'run_time_s': 10.0,
        'idempotent': True,
    }
    return documents.Job(name=ids.JobId(name), **{**defaults, **fields})


def build_jobs(count: int, **fields) -> tuple[documents.Job, ...]:
    """Return identical jobs named job-1, job-2 and so on."""
    return tuple(
        build_job(f'job-{number}', **fields) for number in range(1, count + 1)
    )


def build_step(tasks: int = 1, **fields) -> specs.Step:
    """Return a step of short tasks that need one core each."""
    defaults: dict[str, Any] = {
        'need': specs.Resources(1_000, 512),
        'estimate_ms': 500,
    }
    return specs.Step(tasks, **defaults | fields)


def build_batch_job(*steps: specs.Step) -> specs.Job:
    """Return a job as a caller submits it; by default one task."""
    return specs.Job('payload', steps or (build_step(),))


def build_lasting_job(tasks: int = 2, **fields) -> specs.Job:
    """Return a job whose tasks run until it is cancelled."""
    return build_batch_job(build_step(tasks, is_long_running=True, **fields))


def build_progress(
    number: int, accepted_at: float, *steps: specs.Step, priority: int = 0
) -> progress.JobProgress:
    """Return the progress of a job with an objective of 4 s."""
    name = build_job_id(number)
    record = ledger.JobRecord(
        build_batch_job(*steps),
        'jobs.example',
        '/red/',
        ids.PoolId('red'),
        priority,
        2,
        4_000,
        ids.WallTime(accepted_at),
    )
    return progress.JobProgress(name, record)


def build_configuration(version: int = 1, **fields) -> specs.Configuration:
    """Return a configuration of two pools and a standby pool."""
    queues = tuple(
        specs.Queue(
            ids.QueueId(f'queue-{pool}'),
            'jobs.example',
            f'/{pool}/',
            ids.PoolId(pool),
            max_attempts=2,
            stretch=1.6,
            objective_ms=3_600,
        )
        for pool in ('red', 'blue')
    )
    pools = (
        specs.Pool(ids.PoolId('red'), True),
        specs.Pool(ids.PoolId('blue'), True),
        specs.Pool(ids.PoolId('standby'), True, True),
    )
    defaults: dict[str, Any] = {
        'queues': queues,
        'pools': pools,
        'source': b'{}',
    }
    return specs.Configuration(ids.Version(version), **defaults | fields)


def build_fleet(
    red: int = 2, blue: int = 0, standby: int = 0, **fields
) -> workers.FakeFleet:
    """Return a scheduler with fake workers on hosts of three pools.

    ``fields`` are those of its configuration.
    """
    fleet = workers.FakeFleet(build_configuration(**fields), seed=support.SEED)
    fleet.add_hosts(red, 'red')
    fleet.add_hosts(blue, 'blue')
    fleet.add_hosts(standby, 'standby')
    return fleet


def build_job_id(number: int = 1) -> ids.JobId:
    """Return the id of a caller's job."""
    return ids.JobId(f'{number:016x}')


def build_submission(
    number: int = 1,
    job: specs.Job | None = None,
    pool: str = 'red',
    key: str = '',
) -> calls.SubmitJob:
    """Return the call that submits a job."""
    path = f'/{pool}/{build_job_id(number)}'
    return calls.SubmitJob(
        'jobs.example', path, job or build_batch_job(), ids.ApiKey(key)
    )


def build_organisation(
    name: str = 'north', cores: int = 0, **fields
) -> specs.Organisation:
    """Return an organisation with one key; 0 cores set no limit."""
    defaults: dict[str, Any] = {
        'keys': (ids.ApiKey(f'key-of-{name}'),),
        'limit': specs.Resources(1_000 * cores),
    }
    return specs.Organisation(ids.OrganisationId(name), **defaults | fields)


def build_shared_configuration(
    version: int = 1, **cores: int
) -> specs.Configuration:
    """Return a configuration with organisations and their limits in cores."""
    return build_configuration(
        version,
        requires_keys=True,
        organisations=tuple(
            build_organisation(name, limit) for name, limit in cores.items()
        ),
    )


def build_heartbeat(
    worker: str = 'worker-1', sequence: int = 1, **fields
) -> calls.Heartbeat:
    """Return a heartbeat of a 16-core worker in the red pool."""
    defaults: dict[str, Any] = {
        'incarnation': ids.Incarnation(1),
        'pool': ids.PoolId('red'),
        'zone': ids.AvailabilityZone('az-1'),
        'host': ids.HostId(f'host-of-{worker}'),
        'state': states.WorkerState.READY,
        'capacity': specs.Resources(16_000, 65_536),
        'labels': ('a', 'r1-1'),
    }
    return calls.Heartbeat(
        worker=ids.WorkerId(worker), sequence=sequence, **defaults | fields
    )


def build_heartbeat_body(**fields) -> dict:
    """Return the fields of a worker's heartbeat."""
    return {
        'service': 'red',
        'address': '10.128.0.9:8080',
        'zone': 'az-1',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'capacity': {'cpus': 16_000, 'mem_mb': 32_768, 'gpus': 0},
        'labels': ['a', 'r1-3'],
        'timestamp_ms': 482_113,
        'sequence': 4,
        'born': 1_772_447_999_000,
        'machine': 'm-1',
        'running': [[REPORTED_TASK, 2, 'saved', 41]],
        'finished': [[58, '5c0e7a21d94b36f8.0.1.9', 1, 'done', '']],
    } | fields


def build_configuration_body(**fields) -> dict:
    """Return the fields of a configuration as the operator sends it."""
    route = {
        'name': 'r-1',
        'host': 'jobs.example',
        'path_prefix': '/red/',
        'type': 'non_idempotent',
        'timeout_ms': 3_000,
        'slo_ms': 3_600,
        'priority': 1,
        'service': 'red',
        'max_attempts': 4,
        'stretch_factor': 1.6,
    }
    service = {'name': 'red', 'preconditions': True, 'standby': False}
    return {
        'version': 7,
        'routes': [route],
        'services': [service],
        'limits': {},
    } | fields


def build_tenant_body(name: str = 'north', **fields) -> dict:
    """Return the fields of an organisation as the operator sends them."""
    return {
        'name': name,
        'api_keys': [f'key-of-{name}'],
        'priority': 1,
        'weight': 3,
        'cap': {'cpus': 20_000, 'mem_mb': 4_096, 'gpus': 0},
    } | fields


def build_jobs_task() -> tuple[jobs_task.JobsTask, mailbox.Mailbox]:
    """Return the task of the scheduler and the mailbox of its member."""
    consensus: mailbox.Mailbox = mailbox.Mailbox('consensus', 100)
    task = jobs_task.JobsTask(
        tuning.SchedulerLimits(),
        '10.0.0.4:8080',
        consensus,
        service.TimerService(clock.ManualClock()),
        latencies.Recorder('control-1'),
    )
    return task, consensus


async def start_leading(task: jobs_task.JobsTask) -> None:
    """Let the task schedule with one queue configured."""
    await task.handle(
        build_scheduling_gained(
            ledger.Ledger(configuration=build_configuration())
        )
    )


def build_scheduling_gained(
    job_ledger: ledger.Ledger,
) -> member_messages.SchedulingGained:
    """Return the message that lets a task schedule the jobs of a ledger."""
    return member_messages.SchedulingGained(
        ids.Epoch(1), ledger_copies.copy_ledger(job_ledger)
    )


def take_messages(inbox: mailbox.Mailbox) -> list[Any]:
    """Remove and return all messages of a mailbox."""
    taken = []
    while len(inbox):
        taken.append(inbox.get_nowait())
    return taken


def build_boot_file(
    ip: str = '127.0.0.1', port: int = 7_060, **bounds: float
) -> str:
    """Return the settings that the platform writes for an entry host."""
    lines = [f'{name} = {value}' for name, value in bounds.items()]
    return '\n'.join(
        [
            'node_name = "edge-1"',
            f'ip = "{ip}"',
            'zone = "az-1"',
            f'port_range = [{port}, {port + 7}]',
            f'seeds = ["{ip}:{port + 2}"]',
            '[listen]',
            f'front = "{ip}:{port + 3}"',
            f'ready = "{ip}:{port + 4}"',
            '[bounds]',
            *lines,
        ]
    )
