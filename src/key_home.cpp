#include "key_home_p.h"

#include <algorithm>

namespace shallotlatch {

// How long claims are gathered before a write.
static constexpr Duration GatherTime = millis(5);
// How long an end may wait for a claim to share its write.
static constexpr Duration SettleGatherTime = millis(500);
static constexpr Duration PendingLifetime = seconds(120);
static constexpr Duration ObjectIdleTime = seconds(60);
static constexpr size_t MaxUndatedClaims = 4096;
static constexpr size_t MaxPendingClaims = 8192;
static constexpr uint32_t FirstToken = 1000;
// Slots that a key's date may be ahead of this host's clock.
static constexpr int64_t SlotsAhead = 1;

KeyHome::KeyHome(NodeEnv &Env, StoreQueue &Queue)
    : Env(Env), Queue(Queue), NextToken(FirstToken) {}

KeyHome::Object &KeyHome::object(const KeyPlace &Place) {
  Object &O = this->Objects[Place.ObjectName];
  if (O.Token == 0) {
    O.Name = Place.ObjectName;
    O.Token = this->NextToken++;
    this->ByToken[O.Token] = O.Name;
  }
  O.LastUsed = this->Env.Now;
  return O;
}

void KeyHome::onClaim(HostId From, const Claim &C) {
  if (!this->Env.ActiveConfig) {
    return;
  }
  KeyPlace Place = placeOf(C.Key, this->Env.ActiveConfig->Policy);
  Object &O = this->object(Place);
  for (const PendingClaim &P : O.Claims) {
    if (P.Wanted.Owner == C.Owner) {
      return;
    }
  }
  if (O.Claims.size() >= MaxPendingClaims) {
    return;
  }
  ++this->Counts.Claims;
  if (O.Claims.empty()) {
    O.FlushAt = this->Env.Now + GatherTime;
  }
  O.Claims.push_back(PendingClaim{From, C, this->Env.Now});
}

void KeyHome::onSettle(const ClaimCompletion &S) {
  if (!this->Env.ActiveConfig) {
    return;
  }
  Object &O = this->object(placeOf(S.Key, this->Env.ActiveConfig->Policy));
  if (O.Claims.empty() && O.Settles.empty()) {
    O.FlushAt = this->Env.Now + SettleGatherTime;
  }
  O.Settles.push_back(S);
}

bool KeyHome::tooNew(int64_t Slot) const {
  int64_t Width = toMillis(this->Env.ActiveConfig->Policy.KeySlot);
  return Slot > this->Env.WallTime.Value / Width + SlotsAhead;
}

void KeyHome::reply(HostId From, const Claim &C, ClaimResult Result,
                    const StoredClaim *Stored) {
  ClaimReply R;
  R.Submission = C.Owner.Submission;
  R.Run = C.Owner.Run;
  R.Result = Result;
  if (Stored != nullptr) {
    R.Holder = Stored->Owner;
    R.Ended = Stored->Ended;
    R.EndedAs = Stored->Result;
  }
  this->Counts.Granted += Result == ClaimResult::Granted ? 1 : 0;
  this->Env.outboxFor(From).ClaimReplies.push_back(R);
}

// Undated keys have no watermark: once their object is full, ended claims make
// room, and such a key could then run again. docs/OPERATIONS.md names the risk
// beside the setting.
static void dropEnded(KeyBucket &B) {
  for (auto It = B.Claims.begin(); It != B.Claims.end(); ++It) {
    if (It->second.Ended) {
      B.Claims.erase(It);
      return;
    }
  }
}

// The key has a claim already. Only a claim that stands in the store is told
// to others: one that this write still has to bring may lose to another home's.
bool KeyHome::placeTaken(Object &O, const PendingClaim &P,
                         const KeyBucket &Next, const StoredClaim &Stored) {
  const Claim &C = P.Wanted;
  bool Durable =
      O.Content.Slot == Next.Slot && O.Content.Claims.count(C.Key) != 0;
  bool Own = Stored.Owner == C.Owner;
  if (!Durable) {
    if (!Own) {
      O.Deferred.push_back(P);
    }
    return Own;
  }
  ClaimResult Result = ClaimResult::Granted;
  if (!Own) {
    Result = Stored.BodyHash == C.BodyHash ? ClaimResult::Taken
                                           : ClaimResult::Conflict;
  }
  this->reply(P.From, C, Result, Own ? nullptr : &Stored);
  return false;
}

// Judges one claim against the object as it is known; returns true when it
// was added to Next and so depends on the write.
bool KeyHome::place(Object &O, const PendingClaim &P, KeyBucket &Next) {
  const Claim &C = P.Wanted;
  int64_t Slot = placeOf(C.Key, this->Env.ActiveConfig->Policy).Slot;
  if (Slot != 0 && this->tooNew(Slot)) {
    this->reply(P.From, C, ClaimResult::TooNew, nullptr);
    return false;
  }
  if (Slot < Next.Slot) {
    this->reply(P.From, C, ClaimResult::Expired, nullptr);
    return false;
  }
  if (Slot > Next.Slot) {
    // The ring came round: everything here is older than the retention.
    Next.Slot = Slot;
    Next.Claims.clear();
  }
  auto It = Next.Claims.find(C.Key);
  if (It != Next.Claims.end()) {
    return this->placeTaken(O, P, Next, It->second);
  }
  if (Slot == 0 && Next.Claims.size() >= MaxUndatedClaims) {
    dropEnded(Next);
  }
  StoredClaim Stored;
  Stored.BodyHash = C.BodyHash;
  Stored.Owner = C.Owner;
  Next.Claims[C.Key] = Stored;
  return true;
}

void KeyHome::settle(const Object &O, KeyBucket &Next) const {
  for (const ClaimCompletion &S : O.Settles) {
    auto It = Next.Claims.find(S.Key);
    if (It == Next.Claims.end() || !(It->second.Owner == S.Owner)) {
      continue;
    }
    if (S.Result == Outcome::NotRun) {
      Next.Claims.erase(It);
    } else {
      It->second.Ended = true;
      It->second.Result = S.Result;
    }
  }
}

void KeyHome::load(Object &O) {
  O.Busy = true;
  StoreRequest R;
  R.Kind = StoreRequest::Op::Read;
  R.Token = O.Token;
  R.Name = O.Name;
  this->Queue.push(std::move(R));
}

void KeyHome::flush(Object &O) {
  if (!O.Loaded) {
    this->load(O);
    return;
  }
  O.Next = O.Content;
  for (const PendingClaim &P : O.Claims) {
    if (this->place(O, P, O.Next)) {
      O.InWrite.push_back(P);
    }
  }
  // After the claims: an end may have overtaken its own claim.
  this->settle(O, O.Next);
  O.SettlesInWrite = O.Settles.size();
  O.Claims = std::move(O.Deferred);
  O.Deferred.clear();
  std::string Body = printKeyBucket(O.Next);
  bool Same = O.InWrite.empty() && Body == printKeyBucket(O.Content);
  if (Same || Body.size() > SHALLOTLATCH_CONFIG_MAX_OBJECT_BYTES) {
    // A full object refuses its newcomers by leaving them unanswered: they
    // end as not run at their deadlines.
    O.InWrite.clear();
    O.Settles.clear();
    return;
  }
  O.Busy = true;
  O.Writing = true;
  StoreRequest R;
  R.Kind = StoreRequest::Op::Write;
  R.Token = O.Token;
  R.Name = O.Name;
  R.Expected = O.Number;
  R.Body = std::move(Body);
  this->Queue.push(std::move(R));
}

bool KeyHome::onStoreReply(const StoreReply &Reply) {
  auto It = this->ByToken.find(Reply.Token);
  if (It == this->ByToken.end()) {
    return false;
  }
  Object &O = this->Objects[It->second];
  O.Busy = false;
  if (O.Writing) {
    O.Writing = false;
    this->onWritten(O, Reply);
  } else {
    this->onLoaded(O, Reply);
  }
  return true;
}

void KeyHome::onLoaded(Object &O, const StoreReply &Reply) {
  bool Found = Reply.Result == StoreReply::Status::Ok;
  if (!Found && Reply.Result != StoreReply::Status::NotFound) {
    return; // The next tick tries again.
  }
  try {
    O.Content = Found ? parseKeyBucket(Reply.Body) : KeyBucket();
  } catch (const std::runtime_error &) {
    return; // Never overwrite what cannot be read.
  }
  O.Number = Found ? Reply.Number : Version();
  O.Loaded = true;
  O.FlushAt = this->Env.Now;
}

// Whatever is not known to be written is read again: a claim that did take
// effect is then recognised by its claimant.
void KeyHome::onWritten(Object &O, const StoreReply &Reply) {
  if (Reply.Result == StoreReply::Status::Ok) {
    ++this->Counts.Commits;
    O.Number = Reply.Number;
    O.Content = std::move(O.Next);
    for (const PendingClaim &P : O.InWrite) {
      this->reply(P.From, P.Wanted, ClaimResult::Granted, nullptr);
    }
    O.Settles.erase(O.Settles.begin(),
                    O.Settles.begin() +
                        static_cast<ptrdiff_t>(O.SettlesInWrite));
  } else {
    this->Counts.Conflicts +=
        Reply.Result == StoreReply::Status::Conflict ? 1 : 0;
    O.Loaded = false;
    O.Claims.insert(O.Claims.begin(), O.InWrite.begin(), O.InWrite.end());
  }
  O.InWrite.clear();
  O.SettlesInWrite = 0;
  O.FlushAt = this->Env.Now;
}

void KeyHome::tick() {
  for (auto It = this->Objects.begin(); It != this->Objects.end();) {
    Object &O = It->second;
    O.Claims.erase(std::remove_if(O.Claims.begin(), O.Claims.end(),
                                  [&](const PendingClaim &P) {
                                    return this->Env.Now - P.Since >
                                           PendingLifetime;
                                  }),
                   O.Claims.end());
    bool Wanted = !O.Claims.empty() || !O.Settles.empty();
    if (Wanted && !O.Busy && this->Env.Now >= O.FlushAt) {
      this->flush(O);
    }
    bool Idle =
        !Wanted && !O.Busy && this->Env.Now - O.LastUsed > ObjectIdleTime;
    if (Idle) {
      this->ByToken.erase(O.Token);
    }
    It = Idle ? this->Objects.erase(It) : std::next(It);
  }
}

KeyHomeStats KeyHome::stats() const {
  KeyHomeStats S = this->Counts;
  for (const auto &Item : this->Objects) {
    S.Pending += static_cast<uint32_t>(Item.second.Claims.size());
  }
  return S;
}

} // namespace shallotlatch
