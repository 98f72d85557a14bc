"""Define the identifier types that several modules share."""

from typing import NewType

ServiceName = NewType("ServiceName", str)
NodeName = NewType("NodeName", str)
ZoneName = NewType("ZoneName", str)
RootId = NewType("RootId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ChangeId = NewType("ChangeId", str)
Revision = NewType("Revision", int)
LogIndex = NewType("LogIndex", int)
TicketId = NewType("TicketId", int)
ClaimId = NewType("ClaimId", str)
Fingerprint = NewType("Fingerprint", int)
DeathId = NewType("DeathId", str)
ReplicaId = NewType("ReplicaId", str)
Term = NewType("Term", int)
RouteName = NewType("RouteName", str)
RouteKey = NewType("RouteKey", tuple[str, str])  # host and path prefix
ReleaseVersion = NewType("ReleaseVersion", int)
ReleaseDigest = NewType("ReleaseDigest", str)
InstanceId = NewType("InstanceId", str)
AttemptId = NewType("AttemptId", str)
CallNumber = NewType("CallNumber", int)
KeyDigest = NewType("KeyDigest", bytes)
OrganisationName = NewType("OrganisationName", str)
