@0xe91b7d24c05f3a68;

struct Member {
  node @0 :Text;
  zone @1 :Text;
  region @2 :Text;
  frames @3 :Text;
  incarnation @4 :UInt64;
  version @5 :UInt64;
  service @6 :Text;
  slots @7 :UInt32;
  state @8 :Text;
}

struct Gossip {
  members @0 :List(Member);
}
