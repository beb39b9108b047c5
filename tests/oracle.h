/// \file
/// What must always hold, checked against what really happened.
#pragma once

#include "shallotlatch/verdict.h"

#include <map>
#include <string>
#include <vector>

namespace shallotlatch {

/// Knows every submission, run and verdict of one fleet, and nothing of how
/// the fleet decides.
class Oracle {
public:
  /// \p Key is empty for requests without one.
  void recordSubmission(size_t Submission, const std::string &Key,
                        const std::string &Host);
  /// A target really ran it.
  void recordRun(size_t Submission);
  void recordVerdict(size_t Submission, const Verdict &V);
  /// Its host died: its caller sees a broken connection, and no verdict.
  void recordHostDeath(const std::string &Host);
  /// A host has this configuration version in force. \p Process names its
  /// process.
  void recordConfigVersion(const std::string &Process, uint64_t Version);
  /// Everything that is still open is lost.
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
