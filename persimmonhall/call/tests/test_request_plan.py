"""Check what a call takes from the document of its service."""

from persimmonhall.call.messages import decode_call, encode_call
from persimmonhall.call.request_plan import Listener, make_call, plan_request
from persimmonhall.document.active import ActiveDocuments
from persimmonhall.document.schema import DAY_S
from persimmonhall.http.messages import HttpRequest
from persimmonhall.ids import NodeName
from tests.builders import CUE_DOCUMENT, make_held_document

WINDOW = "deadline_ms = 3000\nresend_window_s = 300"


def test_call_carries_the_resend_window_of_its_rule():
    for text, window_s in (
        (CUE_DOCUMENT, DAY_S),
        (CUE_DOCUMENT.replace("deadline_ms = 3000", WINDOW), 300),
    ):
        documents = ActiveDocuments()
        documents.apply(make_held_document(text=text))
        headers = ((b"host", b"cue"),)
        request = HttpRequest("POST", "/publish/warnings", headers, b"warning")
        node = NodeName("suva-cue-1")
        plan = plan_request(request, Listener.CALLERS, node, documents).unwrap()
        call = decode_call(encode_call(make_call(request, plan, 1000)))
        assert call.resend_window_s == window_s
