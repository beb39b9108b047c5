/// \file
/// Claims that are missing since the object store came back from an older copy.
/// One object of the store names, for the current era, the newest slot in which
/// keys may have been claimed before it began.
#pragma once

#include "store_p.h"

#include <optional>

namespace shallotlatch {

/// Tells which keys may have been claimed by a claim that is lost.
class LostClaims {
public:
  /// Tokens of the calls that `nextCall` returns.
  static constexpr uint32_t WriteToken = 998;
  static constexpr uint32_t ReadToken = 999;

  /// Records the era that a reply named; returns whether it began since the
  /// last one.
  bool recordEra(uint64_t Era);
  uint64_t era() const { return this->Era; }
  /// Returns whether the store's object for this era was read or written.
  bool known() const;
  /// Returns whether a key of \p Slot that has no claim may have been claimed
  /// before the era. Keys without a date have slot 0; they count as lost until
  /// all dated ones of the former era have passed.
  bool mayHaveBeenClaimed(int64_t Slot, int64_t CurrentSlot) const;
  /// Returns the next call that makes `known` true, if one is due.
  /// \p NewestSlot: newest slot in which a key may be dated now.
  std::optional<StoreRequest> nextCall(int64_t NewestSlot);
  /// Handles the reply to such a call.
  void onReply(const StoreReply &Reply);

private:
  uint64_t Era = 0;
  uint64_t KnownEra = 0; ///< Era for which `LostSlot` holds.
  int64_t LostSlot = 0;
  bool CallInFlight = false;
  bool Write = false;      ///< The next call writes the object.
  Version Expected;        ///< Version of the object that was read.
  int64_t WrittenSlot = 0; ///< Slot in the write that is in flight.
};

} // namespace shallotlatch
