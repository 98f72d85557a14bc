"""Test which documents a node activates and forwards."""

from persimmonhall.document.active import ActiveDocuments
from tests.builders import make_held_document


def test_lower_revisions_never_replace_higher_ones():
    documents = ActiveDocuments()
    documents.apply_all((make_held_document(revision=2, index=7),))
    documents.apply_all((make_held_document(revision=1, index=3),))
    assert (documents.revisions, documents.index) == ({"cue": 2}, 7)
    assert [held.revision for held in documents.accepted_after(6)] == [2]
    assert documents.accepted_after(7) == ()


def test_unreadable_document_is_forwarded_but_not_active():
    documents = ActiveDocuments()
    documents.apply_all((make_held_document(revision=1, index=3),))
    documents.apply_all((make_held_document(revision=2, index=4, text="new = 1"),))
    assert (documents.revisions, documents.index) == ({"cue": 1}, 4)
    assert [held.revision for held in documents.accepted_after(3)] == [2]
