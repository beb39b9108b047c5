// The holder's side: requests that another host places.
#include "place_books_p.h"

#include <algorithm>

namespace shallotlatch {

// An owner within the failure domain answers in about a millisecond; one whose
// processor share is used up pauses for up to a tenth of a second.
static constexpr Duration OwnerPatience = millis(120);
// A book that holds anything is repeated this often, another one this often.
static constexpr Duration RepeatInterval = millis(100);
static constexpr Duration IdleInterval = millis(400);
// First events are told this late, so that they share datagrams.
static constexpr Duration LazyInterval = millis(20);

bool PlaceHolder::answering(Time Now) const {
  return this->Owner.isValid() && this->Answered != Time() &&
         (this->UnansweredSince == Time() ||
          Now - this->UnansweredSince < OwnerPatience);
}

void PlaceHolder::setOwner(HostId Next) {
  if (Next == this->Owner) {
    return;
  }
  this->Owner = Next;
  this->Answered = Time();
  this->UnansweredSince = Time();
  this->Urgent = true;
}

void PlaceHolder::ask(const PlaceAsk &Ask, Time Now) {
  this->Asks[Ask.Run] = {AskSerial{this->NextSerial++}, Ask, Now};
  this->Urgent = true;
}

void PlaceHolder::withdraw(RunId Run) {
  this->Urgent = this->Asks.erase(Run) != 0 || this->Urgent;
}

void PlaceHolder::placed(RunId Run, uint32_t Target, double PromptTokens) {
  auto It = this->Asks.find(Run);
  HeldRun H;
  if (It != this->Asks.end()) {
    H.Serial = It->second.Serial;
    this->Asks.erase(It);
  } else {
    H.Serial = AskSerial{this->NextSerial++};
  }
  H.Target = Target;
  H.PromptTokens = PromptTokens;
  this->Held[Run] = H;
  this->Changed = true;
}

void PlaceHolder::started(RunId Run) {
  auto It = this->Held.find(Run);
  if (It != this->Held.end() && !It->second.Started) {
    It->second.Started = true;
    this->Changed = true;
  }
}

void PlaceHolder::ended(RunId Run, RunSign Sign) {
  auto It = this->Held.find(Run);
  if (It != this->Held.end()) {
    this->Ended.push_back({It->second.Serial, Sign});
    this->Held.erase(It);
    this->Urgent = true;
  }
}

void PlaceHolder::receive(const PlaceReply &Reply, Time Now,
                          std::vector<std::pair<PlaceAsk, PlaceGrant>> &Granted,
                          std::vector<PlaceRefusal> &Refused) {
  if (Reply.Host != this->Owner || Reply.Sequence > this->Sequence) {
    return;
  }
  this->Answered = Now;
  if (Reply.Sequence == this->Sequence) {
    this->UnansweredSince = Time();
  } else if (Reply.Sequence > this->AnsweredSequence) {
    this->UnansweredSince = Now;
  }
  this->AnsweredSequence = std::max(this->AnsweredSequence, Reply.Sequence);
  std::unordered_map<AskSerial, RunId> BySerial;
  for (const auto &Item : this->Asks) {
    BySerial[Item.second.Serial] = Item.first;
  }
  for (const PlaceGrant &G : Reply.Grants) {
    auto It = BySerial.find(G.Serial);
    if (It != BySerial.end()) {
      // Held from here on: the grant may be repeated before it is acted on.
      const PlaceAsk Ask = this->Asks[It->second].Ask;
      this->placed(Ask.Run, G.Target, Ask.PromptTokens);
      Granted.emplace_back(Ask, G);
    }
  }
  for (const AskRefusal &R : Reply.Refusals) {
    auto It = BySerial.find(R.Serial);
    if (It != BySerial.end()) {
      Refused.push_back({It->second, R.Why, R.RetryAfter});
      this->Asks.erase(It->second);
      this->Changed = true;
    }
  }
}

std::vector<PlaceAsk> PlaceHolder::takeBack(Time Now) {
  std::vector<PlaceAsk> Back;
  if (this->Asks.empty() || this->answering(Now)) {
    return Back;
  }
  for (const auto &Item : this->Asks) {
    Back.push_back(Item.second.Ask);
  }
  std::sort(Back.begin(), Back.end(),
            [](const PlaceAsk &A, const PlaceAsk &B) { return A.Run < B.Run; });
  this->Asks.clear();
  this->Urgent = true;
  return Back;
}

bool PlaceHolder::waitedSince(Time Now, Duration Limit) const {
  return std::any_of(
      this->Asks.begin(), this->Asks.end(),
      [&](const auto &Item) { return Now - Item.second.At > Limit; });
}

bool PlaceHolder::due(Time Now) const {
  if (!this->Owner.isValid()) {
    return false;
  }
  Duration Since = Now - this->Sent;
  bool Anything = !this->Asks.empty() || !this->Held.empty();
  return this->Urgent || (this->Changed && Since >= LazyInterval) ||
         Since >= (Anything ? RepeatInterval : IdleInterval);
}

PlaceBook PlaceHolder::book(Time Now) {
  PlaceBook Book;
  Book.Sequence = ++this->Sequence;
  for (const auto &Item : this->Asks) {
    const PlaceAsk &Ask = Item.second.Ask;
    WaitingAsk W;
    W.Serial = Item.second.Serial;
    W.Rank = Ask.Rank;
    W.Returned = Ask.Returned;
    W.Repeatable = Ask.Repeatable;
    W.PromptTokens = Ask.PromptTokens;
    W.OutputTokens = Ask.OutputTokens;
    W.Objective = Ask.Objective;
    W.Waited = Now - Ask.Arrived;
    W.Spent = Now - Ask.FirstAsked;
    W.Left = std::max(Duration(0), Ask.Deadline - Now);
    for (const std::string &Instance : Ask.Tried) {
      W.Tried.push_back(instanceHash(Instance));
    }
    Book.Waiting.push_back(std::move(W));
  }
  for (const auto &Item : this->Held) {
    Book.Held.push_back(Item.second);
  }
  Book.Ended = this->EndedBefore;
  Book.Ended.insert(Book.Ended.end(), this->Ended.begin(), this->Ended.end());
  this->EndedBefore.swap(this->Ended);
  this->Ended.clear();
  if (this->UnansweredSince == Time()) {
    this->UnansweredSince = Now;
  }
  this->Sent = Now;
  this->Urgent = false;
  this->Changed = false;
  return Book;
}

} // namespace shallotlatch
