/// \file
/// Stand-in of the platform's metadata store, in memory.
#pragma once

#include "net.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>

namespace review3 {

class Store {
public:
  Store();
  uint16_t port() const { return this->Port; }
  /// Writes an object as the operator or a server does.
  void put(const std::string &Kind, const std::string &Name,
           const nlohmann::json &Specification);
  void erase(const std::string &Kind, const std::string &Name);
  /// While set, calls get no answer.
  void setSilent(bool Silent);
  /// Keeps a copy of all objects.
  void copy();
  /// Goes away: closes all connections and answers nothing. Comes back after
  /// the time from the copy, with the next era.
  void returnFromCopy(int64_t AwayMs);

private:
  struct Object {
    nlohmann::json Specification;
    nlohmann::json Status;
    nlohmann::json Finalizers = nlohmann::json::array();
    uint64_t Revision = 0;
    uint64_t Created = 0;
  };
  struct Event {
    uint64_t Revision;
    std::string Kind;
    nlohmann::json Content;
  };
  struct Reply {
    int Status = 200;
    nlohmann::json Body;
  };
  static nlohmann::json encode(const std::string &Name, const Object &O);
  void note(const std::string &Kind, const std::string &Name, bool Deleted);
  void serve(int Fd);
  bool isAway();
  Reply answer(const Head &H, const std::string &Body);
  Reply list(const std::string &Kind, const std::string &After);
  Reply watch(const std::string &Kind, uint64_t Since, int64_t WaitMs);
  Reply write(const std::string &Method, const std::string &Kind,
              std::string Name, const std::string &Condition,
              const std::string &Body);

  uint16_t Port;
  std::mutex Lock;
  std::condition_variable Changed;
  bool IsSilent = false;
  bool IsAway = false;
  uint64_t Era = 1;
  OpenSockets Sockets;
  uint64_t Revision = 100;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::deque<Event> History;
  uint64_t CopiedRevision = 0;
  std::map<std::string, std::map<std::string, Object>> Copied;
};

} // namespace review3
