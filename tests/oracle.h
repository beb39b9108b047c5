/// \file
/// Checks the invariants of a fleet against what really ran.
#pragma once

#include "shallotlatch/verdict.h"

#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

/// Records every submission, run and verdict of one fleet and collects
/// violations of the invariants. It does not know how the fleet decides.
class Oracle {
public:
  /// Records a submission at \p Host. \p Key is empty for a request without an
  /// idempotency key.
  void recordSubmission(size_t Submission, const std::string &Key,
                        const std::string &Host);
  /// Records that a target really ran the submission.
  void recordRun(size_t Submission);
  /// Records the verdict that the submission's caller received.
  void recordVerdict(size_t Submission, const Verdict &V);
  /// Records the death of a host. Callers with open submissions there see a
  /// broken connection and receive no verdict.
  void recordHostDeath(const std::string &Host);
  /// Records the configuration version that a host has in force. \p Process
  /// identifies one process of the host; each process is checked on its own.
  void recordConfigVersion(const std::string &Process, uint64_t Version);
  /// Ends the record: each submission without a verdict whose host did not die
  /// is a violation.
  void finish();

  const std::vector<std::string> &violations() const {
    return this->Violations;
  }

private:
  struct Record {
    std::string Key;
    std::string Host;
    uint32_t Runs = 0;
    uint32_t Answers = 0;
    bool HostDied = false;
    Verdict End;
  };

  void addViolation(size_t Submission, const std::string &Description);

  std::map<size_t, Record> Records;
  std::map<std::string, uint32_t> RunsByKey;
  std::map<std::string, uint64_t> Versions;
  std::vector<std::string> Violations;
};

} // namespace shallotlatch
