"""Types of identifiers, counters and times."""

from typing import Annotated
from typing import NewType

import msgspec

# Nine digits fit every counter of the callers' interface.
_NUMBER = '(0|[1-9][0-9]{0,8})'
TASK_NAME_PATTERN = rf'{_NUMBER}\.{_NUMBER}\.{_NUMBER}'

NodeId = NewType('NodeId', str)
HostId = NewType('HostId', str)
PoolId = NewType('PoolId', str)
ServiceId = NewType('ServiceId', str)
CallerId = NewType('CallerId', str)
TeamId = NewType('TeamId', str)
# A customer of the callers' interface; empty for callers without a key.
OrganisationId = NewType('OrganisationId', str)
ApiKey = NewType('ApiKey', str)
JobId = NewType('JobId', str)
JobClass = NewType('JobClass', str)
WaveId = NewType('WaveId', str)
RackId = NewType('RackId', str)
AvailabilityZone = NewType('AvailabilityZone', str)
ImageId = NewType('ImageId', str)
RequestId = NewType('RequestId', str)
OperationId = NewType('OperationId', str)
PermissionId = NewType('PermissionId', str)
IdempotencyKey = NewType('IdempotencyKey', str)
TaskId = NewType('TaskId', str)
CallId = NewType('CallId', str)
TimerId = NewType('TimerId', str)

# A queue is named in the document. A worker is one incarnation of an
# upstream that runs tasks. A task name is "occurrence.step.index" within
# its job; decoders refuse any other text.
QueueId = NewType('QueueId', str)
WorkerId = NewType('WorkerId', str)
TaskName = NewType(
    'TaskName',
    Annotated[str, msgspec.Meta(pattern=rf'\A{TASK_NAME_PATTERN}\Z')],
)
# The address that an upstream announces, "IP:port".
UpstreamId = NewType('UpstreamId', str)

Version = NewType('Version', int)
Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
# Epochs order successive leaders and owners; receivers reject older ones.
Epoch = NewType('Epoch', int)
Incarnation = NewType('Incarnation', int)
# Stands for any process, and for one whose incarnation is not known.
UNKNOWN_INCARNATION = Incarnation(0)
Attempt = NewType('Attempt', int)
# A connection of a peer to a listening address of this process.
ConnectionId = NewType('ConnectionId', int)

# Seconds since the Unix epoch, taken from the clock of the leader.
WallTime = NewType('WallTime', float)
# Seconds of the monotonic clock, comparable only within one process.
MonotonicTime = NewType('MonotonicTime', float)
