@0xb1f3c84e5d2a7960;
# State that each host sends to its peers as datagrams. Every message is whole
# by itself: it may be lost, repeated or overtaken.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shallotlatch::fleetwire");

struct TargetUse {
  target @0 :UInt32;        # Hash of the instance.
  running @1 :UInt8;
  promptTokens @2 :UInt32;  # Of requests without a first event.
}

struct CustomerUse {
  customer @0 :UInt32;
  admitted @1 :UInt64;      # Since the host's process began; never falls.
}

struct CrashTally {
  fingerprint @0 :UInt64;
  count @1 :UInt8;
}

struct FleetState {
  host @0 :UInt64;
  run @1 :UInt64;
  sequence @2 :UInt32;
  leaving @3 :Bool;
  configRevision @4 :UInt64; # Newest that the store confirmed to the sender.
  stamp @5 :UInt64;          # Sender's own clock, microseconds.
  echo @6 :UInt64;           # A stamp of the receiver that was heard before
                             # the sender asked the store; 0: none.
  targets @7 :List(TargetUse);
  customers @8 :List(CustomerUse);
  crashes @9 :List(CrashTally);
  echoRun @10 :UInt64;       # The receiver's run that sent that stamp.
  departing @11 :List(UInt32); # Runs of targets that are leaving or gone.
}

struct WaitingAsk {
  serial @0 :UInt32;
  rank @1 :UInt8;
  returned @2 :Bool;
  repeatable @3 :Bool;
  promptTokens @4 :UInt32;
  outputTokens @5 :UInt32;
  objectiveMs @6 :UInt32;
  waitedMs @7 :UInt32;       # At the sender.
  spentMs @8 :UInt32;        # Since its caller's first attempt.
  leftMs @9 :UInt32;         # Until nobody waits for it.
  tried @10 :List(UInt32);   # Hashes of instances.
}

struct HeldRun {
  serial @0 :UInt32;
  target @1 :UInt32;
  promptTokens @2 :UInt32;
  started @3 :Bool;
}

struct EndedRun {
  serial @0 :UInt32;
  sign @1 :UInt8;
}

struct PlaceBook {           # A holder's requests of one service, to its owner.
  host @0 :UInt64;
  run @1 :UInt64;
  sequence @2 :UInt32;
  service @3 :UInt32;
  waiting @4 :List(WaitingAsk);
  held @5 :List(HeldRun);
  ended @6 :List(EndedRun);
}

struct Grant {
  serial @0 :UInt32;
  target @1 :UInt32;
  predictedMs @2 :UInt32;
  running @3 :UInt16;
}

struct Refusal {
  serial @0 :UInt32;
  why @1 :UInt8;
  returnMs @2 :UInt32;
}

struct PlaceReply {          # The owner's answer to a book.
  host @0 :UInt64;
  run @1 :UInt64;
  service @2 :UInt32;
  holderRun @3 :UInt64;
  sequence @4 :UInt32;       # Of the newest book that it has read.
  grants @5 :List(Grant);
  refusals @6 :List(Refusal);
}

struct Datagram {
  union {
    state @0 :FleetState;
    book @1 :PlaceBook;
    reply @2 :PlaceReply;
  }
}
