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
  void submitted(size_t Submission, const std::string &Key,
                 const std::string &Host);
  /// A target really ran it.
  void ran(size_t Submission);
  void answered(size_t Submission, const Verdict &V);
  /// Its host died: its caller sees a broken connection, and no verdict.
  void hostDied(const std::string &Host);
  /// A host has this configuration version in force. \p Run names its process.
  void inForce(const std::string &Run, uint64_t Version);
  /// Everything that is still open is lost.
  void finish();

  const std::vector<std::string> &broken() const { return this->Broken; }

private:
  struct Record {
    std::string Key;
    std::string Host;
    uint32_t Runs = 0;
    uint32_t Answers = 0;
    bool HostDied = false;
    Verdict End;
  };

  void fail(size_t Submission, const std::string &What);

  std::map<size_t, Record> Records;
  std::map<std::string, uint32_t> RunsByKey;
  std::map<std::string, uint64_t> Versions;
  std::vector<std::string> Broken;
};

} // namespace shallotlatch
