"""Define the platform's wire names; no other module repeats them."""

from persimmonhall.dialect import HeaderNames

SETTINGS_VARIABLE = "PERSIMMONHALL_CONFIG"

HEADER_NAMES = HeaderNames(
    attempt=b"x-attempt-id",
    deadline_ms=b"x-deadline-ms",
    expected_instance=b"x-expected-instance",
    caller_service=b"x-caller-service",
    not_executed=b"x-not-executed",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    organisation=b"x-tenant",
)

READY_PATH = "/ready"
CALLS_PATH = "/rpc"
REPORT_CALL = "instances.heartbeat"
LEAVE_CALL = "instances.deregister"
PUT_RELEASE_CALL = "configuration.replace"
READ_RELEASE_CALL = "configuration.read"
