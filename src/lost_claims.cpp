#include "lost_claims_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace shallotlatch {

using nlohmann::json;

static const char *const ObjectName = "claims/returns";

bool LostClaims::recordEra(uint64_t Named) {
  if (Named <= this->Era) {
    return false;
  }
  bool Returned = this->Era != 0;
  this->Era = Named;
  this->CallInFlight = false;
  this->Write = false;
  return Returned;
}

bool LostClaims::known() const {
  return this->Era <= 1 || this->KnownEra == this->Era;
}

bool LostClaims::mayHaveBeenClaimed(int64_t Slot, int64_t CurrentSlot) const {
  return this->Era > 1 && (Slot == 0 ? CurrentSlot : Slot) <= this->LostSlot;
}

std::optional<StoreRequest> LostClaims::nextCall(int64_t NewestSlot) {
  if (this->known() || this->CallInFlight) {
    return std::nullopt;
  }
  this->CallInFlight = true;
  StoreRequest R;
  R.Token = this->Write ? WriteToken : ReadToken;
  R.Name = ObjectName;
  if (this->Write) {
    this->WrittenSlot = std::max(NewestSlot, this->LostSlot);
    R.Kind = StoreRequest::Op::Write;
    R.Expected = this->Expected;
    R.Body = json{{"era", this->Era}, {"lostSlot", this->WrittenSlot}}.dump();
  }
  return R;
}

// The first host to write decides; the others read its slot. After a conflict
// or a lost reply the object is read again.
void LostClaims::onReply(const StoreReply &Reply) {
  this->CallInFlight = false;
  this->Write = false;
  if (Reply.Era < this->Era) {
    return;
  }
  if (Reply.Token == WriteToken) {
    if (Reply.Result == StoreReply::Status::Ok) {
      this->LostSlot = this->WrittenSlot;
      this->KnownEra = this->Era;
    }
    return;
  }
  if (Reply.Result == StoreReply::Status::NotFound) {
    this->Expected = Version();
    this->Write = true;
  }
  if (Reply.Result != StoreReply::Status::Ok) {
    return;
  }
  json Root = json::parse(Reply.Body, nullptr, false);
  bool Readable = Root.is_object() && Root.contains("era") &&
                  Root["era"].is_number_unsigned() &&
                  Root.contains("lostSlot") &&
                  Root["lostSlot"].is_number_integer();
  if (!Readable) {
    return; // An object that cannot be parsed is never overwritten.
  }
  this->LostSlot = std::max(this->LostSlot, Root["lostSlot"].get<int64_t>());
  if (Root["era"].get<uint64_t>() == this->Era) {
    this->KnownEra = this->Era;
  } else {
    this->Expected = Reply.Number;
    this->Write = true;
  }
}

} // namespace shallotlatch
