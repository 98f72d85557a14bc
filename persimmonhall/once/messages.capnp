@0xd5f6c7a81b3e9042;

struct ClaimKey {
  claim @0 :Text;
  service @1 :Text;
  key @2 :Text;
  fingerprint @3 :UInt64;
  holder @4 :Text;
  incarnation @5 :UInt64;
  keepMs @6 :UInt64;
}

struct KeptAnswer {
  status @0 :UInt16;
  headers @1 :List(Data);
  body @2 :Data;
  size @3 :UInt64;
  digest @4 :UInt64;
  whole @5 :Bool;
}

struct FinishKey {
  claim @0 :Text;
  service @1 :Text;
  key @2 :Text;
  state @3 :Text;
  answer @4 :KeptAnswer;
}

struct ReleaseKey {
  claim @0 :Text;
  service @1 :Text;
  key @2 :Text;
}

struct ElapseTime {
  elapsedMs @0 :UInt64;
}

struct LoseClaims {
  holder @0 :Text;
  incarnation @1 :UInt64;
}

struct ClaimReply {
  outcome @0 :Text;
  holder @1 :Text;
  incarnation @2 :UInt64;
  answer @3 :KeptAnswer;
}

struct HeldClaim {
  claim @0 :Text;
  service @1 :Text;
  key @2 :Text;
  fingerprint @3 :UInt64;
  holder @4 :Text;
  incarnation @5 :UInt64;
  expiresMs @6 :UInt64;
  state @7 :Text;
  answer @8 :KeptAnswer;
  answerOrder @9 :UInt64;
  released @10 :List(Text);
}

struct ClaimTableState {
  clockMs @0 :UInt64;
  claims @1 :List(HeldClaim);
}
