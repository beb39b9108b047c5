// One pool under random asks, releases, withdrawals and host deaths. The model
// is a plain list; it checks tier order, slots, and that nothing is lost.
#include "fuzz.h"
#include "pool_p.h"

#include <rapidcheck.h>

#include <map>
#include <sstream>

namespace shallotlatch {

namespace {

struct PoolAction {
  enum class Kind : uint8_t { Ask, Release, Withdraw, Advance, HostGone };
  Kind What = Kind::Ask;
  uint8_t Tier = 0;
  uint8_t Host = 0;
  uint16_t Amount = 0;
};

std::ostream &operator<<(std::ostream &Out, const PoolAction &A) {
  static const char *const Names[] = {"ask", "release", "withdraw", "advance",
                                      "host gone"};
  return Out << Names[static_cast<int>(A.What)] << " tier " << int(A.Tier)
             << " host " << int(A.Host) << " amount " << A.Amount;
}

/// What a list of asks says about one pool.
struct PoolModel {
  struct Item {
    uint8_t Tier = 0;
    bool Granted = false;
    TargetId Target;
  };
  std::map<std::pair<uint64_t, uint32_t>, Item> Items;
  uint32_t Slots = 0;
  std::string Broken;

  uint32_t inFlight(TargetId Target) const {
    uint32_t Count = 0;
    for (const auto &I : this->Items) {
      Count += I.second.Granted && I.second.Target == Target ? 1 : 0;
    }
    return Count;
  }

  void granted(HostId Host, const Grant &G) {
    auto It = this->Items.find({Host.Value, G.Id.Value});
    if (It == this->Items.end() || It->second.Granted) {
      this->Broken = "granted what did not wait";
      return;
    }
    for (const auto &I : this->Items) {
      if (!I.second.Granted && I.second.Tier < It->second.Tier) {
        this->Broken = "granted a lower tier while a higher one waited";
      }
    }
    It->second.Granted = true;
    It->second.Target = G.Target;
    if (this->inFlight(G.Target) > this->Slots) {
      this->Broken = "granted more than a target's slots";
    }
  }

  void refused(HostId Host, const Refusal &R) {
    auto It = this->Items.find({Host.Value, R.Id.Value});
    if (It == this->Items.end() || It->second.Granted) {
      this->Broken = "refused what did not wait";
      return;
    }
    uint8_t Tier = It->second.Tier;
    this->Items.erase(It);
    for (const auto &I : this->Items) {
      bool Lower = !I.second.Granted && I.second.Tier > Tier;
      if (R.Why == Reason::Overload && Lower) {
        this->Broken = "shed a higher tier while a lower one was kept";
      }
    }
  }
};

rc::Gen<PoolAction> poolAction() {
  using Kind = PoolAction::Kind;
  return rc::gen::build<PoolAction>(
      rc::gen::set(&PoolAction::What,
                   rc::gen::weightedElement<Kind>({{10, Kind::Ask},
                                                   {5, Kind::Release},
                                                   {2, Kind::Withdraw},
                                                   {2, Kind::Advance},
                                                   {1, Kind::HostGone}})),
      rc::gen::set(&PoolAction::Tier, rc::gen::inRange<uint8_t>(0, 4)),
      rc::gen::set(&PoolAction::Host, rc::gen::inRange<uint8_t>(1, 4)),
      rc::gen::set(&PoolAction::Amount, rc::gen::inRange<uint16_t>(0, 500)));
}

class PoolRun {
public:
  PoolRun() : Decisions("north", "engines", policy()) {
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
    this->Decisions.configure(Pointers, policy());
  }

  void act(const PoolAction &A) {
    HostId Host{A.Host};
    PoolReplies Out;
    switch (A.What) {
    case PoolAction::Kind::Ask:
      this->ask(A, Out);
      break;
    case PoolAction::Kind::Release:
    case PoolAction::Kind::Withdraw:
      this->giveBack(A, Out);
      break;
    case PoolAction::Kind::Advance:
      this->Now += millis(A.Amount);
      this->Decisions.tick(this->Now, Out);
      break;
    case PoolAction::Kind::HostGone:
      for (auto It = this->Model.Items.begin();
           It != this->Model.Items.end();) {
        bool Mine = It->first.first == Host.Value;
        It = Mine ? this->Model.Items.erase(It) : std::next(It);
      }
      this->Decisions.onHostLost(this->Now, Host, Out);
      break;
    }
    for (const auto &R : Out.Refusals) {
      this->Model.refused(R.first, R.second);
    }
    for (const auto &G : Out.Grants) {
      this->Model.granted(G.first, G.second);
    }
    this->compareSizes();
  }

  const std::string &broken() const { return this->Model.Broken; }

private:
  static constexpr uint32_t SlotsPerTarget = 2;

  static PolicySpec policy() {
    PolicySpec P;
    P.PoolCapacity = 8;
    return P;
  }

  void ask(const PoolAction &A, PoolReplies &Out) {
    SlotRequest Wanted;
    Wanted.Id = AskId{this->NextAsk++};
    Wanted.Tier = A.Tier;
    Wanted.Customer = CustomerId{uint32_t(A.Amount % 3) + 1};
    Wanted.PromptTokens = A.Amount;
    Wanted.OutputTokens = 5;
    Wanted.Slack = seconds(3);
    HostId Host{A.Host};
    this->Model.Items[{Host.Value, Wanted.Id.Value}].Tier = A.Tier;
    this->Decisions.enqueue(this->Now, Host, Wanted, 1, Out);
  }

  void giveBack(const PoolAction &A, PoolReplies &Out) {
    if (this->Model.Items.empty()) {
      return;
    }
    auto It = this->Model.Items.begin();
    std::advance(It, A.Amount % this->Model.Items.size());
    HostId Host{It->first.first};
    AskId Id{It->first.second};
    bool Granted = It->second.Granted;
    if (A.What == PoolAction::Kind::Release && Granted) {
      this->Model.Items.erase(It);
      Release R;
      R.Id = Id;
      R.Total = millis(A.Amount);
      this->Decisions.release(this->Now, Host, R, Out);
    } else if (A.What == PoolAction::Kind::Withdraw) {
      this->Model.Items.erase(It);
      this->Decisions.withdraw(this->Now, Host, Id, Out);
    }
  }

  void compareSizes() {
    uint32_t Waiting = 0;
    uint32_t InFlight = 0;
    for (const auto &I : this->Model.Items) {
      (I.second.Granted ? InFlight : Waiting) += 1;
    }
    PoolStats S = this->Decisions.stats();
    if (S.Waiting != Waiting || S.InFlight != InFlight) {
      this->Model.Broken = "the pool lost or kept an ask";
    }
  }

  Time Now{seconds(100)};
  std::vector<TargetSpec> Specs;
  Pool Decisions;
  PoolModel Model;
  uint32_t NextAsk = 1;
};

} // namespace

bool fuzzPool() {
  return rc::check("a pool keeps tier order and loses nothing", []() {
    std::vector<PoolAction> Actions =
        *rc::gen::container<std::vector<PoolAction>>(poolAction());
    PoolRun Run;
    for (const PoolAction &A : Actions) {
      Run.act(A);
      RC_ASSERT(Run.broken() == "");
    }
  });
}

} // namespace shallotlatch
