#include "tunnel_codec_p.h"

#include "tunnel.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/io.h>

namespace shallotlatch {

// Longest name of an instance that a request may hold.
static constexpr size_t MaxInstanceBytes = 512;

const char *name(TunnelRefusal Why) {
  switch (Why) {
  case TunnelRefusal::UnknownHost:
    return "unknown-host";
  case TunnelRefusal::UnknownTarget:
    return "unknown-target";
  case TunnelRefusal::TargetBarred:
    return "target-barred";
  case TunnelRefusal::Unreachable:
    return "unreachable";
  case TunnelRefusal::NoPath:
    return "no-path";
  case TunnelRefusal::NoRoom:
    return "no-room";
  case TunnelRefusal::Stopping:
    return "stopping";
  }
  return "unknown";
}

static std::string encodeHead(uint32_t Value) {
  std::string Head(FrameHeadBytes, '\0');
  for (size_t I = 0; I < FrameHeadBytes; ++I) {
    Head[I] = static_cast<char>((Value >> (8 * I)) & 0xff);
  }
  return Head;
}

std::string frameHead(size_t Length) {
  return encodeHead(static_cast<uint32_t>(Length));
}

std::string tunnelEnd(TunnelEnd End) {
  return encodeHead(static_cast<uint32_t>(End));
}

std::optional<FrameHead> decodeFrameHead(std::string_view Head) {
  uint32_t Value = 0;
  for (size_t I = 0; I < FrameHeadBytes; ++I) {
    Value |= static_cast<uint32_t>(static_cast<unsigned char>(Head[I]))
             << (8 * I);
  }
  for (TunnelEnd End : {TunnelEnd::Closed, TunnelEnd::Broken}) {
    if (Value == static_cast<uint32_t>(End)) {
      return End;
    }
  }
  return Value <= MaxTunnelFrameBytes ? std::optional<FrameHead>(size_t{Value})
                                      : std::nullopt;
}

static std::string frameOf(capnp::MessageBuilder &Message) {
  kj::VectorOutputStream Out;
  capnp::writeMessage(Out, Message);
  auto Bytes = Out.getArray();
  return frameHead(Bytes.size()) +
         std::string(reinterpret_cast<const char *>(Bytes.begin()),
                     Bytes.size());
}

// Reads the message in \p Frame and passes it to \p Use. Returns false if the
// bytes are no message.
template <typename Reader>
static bool readFrame(std::string_view Frame, Reader &&Use) {
  try {
    kj::ArrayInputStream In(kj::arrayPtr(
        reinterpret_cast<const kj::byte *>(Frame.data()), Frame.size()));
    capnp::InputStreamMessageReader Message(In);
    Use(Message);
    return true;
  } catch (const kj::Exception &) {
    return false;
  }
}

std::string encodeTunnelRequest(const TunnelRequest &Request) {
  capnp::MallocMessageBuilder Message;
  tunnelwire::TunnelOpen::Builder Open =
      Message.initRoot<tunnelwire::TunnelOpen>();
  Open.setFrom(Request.From.Value);
  Open.setInstance(Request.Instance.c_str());
  Open.setIdentity(Request.Identity);
  return frameOf(Message);
}

std::optional<TunnelRequest> decodeTunnelRequest(std::string_view Frame) {
  TunnelRequest Request;
  bool Read = readFrame(Frame, [&Request](capnp::MessageReader &Message) {
    tunnelwire::TunnelOpen::Reader Open =
        Message.getRoot<tunnelwire::TunnelOpen>();
    Request.From = HostId{Open.getFrom()};
    Request.Instance = Open.getInstance().cStr();
    Request.Identity = Open.getIdentity();
  });
  bool Valid = Read && Request.From.isValid() && !Request.Instance.empty() &&
               Request.Instance.size() <= MaxInstanceBytes;
  return Valid ? std::optional(Request) : std::nullopt;
}

std::string encodeTunnelAnswer(TunnelAnswer Answer) {
  capnp::MallocMessageBuilder Message;
  Message.initRoot<tunnelwire::TunnelAnswer>().setRefusal(
      Answer ? static_cast<uint8_t>(static_cast<uint8_t>(*Answer) + 1) : 0);
  return frameOf(Message);
}

// A reason of a later release counts as the peer's own, not the target's.
std::optional<TunnelAnswer> decodeTunnelAnswer(std::string_view Frame) {
  uint8_t Number = 0;
  bool Read = readFrame(Frame, [&Number](capnp::MessageReader &Message) {
    Number = Message.getRoot<tunnelwire::TunnelAnswer>().getRefusal();
  });
  if (!Read) {
    return std::nullopt;
  }
  if (Number == 0) {
    return TunnelAnswer();
  }
  return TunnelAnswer(Number <= TunnelRefusalCount
                          ? static_cast<TunnelRefusal>(Number - 1)
                          : TunnelRefusal::NoRoom);
}

} // namespace shallotlatch
