/// \file
/// A gateway process with low limits between scripted targets and callers that
/// read nothing, for tests of its memory and descriptors. The store and the
/// targets run on a thread of their own; the test's calls block.
#pragma once

#include "platform_objects.h"
#include "store_standin.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

struct evconnlistener;

namespace shallotlatch {

/// Settings of the gateway under test.
struct MemoryWorldInit {
  uint32_t MemoryMb = 64;
  uint32_t Descriptors = 4096;
  uint32_t StopGraceSeconds = 8;
  /// Slots of each target. By default more than the callers of any test, so
  /// that no request is refused for want of a slot.
  uint32_t TargetSlots = 400;
};

/// A connection of a caller. It reads only when it is told to.
class RawCaller {
public:
  /// Connects with a receive buffer of \p ReceiveBytes.
  RawCaller(const Address &To, int ReceiveBytes);
  ~RawCaller();
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;
  bool connected() const { return this->Fd >= 0; }
  /// Writes as many bytes of \p Bytes after the first \p Sent as the socket
  /// takes at once; adds their number to \p Sent. Returns false once the
  /// connection has ended.
  bool writeSome(const std::string &Bytes, size_t &Sent);
  /// Reads until \p Text was received, the connection ends or \p Limit passes.
  /// Returns all bytes that it read.
  std::string readUntil(const std::string &Text, Duration Limit);
  /// Reads until \p Total bytes came or the connection ended, 40 KB every 33
  /// ms, as a slow link carries them. Returns the number of bytes.
  size_t readSlowly(size_t Total);

private:
  int Fd = -1;
};

/// Process, store and targets.
class MemoryWorld {
public:
  explicit MemoryWorld(const MemoryWorldInit &Init);
  ~MemoryWorld();
  MemoryWorld(const MemoryWorld &) = delete;
  MemoryWorld &operator=(const MemoryWorld &) = delete;

  /// Waits until the gateway is ready. Returns false if it does not become so.
  bool waitReady();
  Address caller() const { return this->CallerAddress; }
  /// Returns a request as a caller sends it. Targets answer `/big/N` with N
  /// bytes, `/stream/N` with endless events of N bytes, `/endless/body/N` and
  /// `/endless/head/N` with bytes without end there, `/held/` never, and any
  /// other path with a short answer. \p Fields: further lines, each with its
  /// line end.
  std::string request(const std::string &Path, const std::string &Fields = "",
                      const std::string &Body = "");
  /// Whether one ordinary request is answered. A refused caller comes back.
  bool answersOrdinaryRequest();
  /// Whether the gateway process lives.
  bool alive();
  /// Largest resident memory of the gateway so far, in bytes.
  uint64_t peakResidentBytes() const;
  /// Number of open descriptors of the gateway.
  uint32_t openDescriptors() const;
  void signal(int Number);
  /// Sends SIGTERM and waits for the end; returns the exit status, or -1 if the
  /// process did not end within \p Limit.
  int stop(Duration Limit);

private:
  struct TargetConnection;
  static void onAccept(evconnlistener *, int Fd, struct sockaddr *, int,
                       void *Self);
  void addTarget(const std::string &Instance, const std::string &Service,
                 uint32_t Slots);
  void writeConfig(uint32_t ConnectionLimit);
  void startGateway(const MemoryWorldInit &Init);

  event_base *Base;
  std::string Folder;
  Address StoreAddress;
  Address CallerAddress;
  Address ReadyAddress;
  std::unique_ptr<platform::StoreStandin> Store;
  std::vector<evconnlistener *> Listeners;
  std::vector<std::unique_ptr<TargetConnection>> TargetConnections;
  std::atomic<bool> Ending{false};
  std::thread Loop;
  int Pid = 0;
  uint32_t NextRequest = 1;
};

} // namespace shallotlatch
