@0x9b27e5d00c61f4a8;

struct PartState {
  name @0 :Text;
  data @1 :Data;
}

struct MachineState {
  index @0 :UInt64;
  parts @1 :List(PartState);
}
