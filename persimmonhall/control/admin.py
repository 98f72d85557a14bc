"""Handle requests of the administration API."""

import json
import random
import time
import uuid
from dataclasses import asdict
from urllib.parse import parse_qs, urlsplit

from absl import logging
from returns.result import Failure, Result, Success

from persimmonhall.control.replica import Replica
from persimmonhall.control.status import list_replicas, replica_metrics, replica_status
from persimmonhall.document.messages import (
    HeldDocument,
    PutDocument,
    PutOutcome,
    PutReply,
)
from persimmonhall.document.schema import Document, parse_document
from persimmonhall.errors import ErrorKind, Refusal, problem_answer, refuse
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.ids import ChangeId, NodeName, Revision, ServiceName
from persimmonhall.release.api import ReleaseApi
from persimmonhall.settings import TeamSection

TEXT_CONTENT_TYPE = (b"content-type", b"text/plain; charset=utf-8")
JSON_CONTENT_TYPE = (b"content-type", b"application/json")


def json_answer(status: int, body: object) -> HttpAnswer:
    """Return an answer with a JSON body."""
    return HttpAnswer(status, (JSON_CONTENT_TYPE,), json.dumps(body, indent=1).encode())


class AdminApi:
    """Read and change documents, releases and the replica set for teams."""

    def __init__(
        self,
        replica: Replica,
        teams: tuple[TeamSection, ...],
        releases: ReleaseApi,
    ):
        self._replica = replica
        self._releases = releases
        self._teams = {team.token: team for team in teams}
        self._rng = random.Random()

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Handle one request."""
        match await self._route(request):
            case Success(answer):
                return answer
            case Failure(refusal):
                return problem_answer(refusal, self._rng)

    async def _route(self, request: HttpRequest) -> Result[HttpAnswer, Refusal]:
        parts = urlsplit(request.target).path.strip("/").split("/")
        match (request.method, *parts):
            case ("GET", "status"):
                return Success(json_answer(200, replica_status(self._replica)))
            case ("GET", "-", "metrics"):
                page = replica_metrics(self._replica)
                return Success(HttpAnswer(200, (TEXT_CONTENT_TYPE,), page))
            case ("GET", "replicas"):
                return Success(json_answer(200, list_replicas(self._replica)))
            case ("DELETE", "replicas", name):
                return await self._remove_replica(request, NodeName(name))
            case ("GET", "documents", *path):
                return await self._read_documents(path)
            case ("GET", "release"):
                return Success(await self._releases.handle(request))
            case ("PUT", "release"):
                return await self._put_release(request)
            case ("PUT", "documents", service):
                return await self._put_document(request, ServiceName(service))
        return Failure(refuse(ErrorKind.NOT_FOUND, f"unknown path {request.target}"))

    async def _put_release(self, request: HttpRequest) -> Result[HttpAnswer, Refusal]:
        team = self._team_of(request)
        if team is None or not team.operator:
            detail = "only an operator may put a release"
            return Failure(refuse(ErrorKind.FORBIDDEN, detail))
        return Success(await self._releases.handle(request))

    async def _read_documents(self, path: list[str]) -> Result[HttpAnswer, Refusal]:
        match await self._replica.read_barrier():
            case Failure() as failure:
                return failure
        match path:
            case []:
                return Success(json_answer(200, self._list_documents()))
            case [service]:
                return self._get_document(ServiceName(service))
            case [service, "history"]:
                return self._get_history(ServiceName(service))
        return Failure(refuse(ErrorKind.NOT_FOUND, f"unknown path /{'/'.join(path)}"))

    def _list_documents(self) -> list[dict]:
        held = self._replica.machine.documents.accepted_after(0)
        return [_summary(document) for document in held]

    def _get_document(self, service: ServiceName) -> Result[HttpAnswer, Refusal]:
        held = self._replica.machine.documents.get(service)
        if held is None:
            return Failure(refuse(ErrorKind.NOT_FOUND, f"no document for {service}"))
        return Success(json_answer(200, asdict(held)))

    def _get_history(self, service: ServiceName) -> Result[HttpAnswer, Refusal]:
        history = self._replica.machine.documents.history(service)
        if not history:
            return Failure(refuse(ErrorKind.NOT_FOUND, f"no document for {service}"))
        return Success(json_answer(200, [asdict(entry) for entry in history]))

    async def _remove_replica(
        self, request: HttpRequest, name: NodeName
    ) -> Result[HttpAnswer, Refusal]:
        team = self._team_of(request)
        if team is None or not team.operator:
            detail = "only an operator may remove a replica"
            return Failure(refuse(ErrorKind.FORBIDDEN, detail))
        match await self._replica.remove(name):
            case Success():
                logging.info("replica removed name=%s author=%s", name, team.name)
                return Success(json_answer(200, {"removed": name}))
            case failure:
                return failure

    async def _put_document(
        self, request: HttpRequest, service: ServiceName
    ) -> Result[HttpAnswer, Refusal]:
        match self._check_put(request, service):
            case Failure() as failure:
                return failure
            case Success(command):
                pass
        match await self._replica.submit(command):
            case Success(reply):
                self._audit(command, reply)
                return _put_answer(reply, service)
            case failure:
                return failure

    def _check_put(
        self, request: HttpRequest, service: ServiceName
    ) -> Result[PutDocument, Refusal]:
        team = self._team_of(request)
        if team is None:
            return Failure(refuse(ErrorKind.UNAUTHORIZED, "no team has this token"))
        revision = _expected_revision(request)
        if revision is None:
            detail = "?revision=N is required: the revision that this change replaces"
            return Failure(refuse(ErrorKind.BAD_REQUEST, detail))
        try:
            text = request.body.decode("utf-8")
        except UnicodeDecodeError as error:
            return Failure(refuse(ErrorKind.INVALID_DOCUMENT, str(error)))
        match parse_document(text):
            case Failure(problems):
                detail = "; ".join(map(str, problems))
                return Failure(refuse(ErrorKind.INVALID_DOCUMENT, detail))
            case Success(document):
                refusal = _check_owner(document, service, team)
        if refusal is not None:
            return Failure(refusal)
        change_id = request.header(b"persimmonhall-change") or uuid.uuid4().hex
        return Success(
            PutDocument(
                change_id=ChangeId(change_id),
                service=service,
                expected_revision=revision,
                text=text,
                author=team.name,
                team=document.team,
                at_ms=time.time_ns() // 1_000_000,
            )
        )

    def _team_of(self, request: HttpRequest) -> TeamSection | None:
        header = request.header(b"authorization") or ""
        return self._teams.get(header.removeprefix("Bearer "))

    def _audit(self, command: PutDocument, reply: PutReply) -> None:
        logging.info(
            "document change service=%s author=%s change=%s outcome=%s revision=%d",
            command.service,
            command.author,
            command.change_id,
            reply.outcome.value,
            reply.revision,
        )


def _expected_revision(request: HttpRequest) -> Revision | None:
    values = parse_qs(urlsplit(request.target).query).get("revision", [])
    if len(values) != 1 or not values[0].isascii() or not values[0].isdigit():
        return None
    return Revision(int(values[0]))


def _check_owner(
    document: Document, service: ServiceName, team: TeamSection
) -> Refusal | None:
    if document.service != service:
        detail = f"key service: {document.service!r} does not match {service!r}"
        return refuse(ErrorKind.INVALID_DOCUMENT, detail)
    if not team.operator and document.team != team.name:
        detail = f"key team: {document.team!r} is not your team {team.name!r}"
        return refuse(ErrorKind.FORBIDDEN, detail)
    return None


def _summary(held: HeldDocument) -> dict:
    return {
        "service": held.service,
        "revision": held.revision,
        "team": held.team,
        "author": held.author,
    }


def _put_answer(reply: PutReply, service: ServiceName) -> Result[HttpAnswer, Refusal]:
    match reply.outcome:
        case PutOutcome.ACCEPTED:
            body = {"service": service, "revision": reply.revision}
            return Success(json_answer(200, body))
        case PutOutcome.CONFLICT:
            detail = f"revision {reply.revision} by {reply.author!r} is current"
            return Failure(refuse(ErrorKind.REVISION_CONFLICT, detail))
        case PutOutcome.FORBIDDEN:
            detail = f"the document of {service} belongs to another team"
            return Failure(refuse(ErrorKind.FORBIDDEN, detail))
