#include "oracle.h"

namespace shallotlatch {

void Oracle::fail(size_t Submission, const std::string &What) {
  this->Broken.push_back("submission " + std::to_string(Submission) + ": " +
                         What);
}

void Oracle::submitted(size_t Submission, const std::string &Key,
                       const std::string &Host) {
  Record &R = this->Records[Submission];
  R.Key = Key;
  R.Host = Host;
}

void Oracle::ran(size_t Submission) {
  Record &R = this->Records[Submission];
  if (++R.Runs > 1) {
    this->fail(Submission, "dispatched twice");
  }
  if (!R.Key.empty() && ++this->RunsByKey[R.Key] > 1) {
    this->fail(Submission, "key " + R.Key + " ran twice");
  }
  if (R.Answers > 0 && R.End.Result == Outcome::NotRun) {
    this->fail(Submission, "ran after it was told not run");
  }
}

void Oracle::answered(size_t Submission, const Verdict &V) {
  Record &R = this->Records[Submission];
  R.End = V;
  if (++R.Answers > 1) {
    this->fail(Submission, "answered twice");
  }
  if (R.HostDied) {
    this->fail(Submission, "answered by a dead host");
  }
  if (V.Result == Outcome::NotRun && R.Runs > 0) {
    this->fail(Submission, "ran, and was told not run");
  }
  uint32_t Runs = R.Key.empty() ? R.Runs : this->RunsByKey[R.Key];
  if (V.Result == Outcome::Completed && Runs == 0) {
    this->fail(Submission, "did not run, and was told completed");
  }
}

void Oracle::hostDied(const std::string &Host) {
  for (auto &Item : this->Records) {
    if (Item.second.Host == Host && Item.second.Answers == 0) {
      Item.second.HostDied = true;
    }
  }
}

void Oracle::inForce(const std::string &Run, uint64_t Version) {
  uint64_t &Last = this->Versions[Run];
  if (Version < Last) {
    this->Broken.push_back("host " + Run + ": configuration went back from " +
                           std::to_string(Last) + " to " +
                           std::to_string(Version));
  }
  Last = Version;
}

void Oracle::finish() {
  for (const auto &Item : this->Records) {
    const Record &R = Item.second;
    if (R.Answers == 0 && !R.HostDied) {
      this->fail(Item.first, "lost: it never got a verdict");
    }
  }
}

} // namespace shallotlatch
