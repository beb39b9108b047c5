#include "key_home_p.h"

#include <algorithm>

namespace shallotlatch {

// How long claims are gathered before a write.
static constexpr Duration ClaimBatchDelay = millis(5);
// How long an end may wait for a claim to share its write.
static constexpr Duration SettleBatchDelay = millis(500);
static constexpr Duration PendingClaimTimeout = seconds(120);
static constexpr Duration ObjectIdleTime = seconds(60);
static constexpr size_t MaxUndatedClaims = 4096;
static constexpr size_t MaxPendingClaims = 8192;
static constexpr uint32_t FirstToken = 1000;
// Slots that a key's date may be ahead of this host's clock.
static constexpr int64_t MaxSlotsAhead = 1;

ClaimWriter::ClaimWriter(NodeEnv &Env, StoreQueue &Queue)
    : Env(Env), Queue(Queue), NextToken(FirstToken) {}

ClaimWriter::Object &ClaimWriter::bucketObject(const ClaimLocation &Place) {
  Object &O = this->Objects[Place.ObjectName];
  if (O.Token == 0) {
    O.Name = Place.ObjectName;
    O.Token = this->NextToken++;
    this->NameByToken[O.Token] = O.Name;
  }
  O.LastUsed = this->Env.Now;
  return O;
}

void ClaimWriter::onClaim(HostId From, const Claim &C) {
  if (!this->Env.ActiveConfig) {
    return;
  }
  ClaimLocation Place = claimLocation(C.Key, this->Env.ActiveConfig->Policy);
  Object &O = this->bucketObject(Place);
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
    O.FlushAt = this->Env.Now + ClaimBatchDelay;
  }
  O.Claims.push_back(PendingClaim{From, C, this->Env.Now});
}

void ClaimWriter::onSettle(const ClaimCompletion &S) {
  if (!this->Env.ActiveConfig) {
    return;
  }
  Object &O =
      this->bucketObject(claimLocation(S.Key, this->Env.ActiveConfig->Policy));
  if (O.Claims.empty() && O.Settles.empty()) {
    O.FlushAt = this->Env.Now + SettleBatchDelay;
  }
  O.Settles.push_back(S);
}

bool ClaimWriter::tooNew(int64_t Slot) const {
  int64_t Width = toMillis(this->Env.ActiveConfig->Policy.KeySlot);
  return Slot > this->Env.WallTime.Value / Width + MaxSlotsAhead;
}

void ClaimWriter::reply(HostId From, const Claim &C, ClaimResult Result,
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
bool ClaimWriter::stageExistingClaim(Object &O, const PendingClaim &P,
                                     const KeyBucket &Next,
                                     const StoredClaim &Stored) {
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
bool ClaimWriter::stageClaim(Object &O, const PendingClaim &P,
                             KeyBucket &Next) {
  const Claim &C = P.Wanted;
  int64_t Slot = claimLocation(C.Key, this->Env.ActiveConfig->Policy).Slot;
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
    return this->stageExistingClaim(O, P, Next, It->second);
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

void ClaimWriter::stageSettles(const Object &O, KeyBucket &Next) const {
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

void ClaimWriter::load(Object &O) {
  O.CallInFlight = true;
  StoreRequest R;
  R.Kind = StoreRequest::Op::Read;
  R.Token = O.Token;
  R.Name = O.Name;
  this->Queue.push(std::move(R));
}

void ClaimWriter::flush(Object &O) {
  if (!O.Loaded) {
    this->load(O);
    return;
  }
  O.Next = O.Content;
  for (const PendingClaim &P : O.Claims) {
    if (this->stageClaim(O, P, O.Next)) {
      O.ClaimsInWrite.push_back(P);
    }
  }
  // After the claims: an end may have overtaken its own claim.
  this->stageSettles(O, O.Next);
  O.SettlesInWrite = O.Settles.size();
  O.Claims = std::move(O.Deferred);
  O.Deferred.clear();
  std::string Body = printKeyBucket(O.Next);
  bool Same = O.ClaimsInWrite.empty() && Body == printKeyBucket(O.Content);
  if (Same || Body.size() > SHALLOTLATCH_CONFIG_MAX_OBJECT_BYTES) {
    // A full object refuses its newcomers by leaving them unanswered: they
    // end as not run at their deadlines.
    O.ClaimsInWrite.clear();
    O.Settles.clear();
    return;
  }
  O.CallInFlight = true;
  O.Writing = true;
  StoreRequest R;
  R.Kind = StoreRequest::Op::Write;
  R.Token = O.Token;
  R.Name = O.Name;
  R.Expected = O.Number;
  R.Body = std::move(Body);
  this->Queue.push(std::move(R));
}

bool ClaimWriter::onStoreReply(const StoreReply &Reply) {
  auto It = this->NameByToken.find(Reply.Token);
  if (It == this->NameByToken.end()) {
    return false;
  }
  Object &O = this->Objects[It->second];
  O.CallInFlight = false;
  if (O.Writing) {
    O.Writing = false;
    this->onWritten(O, Reply);
  } else {
    this->onLoaded(O, Reply);
  }
  return true;
}

void ClaimWriter::onLoaded(Object &O, const StoreReply &Reply) {
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
void ClaimWriter::onWritten(Object &O, const StoreReply &Reply) {
  if (Reply.Result == StoreReply::Status::Ok) {
    ++this->Counts.Commits;
    O.Number = Reply.Number;
    O.Content = std::move(O.Next);
    for (const PendingClaim &P : O.ClaimsInWrite) {
      this->reply(P.From, P.Wanted, ClaimResult::Granted, nullptr);
    }
    O.Settles.erase(O.Settles.begin(),
                    O.Settles.begin() +
                        static_cast<ptrdiff_t>(O.SettlesInWrite));
  } else {
    this->Counts.Conflicts +=
        Reply.Result == StoreReply::Status::Conflict ? 1 : 0;
    O.Loaded = false;
    O.Claims.insert(O.Claims.begin(), O.ClaimsInWrite.begin(),
                    O.ClaimsInWrite.end());
  }
  O.ClaimsInWrite.clear();
  O.SettlesInWrite = 0;
  O.FlushAt = this->Env.Now;
}

void ClaimWriter::tick() {
  for (auto It = this->Objects.begin(); It != this->Objects.end();) {
    Object &O = It->second;
    O.Claims.erase(std::remove_if(O.Claims.begin(), O.Claims.end(),
                                  [&](const PendingClaim &P) {
                                    return this->Env.Now - P.ReceivedAt >
                                           PendingClaimTimeout;
                                  }),
                   O.Claims.end());
    bool Wanted = !O.Claims.empty() || !O.Settles.empty();
    if (Wanted && !O.CallInFlight && this->Env.Now >= O.FlushAt) {
      this->flush(O);
    }
    bool Idle = !Wanted && !O.CallInFlight &&
                this->Env.Now - O.LastUsed > ObjectIdleTime;
    if (Idle) {
      this->NameByToken.erase(O.Token);
    }
    It = Idle ? this->Objects.erase(It) : std::next(It);
  }
}

ClaimWriterStats ClaimWriter::stats() const {
  ClaimWriterStats S = this->Counts;
  for (const auto &Item : this->Objects) {
    S.Pending += static_cast<uint32_t>(Item.second.Claims.size());
  }
  return S;
}

} // namespace shallotlatch
