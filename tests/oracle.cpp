#include "oracle.h"

namespace shallotlatch {

void Oracle::addViolation(size_t Submission, const std::string &Description) {
  this->Violations.push_back("submission " + std::to_string(Submission) + ": " +
                             Description);
}

void Oracle::recordSubmission(size_t Submission, const std::string &Key,
                              const std::string &Host) {
  Record &R = this->Records[Submission];
  R.Key = Key;
  R.Host = Host;
}

void Oracle::recordRun(size_t Submission) {
  Record &R = this->Records[Submission];
  if (++R.Runs > 1) {
    this->addViolation(Submission, "ran more than once");
  }
  if (!R.Key.empty() && ++this->RunsByKey[R.Key] > 1) {
    this->addViolation(Submission,
                       "idempotency key " + R.Key + " ran more than once");
  }
  if (R.Answers > 0 && R.End.Result == Outcome::NotRun) {
    this->addViolation(Submission, "ran after its caller was told \"not run\"");
  }
}

void Oracle::recordVerdict(size_t Submission, const Verdict &V) {
  Record &R = this->Records[Submission];
  R.End = V;
  if (++R.Answers > 1) {
    this->addViolation(Submission, "its caller received more than one verdict");
  }
  if (R.HostDied) {
    this->addViolation(Submission, "its host answered after the host had died");
  }
  if (V.Result == Outcome::NotRun && R.Runs > 0) {
    this->addViolation(Submission, "ran, but its caller was told \"not run\"");
  }
  uint32_t Runs = R.Key.empty() ? R.Runs : this->RunsByKey[R.Key];
  if (V.Result == Outcome::Completed && Runs == 0) {
    this->addViolation(Submission,
                       "did not run, but its caller was told \"completed\"");
  }
}

void Oracle::recordHostDeath(const std::string &Host) {
  for (auto &Item : this->Records) {
    if (Item.second.Host == Host && Item.second.Answers == 0) {
      Item.second.HostDied = true;
    }
  }
}

void Oracle::recordConfigVersion(const std::string &Process, uint64_t Version) {
  uint64_t &LastVersion = this->Versions[Process];
  if (Version < LastVersion) {
    this->Violations.push_back(
        "host " + Process + ": configuration version in force went back from " +
        std::to_string(LastVersion) + " to " + std::to_string(Version));
  }
  LastVersion = Version;
}

void Oracle::finish() {
  for (const auto &Item : this->Records) {
    const Record &R = Item.second;
    if (R.Answers == 0 && !R.HostDied) {
      this->addViolation(Item.first, "its caller never received a verdict");
    }
  }
}

} // namespace shallotlatch
