/// \file
/// Content of the records about streams, as JSON text.
#pragma once

#include "stream_origins_p.h"

#include <string>
#include <vector>

namespace shallotlatch {

/// Encodes the versions that began streams, with 4 bytes in base64 a stream.
std::string encodeStreamRecord(const std::vector<StreamNote> &Streams);
/// Throws std::exception if \p Content is no such record.
std::vector<StreamNote> decodeStreamRecord(const std::string &Content);

std::string encodeVersions(const ServiceVersions &Versions);
/// Throws std::exception if \p Content is no such record.
ServiceVersions decodeVersions(const std::string &Content);

/// Encodes the versions that a process announces, as `decodeVersions` reads
/// them. \p Renewal: number of the write. The store takes a write that changes
/// nothing for none.
std::string encodeAnnouncement(const ServiceVersions &Versions,
                               uint64_t Renewal);

} // namespace shallotlatch
