@0xb1f3c84e5d2a7960;
# Messages that gateway hosts send to each other as datagrams. Every message is
# complete by itself, so it may be lost, repeated or reordered. The C++ type of
# a struct is named where it has another name; src/fleet_codec.cpp encodes the
# messages.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shallotlatch::fleetwire");

struct TargetUse {
  target @0 :UInt32;        # Hash of the target's instance.
  running @1 :UInt8;        # Number of requests, 255 at most.
  promptTokens @2 :UInt32;  # Prompt tokens of the requests that have no first
                            # event yet.
}

struct CustomerUse {
  customer @0 :UInt32;
  admitted @1 :UInt64;      # Amount admitted since the host's process started;
                            # it never decreases.
}

struct CrashTally {         # Sent by earlier releases only.
  fingerprint @0 :UInt64;
  count @1 :UInt8;
}

struct ReportedCrash {      # A target that died under a print.
  target @0 :UInt32;        # Hash of the target's run.
  sinceSentMs @1 :UInt32;   # Time since the request was sent to it.
  sinceBrokenMs @2 :UInt32; # Time since the connection broke.
  contrasted @3 :Bool;      # Requests without the print lived through the
                            # moment. Missing from earlier releases.
}

struct CrashReport {        # All that a host knows of one print, that is of a
                            # request's content or of a part of its prompt.
  print @0 :UInt64;
  crashes @1 :List(ReportedCrash);
  survived @2 :Bool;        # A target completed an answer on it.
  sinceSurvivedMs @3 :UInt32;
}

struct TargetLimit {        # TargetLimitReport: rate that a target named.
  target @0 :UInt32;        # Hash of the target's run.
  limited @1 :Bool;         # False: its last answer named none.
  perSecond @2 :Float64;    # Requests per second from the whole fleet.
  sinceObservedMs @3 :UInt32;
}

struct HostCounts {          # Counts of a host that another host passes on.
  host @0 :UInt64;
  run @1 :UInt64;            # Process run of the host.
  whole @2 :Bool;            # The list of customers is complete.
  customers @3 :List(CustomerUse);
  crashes @4 :List(CrashTally); # Sent by earlier releases only.
}

struct CustomerLevel {
  customer @0 :UInt32;
  level @1 :Int64;           # Amount that the fleet may still admit.
}

struct RouteEvidence {       # RolloutPair: counts of both versions on a route.
  route @0 :UInt32;
  oldSent @1 :UInt32;
  oldGood @2 :UInt32;
  oldFailed @3 :UInt32;
  oldSlow @4 :UInt32;
  newSent @5 :UInt32;
  newGood @6 :UInt32;
  newFailed @7 :UInt32;
  newSlow @8 :UInt32;
}

struct RolloutNews {         # RolloutNews: what a host knows of a roll-out.
  service @0 :UInt32;
  to @1 :UInt32;             # Hash of the version that is rolled out.
  lengthMs @2 :UInt32;       # Time from the order to its deadline.
  ageMs @3 :UInt32;          # Time since the order.
  revision @4 :UInt64;       # Revision of the order's object.
  verdict @5 :UInt8;         # Number of a RolloutVerdict.
  written @6 :UInt8;         # Number of a RolloutState + 1; 0 if none.
  inTouch @7 :Bool;          # The sender hears nearly all hosts.
  hasReport @8 :Bool;        # The fields below are set.
  domain @9 :UInt64;         # Hash of the failure domain.
  host @10 :UInt64;          # 0: the sum over the domain's hosts.
  run @11 :UInt64;
  routes @12 :List(RouteEvidence);
}

struct FleetState {          # HostState: state of a host, sent to its peers.
  host @0 :UInt64;
  run @1 :UInt64;            # Process run of the sender.
  sequence @2 :UInt32;       # Number of the message within the run.
  leaving @3 :Bool;
  configRevision @4 :UInt64; # Sent by earlier releases only.
  stamp @5 :UInt64;          # Time of sending by the sender's own clock, in
                             # microseconds.
  echo @6 :UInt64;           # Latest stamp of the receiver that had reached the
                             # sender before the sender asked the store for the
                             # confirmation; 0 if there is none.
  targets @7 :List(TargetUse);
  customers @8 :List(CustomerUse);
  crashes @9 :List(CrashTally); # Sent by earlier releases only.
  echoRun @10 :UInt64;       # Process run of the receiver that sent `echo`.
  departing @11 :List(UInt32); # Hashes of the runs of targets that the sender
                               # knows to be leaving or gone.
  relayed @12 :List(HostCounts);   # From owners: the hosts of their domain.
  levels @13 :List(CustomerLevel); # From owners to the hosts of their domain.
  echoSequence @14 :UInt32;  # Sequence of the receiver's newest state that the
                             # sender has read in the run `echoRun`.
  heardHosts @15 :UInt32;    # Hosts of the fleet that the sender hears, itself
                             # included.
  servingHosts @16 :UInt32;  # These and the silent ones that may still serve.
  limitsOnly @17 :Bool;      # `targets` is left out.
  crashReports @18 :List(CrashReport);
  deadTargets @19 :List(UInt32); # Hashes of the runs of targets that the sender
                                 # itself found dead lately.
  limits @20 :List(TargetLimit);
  configVersion @21 :UInt64; # Newest configuration version that the store
                             # confirmed to the sender.
  storeEra @22 :UInt64;      # Latest era of the store that the sender saw.
  rollouts @23 :List(RolloutNews); # Only while orders are active.
}

struct WaitingAsk {          # WaitingRequest: it waits for a target.
  serial @0 :UInt32;         # Number that the holder's process gave to it.
  rank @1 :UInt8;            # Priority; 0 is the most urgent.
  returned @2 :Bool;         # The caller was refused before.
  repeatable @3 :Bool;       # The request may run more than once.
  promptTokens @4 :UInt32;
  outputTokens @5 :UInt32;
  objectiveMs @6 :UInt32;    # Time objective from the caller's first attempt to
                             # the first event.
  waitedMs @7 :UInt32;       # Time that the request has waited at the sender.
  spentMs @8 :UInt32;        # Time since the caller's first attempt.
  leftMs @9 :UInt32;         # Time left until the caller stops waiting.
  tried @10 :List(UInt32);   # Hashes of the instances that must not be used
                             # again.
  software @11 :UInt32;      # Hash of the version of its software that the
                             # target must have; 0 if any.
  outputHint @12 :UInt32;    # The caller's estimate of the output tokens; 0 if
                             # there is none.
  customer @13 :UInt32;      # Id of the customer; 0 if it is not known.
}

struct HeldRun {             # HeldRequest: it has a target.
  serial @0 :UInt32;
  target @1 :UInt32;         # Hash of the target's instance.
  promptTokens @2 :UInt32;
  started @3 :Bool;          # The first event has arrived.
}

struct EndedRun {            # FinishedRequest: it no longer uses its target.
  serial @0 :UInt32;
  sign @1 :UInt8;            # Number of an AttemptResult.
  events @2 :UInt16;         # Events of a stream that ended well; 0 if they are
                             # not known.
}

struct TargetPace {          # What the holder observed of a target's streams
                             # since its last such report.
  target @0 :UInt32;         # Hash of the target's instance.
  events @1 :UInt16;         # Events after the first of each stream.
  spanMs @2 :UInt16;         # Sum of the intervals before these events.
}

struct TargetNotice {        # What a target said of itself in its answers.
  target @0 :UInt32;         # Hash of its name, address and start.
  leaving @1 :Bool;
  sinceLeavingMs @2 :UInt32; # Time since it first said so, if it leaves.
  paused @3 :Bool;
  pauseLeftMs @4 :UInt32;    # Time until it may be used again, if it pauses.
}

struct TargetLoad {          # What a target said of itself to the holder.
  target @0 :UInt32;         # Hash of the target's instance.
  use @1 :UInt16;            # Requests that run and wait there.
  slots @2 :UInt16;
  percent @3 :UInt16;        # How long work takes, 100 as usual; 0: not said.
  ageMs @4 :UInt16;          # Time since it said so.
}

struct PlaceBook {           # PlacementReport: all requests that a holder has
                             # of one service, sent to the service's owner.
  host @0 :UInt64;
  run @1 :UInt64;            # Process run of the holder.
  sequence @2 :UInt32;       # Number of the report within the run.
  service @3 :UInt32;
  waiting @4 :List(WaitingAsk);
  held @5 :List(HeldRun);
  ended @6 :List(EndedRun);
  paces @7 :List(TargetPace);
  notices @8 :List(TargetNotice); # What the owner may not know yet.
  loads @9 :List(TargetLoad);
}

struct Grant {               # PlacementGrant: the owner's choice of a target.
  serial @0 :UInt32;
  target @1 :UInt32;         # Hash of the target's instance.
  predictedMs @2 :UInt32;    # Predicted time to the first event.
  running @3 :UInt16;        # Requests on the target before this one.
}

struct Refusal {             # RefusedRequest: the owner refuses a request.
  serial @0 :UInt32;
  why @1 :UInt8;             # Number of a RefusalReason.
  returnMs @2 :UInt32;       # Time after which the caller may try again.
}

struct PlaceReply {          # PlacementReply: the owner's decisions about the
                             # requests of a report.
  host @0 :UInt64;
  run @1 :UInt64;            # Process run of the owner.
  service @2 :UInt32;
  holderRun @3 :UInt64;      # Process run of the holder.
  sequence @4 :UInt32;       # Sequence of the newest report that the owner has
                             # read.
  grants @5 :List(Grant);
  refusals @6 :List(Refusal);
}

struct StreamGroup {         # Streams that one version began.
  software @0 :UInt32;       # Hash of the version; 0 if it is not known.
  streams @1 :List(UInt32);  # Hashes of the ids of the attempts that began them.
}

struct StreamAsk {           # Question for the version that began a stream.
  stream @0 :UInt32;
  service @1 :UInt32;
}

struct StreamNews {          # StreamNews: versions that began streams.
  host @0 :UInt64;
  notes @1 :List(StreamGroup);
  asks @2 :List(StreamAsk);
  answers @3 :List(StreamGroup); # To the asks of an earlier message.
  longestLifeMs @4 :UInt32;  # Time for which streams may still go on, as far as
                             # the sender knows.
  guesses @5 :List(StreamGroup); # To asks for streams that the sender does not
                             # know: the only version that it has seen; 0: it
                             # has seen several.
}

struct Datagram {
  union {
    state @0 :FleetState;
    book @1 :PlaceBook;
    reply @2 :PlaceReply;
    streams @3 :StreamNews;
  }
}
