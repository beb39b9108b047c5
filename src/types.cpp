#include "shallotlatch/types.h"

#include <openssl/sha.h>
#include <xxhash.h>

namespace shallotlatch {

Time ProcessClock::now() {
  std::chrono::steady_clock::duration Since =
      std::chrono::steady_clock::now().time_since_epoch();
  return Time(std::chrono::duration_cast<Duration>(Since));
}

uint64_t hash64(std::string_view Text) { return hash64(Text, 0); }

uint64_t hash64(std::string_view Text, uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

uint64_t hashPair(uint64_t A, uint64_t B) {
  uint64_t Words[2] = {A, B};
  return XXH3_64bits(Words, sizeof(Words));
}

// Zero is the invalid id, so a hash of zero is replaced by one.
static uint32_t nameHash32(std::string_view Name, uint64_t Seed) {
  uint32_t Low = static_cast<uint32_t>(hash64(Name, Seed));
  return Low == 0 ? 1 : Low;
}

static constexpr uint64_t TargetSeed = 1;
static constexpr uint64_t CustomerSeed = 2;
static constexpr uint64_t KindSeed = 3;
static constexpr uint64_t PoolSeed = 4;

HostId hostId(std::string_view Name) {
  uint64_t H = hash64(Name);
  return HostId{H == 0 ? 1 : H};
}
TargetId targetId(std::string_view Name) {
  return TargetId{nameHash32(Name, TargetSeed)};
}
CustomerId customerId(std::string_view Name) {
  return CustomerId{nameHash32(Name, CustomerSeed)};
}
KindId kindId(std::string_view Name) {
  return KindId{nameHash32(Name, KindSeed)};
}
PoolId poolId(std::string_view Region, std::string_view Group) {
  std::string Both(Region);
  Both += '/';
  Both += Group;
  return PoolId{nameHash32(Both, PoolSeed)};
}

std::string toHex(uint64_t Value) {
  static const char Digits[] = "0123456789abcdef";
  std::string Text(16, '0');
  for (int I = 15; I >= 0; --I) {
    Text[I] = Digits[Value & 15];
    Value >>= 4;
  }
  return Text;
}

std::string sha256Hex(std::string_view Text) {
  unsigned char Digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest);
  std::string Hex;
  for (unsigned char Byte : Digest) {
    Hex += toHex(Byte).substr(14);
  }
  return Hex;
}

} // namespace shallotlatch
