// Measures the bytes, time and memory of each role at several sizes.
// docs/CAPACITY.md is calculated from these slopes. Usage: shallot-slopes
#include "documents_p.h"
#include "key_bucket_p.h"
#include "node_p.h"
#include "peer_codec_p.h"
#include "pool_p.h"
#include "shallotlatch/builder.h"

#include <malloc.h>

#include <iomanip>
#include <iostream>
#include <memory>

using namespace shallotlatch;

static size_t heapBytes() { return mallinfo2().uordblks; }

static double microsecondsSince(Time Start) {
  return static_cast<double>((ProcessClock::now() - Start).count());
}

static void printFigure(const std::string &Label, double Value,
                        const char *Unit) {
  std::cout << std::left << std::setw(58) << Label << std::right << std::fixed
            << std::setprecision(2) << std::setw(12) << Value << " " << Unit
            << "\n";
}

static SlotRequest makeSlotRequest(uint32_t Number) {
  SlotRequest A;
  A.Id = AskId{Number};
  A.Pool = poolId("region-3", "model-2");
  A.Customer = CustomerId{static_cast<uint32_t>(hashPair(Number, 1))};
  A.Tier = Number % 4;
  A.PromptTokens = 300 + Number % 4000;
  A.OutputTokens = 300;
  A.Slack = millis(20000 + Number);
  A.Prefix = hashPrefixes(std::string(16000, 'a' + Number % 26));
  return A;
}

// Measures the size of a frame with one message and of a frame with eight,
// which gives the bytes of a message alone in its frame and of each further
// message.
template <typename Fill>
static void measureFrameBytes(const std::string &Label, Fill Add) {
  PeerBatch One;
  Add(One, 100001);
  PeerBatch Eight;
  for (uint32_t I = 0; I < 8; ++I) {
    Add(Eight, 100001 + I * 17);
  }
  double SingleBytes = static_cast<double>(encodeFrame(One).size());
  double PerMessageBytes =
      (static_cast<double>(encodeFrame(Eight).size()) - SingleBytes) / 7;
  printFigure(Label + ", alone in its frame", SingleBytes, "bytes");
  printFigure(Label + ", each further one", PerMessageBytes, "bytes");
}

static void measureMessages() {
  std::cout << "-- messages between hosts\n";
  PoolId Pool = poolId("region-3", "model-2");
  measureFrameBytes("ask", [](PeerBatch &B, uint32_t N) {
    B.SlotRequests.push_back(makeSlotRequest(N));
  });
  measureFrameBytes("grant", [](PeerBatch &B, uint32_t N) {
    B.Grants.push_back(Grant{AskId{N}, targetId(std::to_string(N))});
  });
  measureFrameBytes("started", [&](PeerBatch &B, uint32_t N) {
    B.FirstTokenNotices.push_back(FirstTokenNotice{AskId{N}});
  });
  measureFrameBytes("release", [&](PeerBatch &B, uint32_t N) {
    Release R;
    R.Id = AskId{N};
    R.FirstToken = millis(300);
    R.Total = millis(9000);
    R.OutputTokens = 300;
    B.Releases.push_back(R);
  });
  measureFrameBytes("progress of one target", [&](PeerBatch &B, uint32_t N) {
    B.StreamProgressReports.push_back(StreamProgress{
        Pool, targetId(std::to_string(N)), 200, millis(7000), 0});
  });
  measureFrameBytes("heartbeat", [](PeerBatch &B, uint32_t N) {
    Heartbeat H;
    H.Run = Incarnation{1700000000000000ULL + N};
    H.Versions = {Version{120000}, Version{300000}};
    H.Digest = hashPair(N, 2);
    B.Heartbeats.push_back(H);
  });
  measureFrameBytes("opinion", [](PeerBatch &B, uint32_t N) {
    B.LivenessReports.push_back(LivenessReport{
        HostId{hashPair(N, 1)}, Incarnation{1700000000000000},
        HostId{hashPair(N, 2)}, 1700000000, LivenessReport::State::Suspect});
  });
  measureFrameBytes("claim", [](PeerBatch &B, uint32_t N) {
    Claim C;
    C.Key = IdempotencyKey{hashPair(N, 1), hashPair(N, 2),
                           WallMillis{1700000000000}};
    C.BodyHash = hashPair(N, 3);
    C.Owner = Claimant{HostId{hashPair(N, 4)}, Incarnation{1700000000000000},
                       AskId{N}};
    B.Claims.push_back(C);
  });
  for (uint32_t Held : {0u, 50u, 300u}) {
    PeerBatch B;
    EntryStateReport L;
    L.Pool = Pool;
    L.Complete = true;
    L.Waiting = 10;
    L.InFlight = Held;
    L.Digest = hashPair(1, 2);
    for (uint32_t I = 0; I < Held; ++I) {
      L.Held.push_back(
          HeldGrant{AskId{100000 + I}, targetId(std::to_string(I % 40))});
    }
    B.EntryStateReports.push_back(L);
    printFigure("hold list of " + std::to_string(Held),
                static_cast<double>(encodeFrame(B).size()), "bytes");
  }
}

static std::vector<TargetSpec> makeTargets(uint32_t Count) {
  std::vector<TargetSpec> Specs(Count);
  for (uint32_t I = 0; I < Count; ++I) {
    Specs[I].Name = "target-" + std::to_string(I);
    Specs[I].Slots = 8;
  }
  return Specs;
}

// Measures the time of one complete cycle of a slot request (enqueued, granted,
// released), of one tick, and the memory of the pool.
static void measurePool(uint32_t Targets, uint32_t Waiting) {
  size_t Before = heapBytes();
  PolicySpec Policy;
  Policy.PoolCapacity = SHALLOTLATCH_CONFIG_MAX_WAITING;
  std::vector<TargetSpec> Specs = makeTargets(Targets);
  std::vector<const TargetSpec *> Pointers;
  for (const TargetSpec &T : Specs) {
    Pointers.push_back(&T);
  }
  Pool P("region", "group", Policy);
  P.configure(Pointers, Policy);
  Time Now{seconds(100)};
  uint32_t Next = 1;
  std::vector<std::pair<HostId, Grant>> Granted;
  PoolReplies Out;
  auto Enqueue = [&]() {
    SlotRequest A = makeSlotRequest(Next++);
    A.Prefix = PrefixHashes();
    A.Slack = seconds(1000);
    P.enqueue(Now, HostId{Next % 6 + 1}, A, 1, Out);
  };
  while (P.stats().Waiting < Waiting) {
    Enqueue();
  }
  Granted = Out.Grants;
  constexpr uint32_t RequestCount = 20000;
  Time Start = ProcessClock::now();
  for (uint32_t I = 0; I < RequestCount; ++I) {
    Out = PoolReplies();
    Release R;
    R.Id = Granted[I].second.Id;
    P.release(Now, Granted[I].first, R, Out);
    Enqueue();
    Granted.insert(Granted.end(), Out.Grants.begin(), Out.Grants.end());
  }
  printFigure("pool, " + std::to_string(Targets) + " targets, " +
                  std::to_string(Waiting) + " waiting: one turn",
              microsecondsSince(Start) / RequestCount, "us");
  Time TickStart = ProcessClock::now();
  for (int I = 0; I < 1000; ++I) {
    Now += millis(10);
    P.tick(Now, Out);
  }
  printFigure("  one tick", microsecondsSince(TickStart) / 1000, "us");
  printFigure("  memory", static_cast<double>(heapBytes() - Before) / 1024,
              "KiB");
}

static std::string makeHostsJson(uint32_t Count) {
  nlohmann::json List = nlohmann::json::array();
  for (uint32_t I = 0; I < Count; ++I) {
    List.push_back({{"name", "host-" + std::to_string(I)},
                    {"region", "region-" + std::to_string(I % 7)},
                    {"domain", "domain-" + std::to_string(I % 18)},
                    {"peer", "10.0.0.1:7000"}});
  }
  return nlohmann::json{{"hosts", List}}.dump();
}

static std::string makeConfigJson(uint32_t Targets, uint32_t Customers) {
  ConfigBuilder B;
  for (int I = 0; I < 4; ++I) {
    B.tier({"tier-" + std::to_string(I), 0.99});
  }
  for (uint32_t I = 0; I < Customers; ++I) {
    CustomerSpec C;
    C.Name = "customer-" + std::to_string(I);
    B.customer(C, C.Name);
  }
  for (uint32_t I = 0; I < Targets; ++I) {
    TargetSpec T;
    T.Name = "target-" + std::to_string(I);
    T.Group = "model-" + std::to_string(I % 6);
    T.Region = "region-" + std::to_string(I % 7);
    T.Domain = "domain-" + std::to_string(I % 18);
    T.Address = "10.0.0.1:8000";
    B.target(T);
  }
  for (int I = 0; I < 6; ++I) {
    KindSpec K;
    K.Name = "kind-" + std::to_string(I);
    K.Group = "model-" + std::to_string(I);
    K.Tier = "tier-0";
    B.kind(K);
  }
  return B.print();
}

static StoreReply makeDocumentReply(uint32_t Token, uint64_t Number,
                                    const std::string &Body) {
  StoreReply R;
  R.Token = Token;
  R.Result = StoreReply::Status::Ok;
  R.Number = Version{Number};
  R.Body = Body;
  return R;
}

// Measures configuration changes, memory, processor time and traffic of an idle
// node whose configuration and host list have the given sizes. Apart from the
// configuration changes, the node only handles ticks and empty peer messages.
static void measureNode(uint32_t Hosts, uint32_t Targets, uint32_t Customers) {
  size_t Before = heapBytes();
  NodeInit Init;
  Init.Name = "host-0";
  Init.Region = "region-0";
  Init.Run = Incarnation{1700000000000000};
  Init.Start = Time(seconds(100));
  std::unique_ptr<Node> N = std::make_unique<Node>(Init);
  std::string Text = makeConfigJson(Targets, Customers);
  Time Now = Init.Start;
  N->setTime(Now, WallMillis{1700000000000});
  Time Start = ProcessClock::now();
  N->storeReply(makeDocumentReply(1, 1, Text));
  double AdoptUs = microsecondsSince(Start);
  N->storeReply(makeDocumentReply(2, 1, makeHostsJson(Hosts)));
  std::string Label = std::to_string(Hosts) + " hosts, " +
                      std::to_string(Targets) + " targets, " +
                      std::to_string(Customers) + " customers";
  printFigure(Label + ": first configuration", AdoptUs / 1000, "ms");
  printFigure("  size of the configuration",
              static_cast<double>(nlohmann::json::parse(Text).dump().size()) /
                  1024,
              "KiB");
  nlohmann::json Changed = nlohmann::json::parse(Text);
  Changed["customers"][0]["weight"] = 7;
  Start = ProcessClock::now();
  N->storeReply(makeDocumentReply(1, 2, Changed.dump()));
  printFigure("  one change", microsecondsSince(Start) / 1000, "ms");
  PeerBatch Want;
  Want.DocumentRequests.push_back(
      DocumentRequest{DocumentKind::Config, Version{1}});
  N->takeOutbox();
  N->receive(hostId("host-1"), Want);
  size_t PatchBytes = 0;
  for (const auto &Item : N->takeOutbox()) {
    if (!Item.second.DocumentUpdates.empty()) {
      PatchBytes = encodeFrame(Item.second).size();
    }
  }
  printFigure("  that change as a patch", static_cast<double>(PatchBytes),
              "bytes");
  printFigure("  memory of the node",
              static_cast<double>(heapBytes() - Before) / 1e6, "MB");
  size_t BytesSent = 0;
  constexpr int Seconds = 20;
  Start = ProcessClock::now();
  double EncodeUs = 0;
  for (int I = 0; I < Seconds * 100; ++I) {
    Now += millis(10);
    N->setTime(Now, WallMillis{1700000000000});
    N->tick();
    for (uint32_t Other = 1; I % 50 == 0 && Other < Hosts; ++Other) {
      N->receive(hostId("host-" + std::to_string(Other)), PeerBatch());
    }
    Time EncodeStart = ProcessClock::now();
    for (const auto &Item : N->takeOutbox()) {
      BytesSent += encodeFrame(Item.second).size();
    }
    EncodeUs += microsecondsSince(EncodeStart);
    N->takeCommands();
  }
  printFigure("  processor of an idle node, of one core",
              microsecondsSince(Start) / (Seconds * 1e6) * 100, "%");
  printFigure("  membership traffic of an idle node",
              static_cast<double>(BytesSent) / Seconds, "bytes/s");
}

// Measures the size of claim objects and the time to print and parse them.
static void measureClaimObjects() {
  std::cout << "-- claim objects\n";
  for (uint32_t Claims : {10u, 100u, 1000u}) {
    KeyBucket B;
    B.Slot = 28333333;
    for (uint32_t I = 0; I < Claims; ++I) {
      IdempotencyKey K{hashPair(I, 1), hashPair(I, 2),
                       WallMillis{1700000000000 + I}};
      B.Claims[K].Owner = Claimant{HostId{hashPair(I, 3)},
                                   Incarnation{1700000000000000}, AskId{I}};
      B.Claims[K].BodyHash = hashPair(I, 4);
    }
    Time Start = ProcessClock::now();
    std::string Text = printKeyBucket(B);
    parseKeyBucket(Text);
    printFigure("object of " + std::to_string(Claims) + " claims, a claim",
                static_cast<double>(Text.size()) / Claims, "bytes");
    printFigure("  printed and parsed", microsecondsSince(Start), "us");
  }
}

// Measures the traffic of one entry host at the target's rate: 36 requests/s
// over six pools, whose owners are six of its region's 56 hosts. The owners are
// simulated by immediate grants. Requests run for 8 s and generate a token
// every 37 ms.
static void measureEntryHost() {
  constexpr uint32_t RequestsPerSecond = 36;
  constexpr int Seconds = 40;
  NodeInit Init;
  Init.Name = "host-0";
  Init.Region = "region-0";
  Init.Run = Incarnation{1700000000000000};
  Init.Start = Time(seconds(100));
  Node N(Init);
  Time Now = Init.Start;
  N.setTime(Now, WallMillis{1700000000000});
  N.storeReply(makeDocumentReply(1, 1, makeConfigJson(2900, 1100)));
  N.storeReply(makeDocumentReply(2, 1, makeHostsJson(390)));
  std::vector<std::pair<Time, RequestHandle>> Running;
  uint32_t Sent = 0;
  size_t BytesSent = 0;
  size_t FramesSent = 0;
  size_t BytesReceived = 0;
  for (int Step = 0; Step < Seconds * 100; ++Step) {
    Now += millis(10);
    N.setTime(Now, WallMillis{1700000000000});
    N.tick();
    for (uint32_t Other = 1; Step % 50 == 0 && Other < 390; ++Other) {
      N.receive(hostId("host-" + std::to_string(Other)), PeerBatch());
    }
    if (Sent * 100 < RequestsPerSecond * static_cast<uint32_t>(Step)) {
      Submission S;
      S.Customer = customerId("customer-" + std::to_string(Sent % 1100));
      S.Kind = kindId("kind-" + std::to_string(Sent % 6));
      S.PromptTokens = 700;
      S.OutputTokens = 216;
      S.Prefix = hashPrefixes(std::string(2800, 'a' + Sent % 26));
      S.Deadline = seconds(60);
      N.submit(S);
      ++Sent;
    }
    std::map<HostId, PeerBatch> Batches = N.takeOutbox();
    for (auto &Item : Batches) {
      BytesSent += encodeFrame(Item.second).size();
      ++FramesSent;
      PeerBatch Reply;
      for (const SlotRequest &A : Item.second.SlotRequests) {
        Reply.Grants.push_back(Grant{
            A.Id, targetId("target-" + std::to_string(A.Id.Value % 414 * 7))});
      }
      for (const EntryStateReport &L : Item.second.EntryStateReports) {
        PoolLoad Load;
        Load.Pool = L.Pool;
        Reply.PoolLoads.push_back(Load);
      }
      if (!Reply.Grants.empty() || !Reply.PoolLoads.empty()) {
        BytesReceived += encodeFrame(Reply).size();
        N.receive(Item.first, Reply);
      }
    }
    for (const Command &C : N.takeCommands()) {
      if (const DispatchCommand *D = std::get_if<DispatchCommand>(&C)) {
        N.beginSend(D->Request);
        Running.emplace_back(Now, D->Request);
      }
    }
    for (size_t I = 0; I < Running.size();) {
      N.onTokens(Running[I].second, Step % 4 == 0 ? 1 : 0);
      if (Now - Running[I].first > seconds(8)) {
        N.onDispatchEnded(Running[I].second, DispatchEnd());
        Running[I] = Running.back();
        Running.pop_back();
      } else {
        ++I;
      }
    }
  }
  std::cout << "-- entry host at " << RequestsPerSecond << " requests/s\n";
  printFigure("sent to owners, monitors and peers", double(BytesSent) / Seconds,
              "bytes/s");
  printFigure("  frames", double(FramesSent) / Seconds, "1/s");
  printFigure("received from owners", double(BytesReceived) / Seconds,
              "bytes/s");
  printFigure("sent per request, all in", double(BytesSent) / Sent, "bytes");
}

int main() {
  measureMessages();
  measureEntryHost();
  std::cout << "-- pool owner\n";
  measurePool(7, 100);
  measurePool(70, 100);
  measurePool(70, 1000);
  measurePool(70, 10000);
  measurePool(700, 10000);
  measureClaimObjects();
  std::cout << "-- node\n";
  measureNode(8, 15, 5);
  measureNode(100, 700, 300);
  measureNode(390, 2900, 1100);
  return 0;
}
