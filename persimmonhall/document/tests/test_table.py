"""Test compare-and-set of documents."""

from persimmonhall.document.active import ActiveDocuments
from persimmonhall.document.messages import PutOutcome, TableState
from persimmonhall.document.table import (
    MAX_HISTORY_PER_DOCUMENT,
    MAX_REPLIES,
    SCHEMA,
    DocumentTable,
)
from persimmonhall.wire.codec import decode
from tests.builders import make_held_document, make_put_document


def test_conflicting_put_is_refused_with_author_of_current_revision():
    table = DocumentTable()
    first = table.put(make_put_document(change_id="a", author="ana"), 1)
    second = table.put(make_put_document(change_id="b", author="ben"), 2)
    assert (first.outcome, first.revision) == (PutOutcome.ACCEPTED, 1)
    assert (second.outcome, second.author) == (PutOutcome.CONFLICT, "ana")


def test_resent_change_gets_its_first_reply():
    table = DocumentTable()
    first = table.put(make_put_document(change_id="a"), 1)
    table.put(make_put_document(change_id="b", expected_revision=1), 2)
    assert table.put(make_put_document(change_id="a"), 3) == first
    assert table.get("cue").revision == 2


def test_team_cannot_take_over_a_document():
    table = DocumentTable()
    table.put(make_put_document(), 1)
    taken = table.put(
        make_put_document(change_id="b", team="other", expected_revision=1), 2
    )
    assert taken.outcome is PutOutcome.FORBIDDEN


def test_lower_revision_never_becomes_active():
    documents = ActiveDocuments()
    assert documents.apply(make_held_document(revision=2))
    assert not documents.apply(make_held_document(revision=1))
    assert documents.revisions == {"cue": 2}


def test_restored_table_keeps_first_replies_and_history():
    table = DocumentTable()
    first = table.put(make_put_document(change_id="a", at_ms=5), 1)
    lost = table.put(make_put_document(change_id="b"), 2)
    restored = DocumentTable()
    for block in table.blocks():
        restored.restore(block)
    assert restored.put(make_put_document(change_id="a"), 3) == first
    assert restored.put(make_put_document(change_id="b"), 4) == lost
    assert restored.accepted_after(0) == table.accepted_after(0)
    assert restored.history("cue") == table.history("cue")
    assert [*restored.blocks()] == [*table.blocks()]


def test_replies_and_history_are_bounded():
    table = DocumentTable()
    for number in range(MAX_REPLIES + 10):
        table.put(
            make_put_document(change_id=f"c{number}", expected_revision=number), number
        )
    states = [decode(SCHEMA.TableState, TableState, b) for b in table.blocks()]
    assert sum(len(state.replies) for state in states) == MAX_REPLIES
    assert sum(len(state.history) for state in states) == MAX_HISTORY_PER_DOCUMENT
    assert states[-1].history[-1].revision == MAX_REPLIES + 10
