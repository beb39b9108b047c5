#include "engine_model.h"

#include <algorithm>

namespace shallotlatch {

void EngineModel::add(uint64_t Request, uint32_t PromptTokens,
                      uint32_t OutputTokens, const PrefixHashes &Prefix) {
  Job J;
  J.Request = Request;
  J.PromptTokens = PromptTokens;
  J.OutputTokens = std::max<uint32_t>(OutputTokens, 1);
  J.Prefix = Prefix;
  this->Queue.push_back(J);
}

uint32_t EngineModel::cachedTokenCount(const PrefixHashes &Prefix) const {
  for (uint32_t I = 0; I < Prefix.Count; ++I) {
    if (this->Cache.count(Prefix.Hashes[I]) != 0) {
      return Prefix.tokens(I);
    }
  }
  return 0;
}

void EngineModel::cachePrefixes(const PrefixHashes &Prefix) {
  for (uint32_t I = 0; I < Prefix.Count; ++I) {
    this->Cache[Prefix.Hashes[I]] = ++this->UseCount;
  }
  while (this->Cache.size() > this->Init.CachedPrefixes) {
    auto Oldest = std::min_element(
        this->Cache.begin(), this->Cache.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    this->Evicted.push_back(Oldest->first);
    this->Cache.erase(Oldest);
  }
}

std::vector<uint32_t> EngineModel::takeEvicted() {
  std::vector<uint32_t> Taken;
  Taken.swap(this->Evicted);
  return Taken;
}

void EngineModel::admit() {
  while (!this->Queue.empty() && this->Batch.size() < this->Init.MaxBatch) {
    Job J = this->Queue.front();
    this->Queue.pop_front();
    uint32_t Hit = std::min(this->cachedTokenCount(J.Prefix), J.PromptTokens);
    J.RemainingPrefill = J.PromptTokens - Hit;
    this->Counts.CachedTokens += Hit;
    this->Batch.push_back(J);
  }
}

uint32_t EngineModel::prefillThisStep() const {
  uint32_t Wanted = 0;
  for (const Job &J : this->Batch) {
    Wanted += J.RemainingPrefill;
  }
  return std::min(Wanted, this->Init.PrefillChunk);
}

double EngineModel::beginStep(double Slowdown) {
  this->admit();
  double Decode = this->Init.DecodeMs * 1000 *
                  (1 + static_cast<double>(this->Batch.size()) /
                           this->Init.BatchDoublingSize);
  double Prefill =
      this->prefillThisStep() * 1e6 / this->Init.PrefillTokensPerSecond;
  return (Decode + Prefill) * Slowdown;
}

std::vector<EngineEvent> EngineModel::step() {
  std::vector<EngineEvent> Events;
  uint32_t TokenBudget = this->Init.PrefillChunk;
  for (Job &J : this->Batch) {
    if (J.RemainingPrefill > 0) {
      uint32_t Part = std::min(TokenBudget, J.RemainingPrefill);
      J.RemainingPrefill -= Part;
      J.CompletedPrefill += Part;
      TokenBudget -= Part;
      this->Counts.PrefillTokens += Part;
      if (J.RemainingPrefill > 0) {
        continue;
      }
    }
    if (!J.Started) {
      this->cachePrefixes(J.Prefix);
    }
    ++this->Counts.OutputTokens;
    Events.push_back(EngineEvent{J.Request, J.ProducedTokens, !J.Started,
                                 J.ProducedTokens + 1 == J.OutputTokens});
    J.Started = true;
    ++J.ProducedTokens;
  }
  this->Batch.erase(std::remove_if(this->Batch.begin(), this->Batch.end(),
                                   [](const Job &J) {
                                     return J.ProducedTokens == J.OutputTokens;
                                   }),
                    this->Batch.end());
  return Events;
}

bool EngineModel::cancel(uint64_t Request) {
  auto Same = [&](const Job &J) { return J.Request == Request; };
  auto Waiting = std::find_if(this->Queue.begin(), this->Queue.end(), Same);
  if (Waiting != this->Queue.end()) {
    this->Queue.erase(Waiting);
    return true;
  }
  auto Running = std::find_if(this->Batch.begin(), this->Batch.end(), Same);
  if (Running == this->Batch.end()) {
    return false;
  }
  this->Counts.WastedPrefillTokens += Running->CompletedPrefill;
  this->Batch.erase(Running);
  return true;
}

std::vector<uint64_t> EngineModel::crash() {
  std::vector<uint64_t> Lost;
  for (const Job &J : this->Batch) {
    this->Counts.WastedPrefillTokens += J.CompletedPrefill;
    Lost.push_back(J.Request);
  }
  for (const Job &J : this->Queue) {
    Lost.push_back(J.Request);
  }
  this->Batch.clear();
  this->Queue.clear();
  this->Cache.clear();
  return Lost;
}

} // namespace shallotlatch
