"""Provide the HTTP API to put and read releases on a control VM."""

from returns.result import Failure, Success

from persimmonhall.control.replica import Replica
from persimmonhall.dialect import Dialect, PutReleaseCall, ReadReleaseCall
from persimmonhall.errors import ErrorKind, Refusal, refuse
from persimmonhall.events import Event, EventLog
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.http.refusals import refusal_answer
from persimmonhall.release.messages import (
    PutRelease,
    PutReleaseReply,
    ReleaseOutcome,
)
from persimmonhall.release.schema import Release

JSON_CONTENT_TYPE = (b"content-type", b"application/json")
# With two voters a change is on two disks before it is acknowledged.
MIN_VOTERS = 2
ERROR_KIND_BY_OUTCOME = {
    ReleaseOutcome.CONFLICT: ErrorKind.RELEASE_CONFLICT,
    ReleaseOutcome.NOT_NEWER: ErrorKind.INVALID_RELEASE,
}


class ReleaseApi:
    """Validate releases, submit them to the log and return the active one."""

    def __init__(
        self,
        replica: Replica,
        dialect: Dialect,
        initial_voter_count: int,
        log: EventLog,
    ):
        self._replica = replica
        self._dialect = dialect
        self._initial_voter_count = initial_voter_count
        self._log = log

    @property
    def _voter_count(self) -> int:
        return len(self._replica.core.replicas.voters)

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer one request."""
        match self._dialect.control_call(request):
            case PutReleaseCall(text):
                return await self._put_release(text)
            case ReadReleaseCall():
                return await self._read_release()
        refusal = refuse(ErrorKind.NOT_FOUND, f"no such resource: {request.target}")
        return refusal_answer(refusal)

    async def _put_release(self, text: bytes) -> HttpAnswer:
        match self._dialect.decode_release(text):
            case Failure(reason):
                refusal = refuse(ErrorKind.INVALID_RELEASE, reason)
                self._log_put(None, refusal)
                return refusal_answer(refusal)
            case Success(release):
                pass
        refusal = await self._refusal_for_missing_voters()
        if refusal is None:
            refusal = await self._submit(release, text)
        self._log_put(release, refusal)
        if refusal is not None:
            return refusal_answer(refusal)
        return HttpAnswer(200, (JSON_CONTENT_TYPE,), b"{}")

    async def _submit(self, release: Release, text: bytes) -> Refusal | None:
        digest = self._dialect.release_digest(text)
        command = PutRelease(digest, release.version, release.base, text)
        match await self._replica.submit(command):
            case Success(PutReleaseReply(ReleaseOutcome.ACCEPTED)):
                return None
            case Success(PutReleaseReply(outcome, current)):
                detail = f"version {current} is active"
                return refuse(ERROR_KIND_BY_OUTCOME[outcome], detail)
            case Failure(refusal):
                return refusal

    async def _refusal_for_missing_voters(self) -> Refusal | None:
        """Refuse releases while the loss of one disk could lose an accepted one."""
        required = self._initial_voter_count
        if self._voter_count >= required:
            return None
        if await self._was_complete():
            required = min(required, MIN_VOTERS)
        voters = self._voter_count
        if voters >= required:
            return None
        detail = f"{voters} of {required} control VMs have joined"
        return refuse(ErrorKind.NO_QUORUM, detail)

    async def _was_complete(self) -> bool:
        """Return whether the set has had all initial voters at some time."""
        if self._has_sign_of_completeness():
            return True
        # This replica may have to catch up first.
        await self._replica.read_barrier()
        return self._has_sign_of_completeness()

    def _has_sign_of_completeness(self) -> bool:
        # The first release is accepted only from a complete set.
        if self._replica.machine.releases.current.text:
            return True
        return self._replica.core.replicas.settled_voters >= self._initial_voter_count

    async def _read_release(self) -> HttpAnswer:
        match await self._replica.read_barrier():
            case Failure(refusal):
                return refusal_answer(refusal)
        held = self._replica.machine.releases.current
        if not held.text:
            return refusal_answer(
                refuse(ErrorKind.NO_RELEASE, "no release accepted yet")
            )
        return HttpAnswer(200, (JSON_CONTENT_TYPE,), held.text)

    def _log_put(self, release: Release | None, refusal: Refusal | None) -> None:
        self._log.emit(
            Event.RELEASE_PUT,
            version=release.version if release else None,
            base=release.base if release else None,
            outcome=refusal.kind.value if refusal else "accepted",
            reason=refusal.detail if refusal else None,
        )
