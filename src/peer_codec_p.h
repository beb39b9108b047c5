/// \file
/// Messages between hosts on the wire: packed Cap'n Proto messages, each
/// behind its length as four little-endian bytes.
#pragma once

#include "messages_p.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

namespace shallotlatch {

/// First words of a link: who is there, and the proof of the shared key.
struct Hello {
  std::string Host;
  std::string Region;
  std::string Domain;
  Incarnation Run;
  uint64_t Nonce = 0;
  std::string Proof; ///< Empty in the first of a side's two hellos.
};

/// Bytes that are not a message of this protocol.
class CodecError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

using PeerFrame = std::variant<Hello, PeerBatch>;

constexpr size_t FrameHeaderBytes = 4;
constexpr size_t MaxFrameBytes = 16 * 1024 * 1024;

std::string encodeFrame(const PeerBatch &Batch);
std::string encodeFrame(const Hello &H);
/// Decodes a frame without its header; throws CodecError.
PeerFrame decodeFrame(std::string_view Bytes);
/// Length in a frame's header; throws CodecError above MaxFrameBytes.
size_t frameLength(const unsigned char Header[FrameHeaderBytes]);

} // namespace shallotlatch
