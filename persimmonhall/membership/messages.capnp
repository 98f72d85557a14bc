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

struct News {
  member @0 :Member;
  health @1 :UInt8;
}

struct Ping {
  sequence @0 :UInt32;
  target @1 :Text;
  sender @2 :Member;
  documents @3 :UInt64;
  news @4 :List(News);
}

struct Ack {
  sequence @0 :UInt32;
  sender @1 :Member;
  documents @2 :UInt64;
  news @3 :List(News);
}

struct PingRequest {
  sequence @0 :UInt32;
  target @1 :Text;
  address @2 :Text;
  replyTo @3 :Text;
}

struct Spread {
  sender @0 :Text;
  address @1 :Text;
  documents @2 :UInt64;
  news @3 :List(News);
}

struct Datagram {
  union {
    ping @0 :Ping;
    ack @1 :Ack;
    pingRequest @2 :PingRequest;
    spread @3 :Spread;
  }
}

struct CompareDigests {
  digests @0 :List(UInt64);
}

struct PushNews {
  news @0 :List(News);
}

struct SyncAsk {
  union {
    compareDigests @0 :CompareDigests;
    pushNews @1 :PushNews;
  }
}

struct Differences {
  buckets @0 :List(UInt16);
  news @1 :List(News);
}
