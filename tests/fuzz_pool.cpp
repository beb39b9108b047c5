// Runs one pool under random slot requests, releases, withdrawals and host
// deaths. The model is a plain map of slot requests; it checks tier order, slot
// limits and that the pool loses no slot request.
#include "fuzz.h"
#include "pool_p.h"

#include <rapidcheck.h>

#include <map>
#include <sstream>

namespace shallotlatch {

namespace {

struct PoolAction {
  enum class Kind : uint8_t {
    RequestSlot,
    Release,
    Withdraw,
    Advance,
    HostLost
  };
  Kind Operation = Kind::RequestSlot;
  uint8_t Tier = 0;
  uint8_t Host = 0;
  uint16_t Amount = 0;
};

std::ostream &operator<<(std::ostream &Out, const PoolAction &A) {
  static const char *const Names[] = {"ask", "release", "withdraw", "advance",
                                      "host gone"};
  return Out << Names[static_cast<int>(A.Operation)] << " tier " << int(A.Tier)
             << " host " << int(A.Host) << " amount " << A.Amount;
}

/// Model of one pool: the slot requests that wait or hold a grant.
struct PoolModel {
  struct RequestState {
    uint8_t Tier = 0;
    bool Granted = false;
    TargetId Target;
  };
  std::map<std::pair<uint64_t, uint32_t>, RequestState> SlotRequests;
  uint32_t Slots = 0;
  std::string Violation;

  uint32_t inFlight(TargetId Target) const {
    uint32_t Count = 0;
    for (const auto &I : this->SlotRequests) {
      Count += I.second.Granted && I.second.Target == Target ? 1 : 0;
    }
    return Count;
  }

  void applyGrant(HostId Host, const Grant &G) {
    auto It = this->SlotRequests.find({Host.Value, G.Id.Value});
    if (It == this->SlotRequests.end() || It->second.Granted) {
      this->Violation = "granted a slot request that was not waiting";
      return;
    }
    for (const auto &I : this->SlotRequests) {
      if (!I.second.Granted && I.second.Tier < It->second.Tier) {
        this->Violation = "granted a lower tier while a higher one waited";
      }
    }
    It->second.Granted = true;
    It->second.Target = G.Target;
    if (this->inFlight(G.Target) > this->Slots) {
      this->Violation = "granted more requests at a target than it has slots";
    }
  }

  void applyRefusal(HostId Host, const Refusal &R) {
    auto It = this->SlotRequests.find({Host.Value, R.Id.Value});
    if (It == this->SlotRequests.end() || It->second.Granted) {
      this->Violation = "refused a slot request that was not waiting";
      return;
    }
    uint8_t Tier = It->second.Tier;
    this->SlotRequests.erase(It);
    for (const auto &I : this->SlotRequests) {
      bool LowerWaits = !I.second.Granted && I.second.Tier > Tier;
      if (R.Why == Reason::Overload && LowerWaits) {
        this->Violation = "shed a higher tier while a lower one was kept";
      }
    }
  }
};

rc::Gen<PoolAction> poolAction() {
  using Kind = PoolAction::Kind;
  return rc::gen::build<PoolAction>(
      rc::gen::set(&PoolAction::Operation,
                   rc::gen::weightedElement<Kind>({{10, Kind::RequestSlot},
                                                   {5, Kind::Release},
                                                   {2, Kind::Withdraw},
                                                   {2, Kind::Advance},
                                                   {1, Kind::HostLost}})),
      rc::gen::set(&PoolAction::Tier, rc::gen::inRange<uint8_t>(0, 4)),
      rc::gen::set(&PoolAction::Host, rc::gen::inRange<uint8_t>(1, 4)),
      rc::gen::set(&PoolAction::Amount, rc::gen::inRange<uint16_t>(0, 500)));
}

class PoolRun {
public:
  PoolRun() : TestedPool("north", "engines", policy()) {
    this->Model.Slots = SlotsPerTarget;
    for (int I = 0; I < 3; ++I) {
      TargetSpec T;
      T.Name = "target-" + std::to_string(I);
      T.Slots = SlotsPerTarget;
      this->Specs.push_back(T);
    }
    std::vector<const TargetSpec *> Pointers;
    for (const TargetSpec &T : this->Specs) {
      Pointers.push_back(&T);
    }
    this->TestedPool.configure(Pointers, policy());
  }

  void act(const PoolAction &A) {
    HostId Host{A.Host};
    PoolReplies Out;
    switch (A.Operation) {
    case PoolAction::Kind::RequestSlot:
      this->requestSlot(A, Out);
      break;
    case PoolAction::Kind::Release:
    case PoolAction::Kind::Withdraw:
      this->releaseOrWithdraw(A, Out);
      break;
    case PoolAction::Kind::Advance:
      this->Now += millis(A.Amount);
      this->TestedPool.tick(this->Now, Out);
      break;
    case PoolAction::Kind::HostLost:
      for (auto It = this->Model.SlotRequests.begin();
           It != this->Model.SlotRequests.end();) {
        bool FromHost = It->first.first == Host.Value;
        It = FromHost ? this->Model.SlotRequests.erase(It) : std::next(It);
      }
      this->TestedPool.onHostLost(this->Now, Host, Out);
      break;
    }
    for (const auto &R : Out.Refusals) {
      this->Model.applyRefusal(R.first, R.second);
    }
    for (const auto &G : Out.Grants) {
      this->Model.applyGrant(G.first, G.second);
    }
    this->compareSizes();
  }

  const std::string &violation() const { return this->Model.Violation; }

private:
  static constexpr uint32_t SlotsPerTarget = 2;

  static PolicySpec policy() {
    PolicySpec P;
    P.PoolCapacity = 8;
    return P;
  }

  void requestSlot(const PoolAction &A, PoolReplies &Out) {
    SlotRequest Request;
    Request.Id = AskId{this->NextId++};
    Request.Tier = A.Tier;
    Request.Customer = CustomerId{uint32_t(A.Amount % 3) + 1};
    Request.PromptTokens = A.Amount;
    Request.OutputTokens = 5;
    Request.Slack = seconds(3);
    HostId Host{A.Host};
    this->Model.SlotRequests[{Host.Value, Request.Id.Value}].Tier = A.Tier;
    this->TestedPool.enqueue(this->Now, Host, Request, 1, Out);
  }

  void releaseOrWithdraw(const PoolAction &A, PoolReplies &Out) {
    if (this->Model.SlotRequests.empty()) {
      return;
    }
    auto It = this->Model.SlotRequests.begin();
    std::advance(It, A.Amount % this->Model.SlotRequests.size());
    HostId Host{It->first.first};
    AskId Id{It->first.second};
    bool Granted = It->second.Granted;
    if (A.Operation == PoolAction::Kind::Release && Granted) {
      this->Model.SlotRequests.erase(It);
      Release R;
      R.Id = Id;
      R.Total = millis(A.Amount);
      this->TestedPool.release(this->Now, Host, R, Out);
    } else if (A.Operation == PoolAction::Kind::Withdraw) {
      this->Model.SlotRequests.erase(It);
      this->TestedPool.withdraw(this->Now, Host, Id, Out);
    }
  }

  void compareSizes() {
    uint32_t Waiting = 0;
    uint32_t InFlight = 0;
    for (const auto &I : this->Model.SlotRequests) {
      (I.second.Granted ? InFlight : Waiting) += 1;
    }
    PoolStats S = this->TestedPool.stats();
    if (S.Waiting != Waiting || S.InFlight != InFlight) {
      this->Model.Violation =
          "the pool's numbers of waiting and granted requests "
          "differ from the model";
    }
  }

  Time Now{seconds(100)};
  std::vector<TargetSpec> Specs;
  Pool TestedPool;
  PoolModel Model;
  uint32_t NextId = 1;
};

} // namespace

bool fuzzPool() {
  return rc::check("a pool keeps tier order and loses nothing", []() {
    std::vector<PoolAction> Actions =
        *rc::gen::container<std::vector<PoolAction>>(poolAction());
    PoolRun Run;
    for (const PoolAction &A : Actions) {
      Run.act(A);
      RC_ASSERT(Run.violation() == "");
    }
  });
}

} // namespace shallotlatch
