@0xd3a70f5c1b2e4896;

struct HeldRelease {
  index @0 :UInt64;
  version @1 :UInt64;
  text @2 :Data;
}

struct PutRelease {
  digest @0 :Text;
  version @1 :UInt64;
  base @2 :UInt64;
  text @3 :Data;
}

struct PutReleaseReply {
  outcome @0 :Text;
  current @1 :UInt64;
}

struct WatchRelease {
  after @0 :UInt64;
  isNotice @1 :Bool;
}

struct ReleaseSeen {
  release @0 :HeldRelease;
}

struct ConfirmRelease {}

struct ReleaseConfirmed {
  index @0 :UInt64;
}

struct ReleaseState {
  current @0 :HeldRelease;
  accepted @1 :List(Text);
}
