#include "node_env_p.h"

namespace shallotlatch {

template <typename Item>
static void append(std::vector<Item> &To, const std::vector<Item> &From) {
  To.insert(To.end(), From.begin(), From.end());
}

void NodeEnv::mergeDelayed() {
  for (auto It = this->Delayed.begin(); It != this->Delayed.end();) {
    bool Leaves = this->Now >= It->second.Due || It->first == this->Self ||
                  this->Outbox.count(It->first) != 0;
    if (!Leaves) {
      ++It;
      continue;
    }
    PeerBatch &Batch = this->Outbox[It->first];
    append(Batch.FirstTokenNotices, It->second.FirstTokenNotices);
    append(Batch.Releases, It->second.Releases);
    append(Batch.StreamProgressReports, It->second.StreamProgressReports);
    It = this->Delayed.erase(It);
  }
}

} // namespace shallotlatch
