@0xe6b8d2f1047ac935;

struct Packet {
  cluster @0 :Text;
  sender @1 :Text;
  replyTo @2 :Text;
  recipient @3 :Text;
  message @4 :Data;
}

struct Join {
  id @0 :Text;
  name @1 :Text;
  address @2 :Text;
  relayed @3 :Bool;
  cluster @4 :Text;
}

struct Forward {
  command @0 :Data;
}

struct ReadIndex {}

struct Remove {
  name @0 :Text;
}

struct Received {
  cluster @0 :Text;
}

struct Forwarded {
  reply @0 :Data;
}

struct ReadAt {
  index @0 :UInt64;
}

struct Declined {
  kind @0 :Text;
  detail @1 :Text;
  ran @2 :Text;
}

struct Ask {
  union {
    packet @0 :Packet;
    join @1 :Join;
    forward @2 :Forward;
    readIndex @3 :ReadIndex;
    remove @4 :Remove;
  }
}

struct Reply {
  union {
    received @0 :Received;
    forwarded @1 :Forwarded;
    readAt @2 :ReadAt;
    declined @3 :Declined;
  }
}
