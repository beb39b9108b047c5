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
  configRevision @4 :UInt64;
  configAgeMs @5 :UInt32;   # Since the store confirmed it to the sender.
  targets @6 :List(TargetUse);
  customers @7 :List(CustomerUse);
  crashes @8 :List(CrashTally);
}
