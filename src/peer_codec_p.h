/// \file
/// Encodes and decodes messages between hosts. A frame is a packed Cap'n Proto
/// message, preceded by its length as four little-endian bytes.
#pragma once

#include "messages_p.h"

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

namespace shallotlatch {

/// Handshake message of a link. Each side sends two: the first names the host
/// and carries a nonce, the second proves that the host has the shared key.
struct Hello {
  std::string Host;
  std::string Region;
  std::string Domain; ///< Failure domain of the host.
  Incarnation Run;    ///< Process run of the host.
  uint64_t Nonce = 0; ///< Random number that the other side's proof covers.
  std::string Proof;  ///< HMAC-SHA256 over the sender's name and the receiver's
                      ///< nonce; empty in the first hello of a side.
};

/// Thrown for bytes that are not a valid message of this protocol.
class CodecError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

using PeerFrame = std::variant<Hello, PeerBatch>;

constexpr size_t FrameHeaderBytes = 4;
constexpr size_t MaxFrameBytes = 16 * 1024 * 1024;

/// Encodes a frame with its header.
std::string encodeFrame(const PeerBatch &Batch);
std::string encodeFrame(const Hello &H);
/// Decodes a frame without its header; throws CodecError.
PeerFrame decodeFrame(std::string_view Bytes);
/// Returns the length in bytes that a frame's header gives; throws CodecError
/// if it exceeds MaxFrameBytes.
size_t frameLength(const unsigned char Header[FrameHeaderBytes]);

} // namespace shallotlatch
