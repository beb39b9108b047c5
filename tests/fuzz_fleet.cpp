// Runs four nodes under every fault that their interfaces can report. The
// oracle checks that each request runs at most once, verdicts are true, no
// request is lost and the configuration version never decreases.
#include "fleet_fake.h"
#include "fuzz.h"

#include <rapidcheck.h>

#include <iostream>
#include <map>

namespace shallotlatch {

namespace {

enum class ActionKind : uint8_t {
  Submit,
  SubmitKeyed,
  Cancel,
  Advance,
  Kill,
  Start,
  Pause,
  Resume,
  CutLink,
  HealLinks,
  LossyLinks,
  CleanLinks,
  StoreUnavailable,
  StoreBack,
  StoreLosesReplies,
  StoreSlow,
  StoreCopied,
  StoreReturns,
  CrashTarget,
  RefuseTarget,
  Apply,
};

struct FleetAction {
  ActionKind Kind = ActionKind::Advance;
  uint8_t Host = 0;
  uint8_t Other = 0;
  uint16_t Amount = 0;
};

const char *nameOf(ActionKind K) {
  static const char *const Names[] = {
      "submit",       "submit keyed",  "cancel",       "advance",
      "kill",         "start",         "pause",        "resume",
      "cut link",     "heal links",    "lossy links",  "clean links",
      "store out",    "store back",    "store loses",  "store slow",
      "store copied", "store returns", "crash target", "refuse target",
      "apply"};
  return Names[static_cast<int>(K)];
}

std::ostream &operator<<(std::ostream &Out, const FleetAction &A) {
  return Out << nameOf(A.Kind) << " " << int(A.Host) << " " << int(A.Other)
             << " " << A.Amount;
}

rc::Gen<FleetAction> fleetAction() {
  using K = ActionKind;
  return rc::gen::build<FleetAction>(
      rc::gen::set(&FleetAction::Kind,
                   rc::gen::weightedElement<K>({{12, K::Submit},
                                                {14, K::SubmitKeyed},
                                                {2, K::Cancel},
                                                {16, K::Advance},
                                                {3, K::Kill},
                                                {5, K::Start},
                                                {3, K::Pause},
                                                {4, K::Resume},
                                                {2, K::CutLink},
                                                {2, K::HealLinks},
                                                {1, K::LossyLinks},
                                                {2, K::CleanLinks},
                                                {2, K::StoreUnavailable},
                                                {3, K::StoreBack},
                                                {2, K::StoreLosesReplies},
                                                {1, K::StoreSlow},
                                                {2, K::StoreCopied},
                                                {2, K::StoreReturns},
                                                {2, K::CrashTarget},
                                                {1, K::RefuseTarget},
                                                {2, K::Apply}})),
      rc::gen::set(&FleetAction::Host, rc::gen::inRange<uint8_t>(0, 4)),
      rc::gen::set(&FleetAction::Other, rc::gen::inRange<uint8_t>(0, 4)),
      rc::gen::set(&FleetAction::Amount, rc::gen::inRange<uint16_t>(0, 3000)));
}

class FleetRun {
public:
  explicit FleetRun(uint64_t Seed) : Fleet(init(Seed)) {
    this->Fleet.advance(seconds(1));
  }

  void act(const FleetAction &A) {
    switch (A.Kind) {
    case ActionKind::Submit:
      this->submit(A);
      return;
    case ActionKind::SubmitKeyed:
      this->submitKeyed(A);
      return;
    case ActionKind::Cancel:
      if (this->Submitted > 0) {
        this->Fleet.cancel(A.Amount % this->Submitted);
      }
      return;
    case ActionKind::Advance:
      this->Fleet.advance(millis(A.Amount));
      return;
    case ActionKind::Apply:
      this->Fleet.apply(testConfig(++this->Revision));
      return;
    default:
      this->injectFault(A);
    }
  }

  /// Ends all faults, after which every caller must learn how its request
  /// ended. Returns the first violation, or an empty string.
  std::string finish() {
    this->Fleet.healLinks();
    this->Fleet.DropShare = 0;
    this->Fleet.DuplicateShare = 0;
    this->Fleet.ExtraDelay = Duration(0);
    this->Fleet.StoreUnavailable = false;
    this->Fleet.StoreLostReplyShare = 0;
    this->Fleet.RefusingTargets.clear();
    for (uint32_t I = 0; I < Hosts; ++I) {
      this->Fleet.resume(I);
      this->Fleet.start(I);
    }
    this->Fleet.settle(seconds(30));
    this->Fleet.oracle().finish();
    const std::vector<std::string> &Violations =
        this->Fleet.oracle().violations();
    return Violations.empty() ? "" : Violations.front();
  }

  /// Adds the numbers of verdicts and of runs at targets.
  void countResults(std::map<std::string, uint64_t> &ResultCounts) {
    ResultCounts["fleets"] += 1;
    ResultCounts["runs"] += this->Fleet.runs().size();
    for (uint32_t I = 0; I < this->Submitted; ++I) {
      const Verdict *V = this->Fleet.verdict(I);
      std::string ResultText =
          V == nullptr ? "unanswered, the host died"
                       : std::string(name(V->Result)) + ", " + name(V->Why);
      ++ResultCounts[ResultText];
    }
  }

private:
  static constexpr uint32_t Hosts = 4;

  static FleetInit init(uint64_t Seed) {
    FleetInit Init;
    Init.Seed = Seed;
    return Init;
  }

  void submit(const FleetAction &A) {
    static const char *const Kinds[] = {"model-urgent", "model-normal",
                                        "model-routine"};
    static const char *const Customers[] = {"large", "small", "capped"};
    FakeRequest R;
    R.Kind = Kinds[A.Other % 3];
    R.Customer = Customers[A.Amount % 3];
    R.Body = "body " + std::to_string(A.Amount);
    R.PromptTokens = A.Amount;
    this->Fleet.submit(A.Host, R);
    ++this->Submitted;
  }

  // Uses only five keys, so that each key is submitted repeatedly and at
  // different hosts.
  void submitKeyed(const FleetAction &A) {
    FakeRequest R;
    R.Kind = "post";
    R.Customer = "large";
    uint32_t Number = A.Amount % 5;
    R.Key = uuid7(this->FirstDate + Number, Number);
    R.Body = "posting " + std::to_string(Number);
    this->Fleet.submit(A.Host, R);
    ++this->Submitted;
  }

  void injectFault(const FleetAction &A) {
    static const char *const Targets[] = {"north-0", "north-1", "north-2",
                                          "south-2"};
    switch (A.Kind) {
    case ActionKind::Kill:
      this->Fleet.kill(A.Host);
      return;
    case ActionKind::Start:
      this->Fleet.start(A.Host);
      return;
    case ActionKind::Pause:
      this->Fleet.pause(A.Host);
      return;
    case ActionKind::Resume:
      this->Fleet.resume(A.Host);
      return;
    case ActionKind::CutLink:
      this->Fleet.cutLink(A.Host, A.Other, A.Amount % 2 == 0);
      return;
    case ActionKind::HealLinks:
      this->Fleet.healLinks();
      return;
    case ActionKind::LossyLinks:
      this->Fleet.DropShare = 0.1;
      this->Fleet.DuplicateShare = 0.1;
      this->Fleet.ExtraDelay = millis(A.Amount);
      return;
    case ActionKind::CleanLinks:
      this->Fleet.DropShare = 0;
      this->Fleet.DuplicateShare = 0;
      this->Fleet.ExtraDelay = Duration(0);
      return;
    case ActionKind::StoreUnavailable:
    case ActionKind::StoreBack:
      this->Fleet.StoreUnavailable = A.Kind == ActionKind::StoreUnavailable;
      return;
    case ActionKind::StoreLosesReplies:
      this->Fleet.StoreLostReplyShare = A.Amount % 2 == 0 ? 0.5 : 0;
      return;
    case ActionKind::StoreSlow:
      this->Fleet.StoreDelay = millis(3 + A.Amount / 4);
      return;
    case ActionKind::StoreCopied:
      this->Fleet.copyStore();
      this->CopyTaken = true;
      return;
    case ActionKind::StoreReturns:
      if (this->CopyTaken) {
        this->Fleet.restoreStore();
      }
      return;
    case ActionKind::CrashTarget:
      this->Fleet.crashTarget(Targets[A.Other]);
      return;
    default:
      this->Fleet.RefusingTargets.insert(Targets[A.Other]);
    }
  }

  FleetFake Fleet;
  bool CopyTaken = false;
  int64_t FirstDate = Fleet.wallMs();
  uint32_t Submitted = 0;
  uint32_t Revision = 0;
};

} // namespace

bool fuzzFleet() {
  constexpr double SizeFactor = 3;
  std::map<std::string, uint64_t> ResultCounts;
  bool Passed =
      rc::check("the promises hold under every fault", [&ResultCounts]() {
        uint64_t Seed = *rc::gen::arbitrary<uint32_t>();
        std::vector<FleetAction> Actions = *rc::gen::scale(
            SizeFactor,
            rc::gen::container<std::vector<FleetAction>>(fleetAction()));
        FleetRun Run(Seed);
        for (const FleetAction &A : Actions) {
          Run.act(A);
        }
        std::string Violation = Run.finish();
        Run.countResults(ResultCounts);
        RC_ASSERT(Violation == "");
      });
  std::cout << "results of the fleet fuzz test:\n";
  for (const auto &Item : ResultCounts) {
    std::cout << "  " << Item.second << " " << Item.first << "\n";
  }
  return Passed;
}

} // namespace shallotlatch
