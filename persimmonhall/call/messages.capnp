@0xc2d94e8f11a7b356;

struct Call {
  service @0 :Text;
  method @1 :Text;
  target @2 :Text;
  headers @3 :List(Data);
  body @4 :Data;
  root @5 :Text;
  entry @6 :Text;
  depth @7 :UInt16;
  worth @8 :Text;
  remainingMs @9 :UInt32;
  idempotent @10 :Bool;
  key @11 :Text;
  maxAnswerBytes @12 :UInt32;
  resendWindowS @13 :UInt32;
}

struct Load {
  inFlight @0 :UInt32;
  queued @1 :UInt32;
  limit @2 :UInt32;
  latencyUs @3 :UInt32;
}

struct Answered {
  status @0 :UInt16;
  headers @1 :List(Data);
  body @2 :Data;
  load @3 :Load;
}

struct Refused {
  kind @0 :Text;
  detail @1 :Text;
  ran @2 :Text;
  retryAfterS @3 :Float64;
  load @4 :Load;
}

struct Reply {
  union {
    answered @0 :Answered;
    refused @1 :Refused;
  }
}
