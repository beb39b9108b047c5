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
}
