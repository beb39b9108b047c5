/// \file
/// A fleet of gateway processes in front of targets of several software
/// versions. Each has a store of its own and hears the others over links that
/// can be cut, or all share one store and hear each other. All parts but the
/// processes run in the caller's thread.
#pragma once

#include "datagram_proxy.h"
#include "gateway_process.h"
#include "http_message_p.h"
#include "soak_target.h"
#include "store_standin.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

struct bufferevent;

namespace shallotlatch {

/// A stream at its caller.
struct CallerStream : public HttpReaderEvents {
  explicit CallerStream(const RelayHeaders &Headers)
      : Headers(Headers), Reader(HttpRole::Responses, *this, 64 * 1024) {}
  ~CallerStream() override { this->close(); }
  CallerStream(const CallerStream &) = delete;
  CallerStream &operator=(const CallerStream &) = delete;
  bool onHead(HttpHead &Head) override;
  void onBody(std::string_view Part) override { this->Body += Part; }
  void onComplete() override {}
  void read();
  void close();
  bool hasEvent() const { return this->Body.find("\n\n") != std::string::npos; }

  const RelayHeaders &Headers;
  std::string Id;
  int Status = 0;
  std::string Instance; ///< Target that the answer names.
  std::string Body;
  bool Ended = false; ///< The answer is whole, or its connection has ended.
  HttpReader Reader;
  bufferevent *Socket = nullptr;
};

/// Processes, their stores and links, targets and streams.
class VersionWorld {
public:
  /// Hosts 0 and 1 are in one failure domain, 2 and 3 in the other; each has
  /// its own store.
  VersionWorld() : VersionWorld({"north", "north", "south", "south"}, false) {}
  /// \p Domains: failure domain of each host.
  VersionWorld(const std::vector<std::string> &Domains, bool SharedStore);
  ~VersionWorld();
  VersionWorld(const VersionWorld &) = delete;
  VersionWorld &operator=(const VersionWorld &) = delete;

  /// Runs until the hosts have known the versions that serve for longer than a
  /// stream lasts.
  void runForOneLife();
  void runFor(Duration For);
  static std::string hostName(uint32_t Host);
  /// Runs until \p Done returns true. Returns false if it does not in time.
  bool runUntil(const std::function<bool()> &Done);
  /// Starts a target and returns its number. No store shows it.
  uint32_t startTarget(const std::string &Software);
  /// Ends a target, so that its connections break.
  void crashTarget(uint32_t Target);
  /// Shows or removes a target's entry in the stores of \p Hosts.
  void showTarget(uint32_t Target, const std::set<uint32_t> &Hosts);
  void hideTarget(uint32_t Target, const std::set<uint32_t> &Hosts);
  /// Cuts the links between \p Hosts and all others, or joins them again.
  void cutLinks(const std::set<uint32_t> &Hosts, bool Cut);
  void signalHost(uint32_t Host, int Number);
  void killHost(uint32_t Host);
  /// Starts a host; one that has been killed, as a new process.
  void startHost(uint32_t Host);
  platform::StoreFaults &storeFaults(uint32_t Host) {
    return this->Hosts[Host].Store->Faults;
  }

  /// Begins streams at \p Host and waits for their first events. Returns those
  /// that targets of \p Software began.
  std::vector<std::shared_ptr<CallerStream>>
  beginStreams(uint32_t Host, size_t Count, const std::string &Software);
  /// Begins streams at \p Host and returns those that got their first events.
  std::vector<std::shared_ptr<CallerStream>> beginStreams(uint32_t Host,
                                                          size_t Count);
  /// Takes a stream up at \p Host after its first event.
  std::shared_ptr<CallerStream> takeUp(uint32_t Host,
                                       const CallerStream &Stream);
  /// Waits for the ends of the answers to \p Streams.
  void awaitAnswers(const std::vector<std::shared_ptr<CallerStream>> &Streams);
  /// Returns the version of the target that answered; empty if none did.
  std::string softwareOf(const CallerStream &Stream) const;
  /// Waits for the answers to \p Streams. Returns the number of those with
  /// events of \p Software.
  size_t countGoneOn(const std::vector<std::shared_ptr<CallerStream>> &Streams,
                     const std::string &Software);
  /// Lists what the host did with streams that it was asked to go on with.
  std::string originsAt(uint32_t Host) const;

private:
  struct HostParts {
    soak::GatewayProcess Process;
    Address Caller, Ready, Peer, StoreAt;
    std::string Domain;
    std::shared_ptr<platform::StoreStandin> Store;
  };
  /// The way of datagrams from one host to another.
  struct Link {
    uint32_t From = 0;
    uint32_t To = 0;
    std::unique_ptr<soak::DatagramProxy> Proxy;
  };
  struct TargetParts {
    std::unique_ptr<soak::SoakTarget> Process;
    TargetEntry Entry;
  };

  /// Makes a store for each host, and links between all of them.
  void makeLinks();
  Address takeAddress();
  std::shared_ptr<CallerStream> send(uint32_t Host, const std::string &Fields);

  event_base *Base;
  std::string Folder;
  soak::SoakJudge Judge;
  RelayHeaders Headers;
  std::vector<Address> Free; ///< Addresses that nothing uses yet.
  std::vector<HostParts> Hosts;
  std::vector<Link> Links;
  std::vector<TargetParts> Targets;
  uint32_t Sent = 0; ///< Streams begun or taken up so far.
};

} // namespace shallotlatch
