@0xd9e0416fb83a7c52;

struct HeldDocument {
  service @0 :Text;
  revision @1 :UInt64;
  text @2 :Text;
  team @3 :Text;
  author @4 :Text;
  changeId @5 :Text;
  index @6 :UInt64;
}

struct KnownReply {
  changeId @0 :Text;
  outcome @1 :Text;
  revision @2 :UInt64;
  author @3 :Text;
}

struct HistoryEntry {
  service @0 :Text;
  revision @1 :UInt64;
  author @2 :Text;
  team @3 :Text;
  changeId @4 :Text;
  index @5 :UInt64;
  atMs @6 :UInt64;
}

struct TableState {
  documents @0 :List(HeldDocument);
  replies @1 :List(KnownReply);
  history @2 :List(HistoryEntry);
}
