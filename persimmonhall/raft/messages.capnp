@0xc41e7b0a95d2f386;

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :Text;
  data @3 :Data;
}

struct Member {
  id @0 :Text;
  name @1 :Text;
  address @2 :Text;
  voter @3 :Bool;
}

struct ReplicaSet {
  cluster @0 :Text;
  members @1 :List(Member);
  settledVoters @2 :UInt16;
  removed @3 :List(Text);
}

struct SnapshotHead {
  index @0 :UInt64;
  term @1 :UInt64;
  replicas @2 :ReplicaSet;
  parts @3 :UInt64;
}

struct SnapshotPart {
  data @0 :Data;
}

struct HardState {
  term @0 :UInt64;
  vote @1 :Text;
}

struct Record {
  union {
    hardState @0 :HardState;
    entry @1 :Entry;
    wholeSnapshot @2 :Void;
    snapshotHead @3 :SnapshotHead;
    snapshotPart @4 :SnapshotPart;
  }
}

struct Vote {
  term @0 :UInt64;
  lastIndex @1 :UInt64;
  lastTerm @2 :UInt64;
  pre @3 :Bool;
  transfer @4 :Bool;
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
  pre @2 :Bool;
}

struct Append {
  term @0 :UInt64;
  prevIndex @1 :UInt64;
  prevTerm @2 :UInt64;
  entries @3 :List(Entry);
  commit @4 :UInt64;
  round @5 :UInt64;
}

struct AppendReply {
  term @0 :UInt64;
  success @1 :Bool;
  match @2 :UInt64;
  rejected @3 :UInt64;
  round @4 :UInt64;
}

struct SnapshotChunk {
  term @0 :UInt64;
  index @1 :UInt64;
  snapshotTerm @2 :UInt64;
  replicas @3 :ReplicaSet;
  offset @4 :UInt64;
  parts @5 :List(Data);
  last @6 :Bool;
  round @7 :UInt64;
}

struct ChunkReply {
  term @0 :UInt64;
  index @1 :UInt64;
  offset @2 :UInt64;
  round @3 :UInt64;
}

struct TimeoutNow {
  term @0 :UInt64;
}

struct Message {
  union {
    vote @0 :Vote;
    voteReply @1 :VoteReply;
    append @2 :Append;
    appendReply @3 :AppendReply;
    snapshotChunk @4 :SnapshotChunk;
    chunkReply @5 :ChunkReply;
    timeoutNow @6 :TimeoutNow;
  }
}
