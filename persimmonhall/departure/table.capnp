@0xa6c1f48e27d9035b;

struct RecordedDeparture {
  instance @0 :Text;
  bornMs @1 :Int64;
  sequence @2 :Int64;
}

struct RecordDeparture {
  node @0 :Text;
  departure @1 :RecordedDeparture;
}

struct DepartureRecorded {}

struct ListDepartures {
  node @0 :Text;
}

struct Departures {
  items @0 :List(RecordedDeparture);
}

struct DepartureRows {
  rows @0 :List(RecordDeparture);
}
