"""Identifiers and counters that parts exchange."""

from typing import NewType

NodeId = NewType('NodeId', str)
HostId = NewType('HostId', str)
PoolId = NewType('PoolId', str)
ServiceId = NewType('ServiceId', str)
CallerId = NewType('CallerId', str)
TeamId = NewType('TeamId', str)
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

# A queue is named by the document; a worker is one life of an upstream
# that runs tasks; a task name is "occurrence.step.index" within its job.
QueueId = NewType('QueueId', str)
WorkerId = NewType('WorkerId', str)
TaskName = NewType('TaskName', str)
# An upstream is named by the address that it announces, "IP:port".
UpstreamId = NewType('UpstreamId', str)

Version = NewType('Version', int)
Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
# Epochs order successive leaders and owners; receivers refuse older ones.
Epoch = NewType('Epoch', int)
Incarnation = NewType('Incarnation', int)
Attempt = NewType('Attempt', int)

# Seconds since the Unix epoch, as the leader stamped them.
WallTime = NewType('WallTime', float)
# Seconds of a clock that never goes back, meaningful in one process only.
MonotonicTime = NewType('MonotonicTime', float)
