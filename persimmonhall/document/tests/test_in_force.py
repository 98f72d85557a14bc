"""Check which documents a node holds and passes on."""

from persimmonhall.document.in_force import DocumentsInForce
from tests.builders import make_held_document


def test_lower_revisions_never_replace_higher_ones():
    documents = DocumentsInForce()
    documents.apply_all((make_held_document(revision=2, index=7),))
    documents.apply_all((make_held_document(revision=1, index=3),))
    assert (documents.revisions, documents.index) == ({"cue": 2}, 7)
    assert [held.revision for held in documents.after(6)] == [2]
    assert documents.after(7) == ()


def test_a_text_that_is_too_new_to_read_is_passed_on_but_not_in_force():
    documents = DocumentsInForce()
    documents.apply_all((make_held_document(revision=1, index=3),))
    documents.apply_all((make_held_document(revision=2, index=4, text="new = 1"),))
    assert (documents.revisions, documents.index) == ({"cue": 1}, 4)
    assert [held.revision for held in documents.after(3)] == [2]
