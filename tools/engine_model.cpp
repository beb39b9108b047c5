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

uint32_t EngineModel::cached(const PrefixHashes &Prefix) const {
  for (uint32_t I = 0; I < Prefix.Count; ++I) {
    if (this->Cache.count(Prefix.Hashes[I]) != 0) {
      return Prefix.tokens(I);
    }
  }
  return 0;
}

void EngineModel::remember(const PrefixHashes &Prefix) {
  for (uint32_t I = 0; I < Prefix.Count; ++I) {
    this->Cache[Prefix.Hashes[I]] = ++this->Uses;
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
    uint32_t Hit = std::min(this->cached(J.Prefix), J.PromptTokens);
    J.LeftPrefill = J.PromptTokens - Hit;
    this->Counts.CachedTokens += Hit;
    this->Batch.push_back(J);
  }
}

uint32_t EngineModel::prefillThisStep() const {
  uint32_t Wanted = 0;
  for (const Job &J : this->Batch) {
    Wanted += J.LeftPrefill;
  }
  return std::min(Wanted, this->Init.PrefillChunk);
}

double EngineModel::beginStep(double Slowdown) {
  this->admit();
  double Decode =
      this->Init.DecodeMs * 1000 *
      (1 + static_cast<double>(this->Batch.size()) / this->Init.BatchSoftness);
  double Prefill =
      this->prefillThisStep() * 1e6 / this->Init.PrefillTokensPerSecond;
  return (Decode + Prefill) * Slowdown;
}

std::vector<EngineEvent> EngineModel::step() {
  std::vector<EngineEvent> Events;
  uint32_t Room = this->Init.PrefillChunk;
  for (Job &J : this->Batch) {
    if (J.LeftPrefill > 0) {
      uint32_t Part = std::min(Room, J.LeftPrefill);
      J.LeftPrefill -= Part;
      J.DonePrefill += Part;
      Room -= Part;
      this->Counts.PrefillTokens += Part;
      if (J.LeftPrefill > 0) {
        continue;
      }
    }
    if (!J.Started) {
      this->remember(J.Prefix);
    }
    ++this->Counts.OutputTokens;
    Events.push_back(EngineEvent{J.Request, J.Produced, !J.Started,
                                 J.Produced + 1 == J.OutputTokens});
    J.Started = true;
    ++J.Produced;
  }
  this->Batch.erase(
      std::remove_if(this->Batch.begin(), this->Batch.end(),
                     [](const Job &J) { return J.Produced == J.OutputTokens; }),
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
  this->Counts.UselessTokens += Running->DonePrefill;
  this->Batch.erase(Running);
  return true;
}

std::vector<uint64_t> EngineModel::crash() {
  std::vector<uint64_t> Lost;
  for (const Job &J : this->Batch) {
    this->Counts.UselessTokens += J.DonePrefill;
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
