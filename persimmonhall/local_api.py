"""Serve the local backend server and operators on the loopback listener."""

import json
import random
from collections.abc import Callable

from returns.result import Failure, Result, Success

from persimmonhall.call.entry import Entry
from persimmonhall.call.request_plan import Listener
from persimmonhall.document.active import ActiveDocuments
from persimmonhall.errors import ErrorKind, Refusal, problem_answer, refuse
from persimmonhall.http.messages import HttpAnswer, HttpRequest
from persimmonhall.membership.backend_watch import BackendWatch, parse_announcement
from persimmonhall.membership.gossip import Gossiper
from persimmonhall.membership.table import MemberTable
from persimmonhall.once.api import QUARANTINE_PATH, QuarantineApi

API_PREFIX = "/-/"
TEXT_CONTENT_TYPE = (b"content-type", b"text/plain; charset=utf-8")
JSON_CONTENT_TYPE = (b"content-type", b"application/json")


class LocalApi:
    """Handle announcements and operator requests; pass others to the entry."""

    def __init__(
        self,
        entry: Entry,
        watch: BackendWatch,
        gossiper: Gossiper,
        table: MemberTable,
        documents: ActiveDocuments,
        quarantine: QuarantineApi,
        metrics: Callable[[], bytes],
        drain: Callable[[], None],
        rng: random.Random,
    ):
        self._entry = entry
        self._watch = watch
        self._gossiper = gossiper
        self._table = table
        self._documents = documents
        self._quarantine = quarantine
        self._metrics = metrics
        self._drain = drain
        self._rng = rng

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Handle one request from this machine."""
        if not request.target.startswith(API_PREFIX):
            return await self._entry.handle(request, Listener.LOCAL)
        if (request.method, request.target) == ("GET", "/-/documents"):
            return _json_answer(await self._document_status())
        match self._route(request):
            case Success(answer):
                return answer
            case Failure(refusal):
                return problem_answer(refusal, self._rng)

    def _route(self, request: HttpRequest) -> Result[HttpAnswer, Refusal]:
        path = request.target.removeprefix(API_PREFIX)
        if path.startswith(QUARANTINE_PATH):
            return self._quarantine.handle(request.method, path)
        match (request.method, path):
            case ("POST", "announce"):
                return parse_announcement(request.body).map(self._handle_announcement)
            case ("GET", "status"):
                return Success(self._status())
            case ("GET", "metrics"):
                return Success(HttpAnswer(200, (TEXT_CONTENT_TYPE,), self._metrics()))
            case ("POST", "drain"):
                self._drain()
                return Success(HttpAnswer(202, ()))
        return Failure(
            refuse(ErrorKind.NOT_FOUND, f"no {request.target} in the local API")
        )

    def _handle_announcement(self, backend) -> HttpAnswer:
        self._watch.handle_announcement(backend)
        return HttpAnswer(204, ())

    def _status(self) -> HttpAnswer:
        members = [
            {
                "node": member.node,
                "zone": member.zone,
                "service": member.service,
                "state": member.state.value,
            }
            for member in self._table.all_members()
        ]
        body = {
            "node": self._table.local_member.node,
            "members": members,
            "documents": self._documents.revisions,
            "datagram_bytes": self._gossiper.datagram_bytes,
        }
        return _json_answer(body)

    async def _document_status(self) -> dict:
        """Query the document index of all members and count the nodes per revision."""
        reported_indexes = await self._gossiper.collect_document_indexes()
        document_indexes = [self._documents.index, *reported_indexes.values()]
        services = [
            {
                "service": service,
                "revision": revision,
                "nodes": sum(
                    index >= self._documents.index_of(service)
                    for index in document_indexes
                ),
            }
            for service, revision in self._documents.revisions.items()
        ]
        return {
            "members": self._gossiper.member_count,
            "answered": len(document_indexes),
            "documents": services,
        }


def _json_answer(body: dict) -> HttpAnswer:
    return HttpAnswer(200, (JSON_CONTENT_TYPE,), json.dumps(body, indent=1).encode())
