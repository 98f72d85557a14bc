@0x9b27e5d00c61f4a8;

struct Block {
  table @0 :Text;
  data @1 :Data;
}
