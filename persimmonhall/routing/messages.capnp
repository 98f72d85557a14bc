@0xa7c1e58b04d2963f;

struct SpendToken {
  root @0 :Text;
}

struct TokenReply {
  granted @0 :Bool;
}
