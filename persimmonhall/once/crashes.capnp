@0xa8e4b92d30c6f157;

struct Death {
  id @0 :Text;
  ageMs @1 :UInt64;
  cleared @2 :Bool;
}

struct Suspect {
  fingerprint @0 :UInt64;
  service @1 :Text;
  request @2 :Text;
  deaths @3 :List(Death);
}

struct SuspectNews {
  digest @0 :UInt64;
  suspects @1 :List(Suspect);
}
