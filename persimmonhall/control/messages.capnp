@0xb5a1f0c3d7e94a21;

using Departure = import "/departure/table.capnp";
using Once = import "/once/messages.capnp";
using Release = import "/release/table.capnp";

struct HeldDocument {
  service @0 :Text;
  revision @1 :UInt64;
  text @2 :Text;
  team @3 :Text;
  author @4 :Text;
  changeId @5 :Text;
  index @6 :UInt64;
}

struct PutDocument {
  changeId @0 :Text;
  service @1 :Text;
  expectedRevision @2 :UInt64;
  text @3 :Text;
  author @4 :Text;
  team @5 :Text;
  atMs @6 :UInt64;
}

struct PutReply {
  outcome @0 :Text;
  revision @1 :UInt64;
  author @2 :Text;
}

struct NoOp {}

struct NoReply {}

struct Command {
  union {
    putDocument @0 :PutDocument;
    noOp @1 :NoOp;
    claimKey @2 :Once.ClaimKey;
    finishKey @3 :Once.FinishKey;
    releaseKey @4 :Once.ReleaseKey;
    elapseTime @5 :Once.ElapseTime;
    loseClaims @6 :Once.LoseClaims;
    putRelease @7 :Release.PutRelease;
    recordDeparture @8 :Departure.RecordDeparture;
  }
}

struct CommandReply {
  union {
    putReply @0 :PutReply;
    noReply @1 :NoReply;
    claimReply @2 :Once.ClaimReply;
    putReleaseReply @3 :Release.PutReleaseReply;
  }
}

struct FetchDocuments {
  after @0 :UInt64;
}

struct Documents {
  index @0 :UInt64;
  items @1 :List(HeldDocument);
  current @2 :Bool;
}

struct Submit {
  command @0 :Data;
}

struct Submitted {
  reply @0 :Data;
}

struct Declined {
  kind @0 :Text;
  detail @1 :Text;
  ran @2 :Text;
}

struct Ask {
  union {
    fetchDocuments @0 :FetchDocuments;
    submit @1 :Submit;
    watchRelease @2 :Release.WatchRelease;
    confirmRelease @3 :Release.ConfirmRelease;
    recordDeparture @4 :Departure.RecordDeparture;
    listDepartures @5 :Departure.ListDepartures;
  }
}

struct Reply {
  union {
    documents @0 :Documents;
    submitted @1 :Submitted;
    declined @2 :Declined;
    releaseSeen @3 :Release.ReleaseSeen;
    releaseConfirmed @4 :Release.ReleaseConfirmed;
    departureRecorded @5 :Departure.DepartureRecorded;
    departures @6 :Departure.Departures;
  }
}
