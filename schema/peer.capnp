@0xd3a1c6f0b7e25914;
# Messages between hosts. A PeerBatch contains all messages that one host sends
# to another in one pass of its event loop. The end of a field's name states the
# unit of a duration. src/messages_p.h describes the messages; the C++ type of a
# struct is named here where it has another name.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shallotlatch::wire");

struct Hello {
  host @0 :Text;
  region @1 :Text;
  domain @2 :Text;
  run @3 :UInt64;
  nonce @4 :UInt64;
  proof @5 :Data;   # HMAC-SHA256 of the receiver's nonce under the peer key.
}

struct Ask {        # SlotRequest
  id @0 :UInt32;
  pool @1 :UInt32;
  customer @2 :UInt32;
  promptTokens @3 :UInt32;
  outputTokens @4 :UInt32;
  slackMs @5 :UInt32;
  tier @6 :UInt8;
  prefixStep @7 :UInt8;
  prefixes @8 :List(UInt32);
}

struct Grant { id @0 :UInt32; target @1 :UInt32; }
struct Refusal { id @0 :UInt32; retryMs @1 :UInt32; why @2 :UInt8; }
struct Withdraw { id @0 :UInt32; } # Withdrawal

struct Release {
  id @0 :UInt32;
  totalMs @1 :UInt32;
  firstTokenMs @2 :UInt32;
  outputTokens @3 :UInt16;
  result @4 :UInt8;
}

struct Started { id @0 :UInt32; } # FirstTokenNotice

struct Progress {   # StreamProgress
  pool @0 :UInt32;
  target @1 :UInt32;
  tokens @2 :UInt32;
  streamMs @3 :UInt32;
  stalled @4 :UInt16;
}

struct HoldList {   # EntryStateReport
  pool @0 :UInt32;
  complete @1 :Bool;
  held @2 :List(UInt64);   # Id of the slot request in the upper 32 bits, target
                           # in the lower 32 bits.
  waiting @3 :UInt32;
  digest @4 :UInt64;
  inFlight @5 :UInt32;
}

# IdempotencyKey
struct Key { high @0 :UInt64; low @1 :UInt64; dateMs @2 :Int64; }
struct Claimant { host @0 :UInt64; run @1 :UInt64; submission @2 :UInt32; }
struct Claim { key @0 :Key; bodyHash @1 :UInt64; owner @2 :Claimant; }

struct ClaimReply {
  submission @0 :UInt32;
  result @1 :UInt8;
  ended @2 :Bool;
  endedAs @3 :UInt8;
  holder @4 :Claimant;
  run @5 :UInt64;
}

# ClaimCompletion
struct Settle { key @0 :Key; owner @1 :Claimant; result @2 :UInt8; }
# OutcomeRequest
struct Join { submission @0 :UInt32; holder @1 :Claimant; run @2 :UInt64; }

struct JoinReply {  # OutcomeReply
  submission @0 :UInt32;
  known @1 :Bool;
  outcome @2 :UInt8;
  why @3 :UInt8;
  retryMs @4 :UInt32;
  answer @5 :Data;
  run @6 :UInt64;
}

struct Heartbeat {
  run @0 :UInt64;
  leaving @1 :Bool;
  configVersion @2 :UInt64;
  hostsVersion @3 :UInt64;
  digest @4 :UInt64;
}

struct Opinion {    # LivenessReport
  subject @0 :UInt64;
  subjectRun @1 :UInt64;
  monitor @2 :UInt64;
  version @3 :UInt32;
  seen @4 :UInt8;
}

struct CrashCount {
  print @0 :UInt64;
  host @1 :UInt64;
  epoch @2 :UInt32;
  halves @3 :UInt32; # Crashes in units of half a crash.
}

# TargetStatusUpdate
struct TargetNote { target @0 :UInt32; version @1 :UInt32; leaving @2 :Bool; }
struct PoolLoad { pool @0 :UInt32; freeSlots @1 :UInt32; waitMs @2 :List(UInt32); }
# DocumentRequest
struct DocumentWant { have @0 :UInt64; what @1 :UInt8; }

struct DocumentBody { # DocumentUpdate
  base @0 :UInt64;
  number @1 :UInt64;
  hash @2 :UInt64;
  text @3 :Data;
  what @4 :UInt8;
}

# LimitRequest
struct LimitAsk { customer @0 :UInt32; wanted @1 :UInt32; inFlight @2 :UInt32; }
struct LimitGrant { customer @0 :UInt32; tokens @1 :UInt32; concurrency @2 :UInt32; }

struct PeerBatch {
  asks @0 :List(Ask);
  grants @1 :List(Grant);
  refusals @2 :List(Refusal);
  withdrawals @3 :List(Withdraw);
  releases @4 :List(Release);
  progresses @5 :List(Progress);
  holdLists @6 :List(HoldList);
  askAgains @7 :List(UInt32);
  claims @8 :List(Claim);
  claimReplies @9 :List(ClaimReply);
  settles @10 :List(Settle);
  joins @11 :List(Join);
  joinReplies @12 :List(JoinReply);
  heartbeats @13 :List(Heartbeat);
  opinions @14 :List(Opinion);
  crashCounts @15 :List(CrashCount);
  targetNotes @16 :List(TargetNote);
  poolLoads @17 :List(PoolLoad);
  documentWants @18 :List(DocumentWant);
  documentBodies @19 :List(DocumentBody);
  limitAsks @20 :List(LimitAsk);
  limitGrants @21 :List(LimitGrant);
  starts @22 :List(Started);
}

struct Frame {
  union {
    hello @0 :Hello;
    batch @1 :PeerBatch;
  }
}
