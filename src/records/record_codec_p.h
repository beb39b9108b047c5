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

} // namespace shallotlatch
