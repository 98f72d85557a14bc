@0xe91b7d24c05f3a68;

# A sender, and each item of a list of news, has the layout of packed_news.py.

struct Ping {
  sequence @0 :UInt32;
  target @1 :Text;
  sender @2 :Data;
  documents @3 :UInt64;
  news @4 :Data;
}

struct Ack {
  sequence @0 :UInt32;
  sender @1 :Data;
  documents @2 :UInt64;
  news @3 :Data;
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
  news @3 :Data;
}

struct NodeReport {
  payload @0 :Data;
  topic @1 :UInt8;
  sender @2 :Text;
}

struct Datagram {
  union {
    ping @0 :Ping;
    ack @1 :Ack;
    pingRequest @2 :PingRequest;
    spread @3 :Spread;
    nodeReport @4 :NodeReport;
  }
}

struct CompareDigests {
  digests @0 :List(UInt64);
}

struct PushNews {
  news @0 :Data;
}

struct SyncAsk {
  union {
    compareDigests @0 :CompareDigests;
    pushNews @1 :PushNews;
  }
}

struct Differences {
  buckets @0 :List(UInt16);
  news @1 :Data;
}
