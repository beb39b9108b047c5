/// \file
/// Stand-in of the platform's metadata store.
#pragma once

#include "wire.h"

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace review {

/// Serves objects by kind and name. The operator and the servers, which live in
/// the same process, write through the functions below; each is acknowledged
/// when it returns.
class Store {
public:
  /// \p PageSize: most entries of one list response. \p AnswerTime: time until
  /// a call is answered.
  Store(const Endpoint &At, size_t PageSize, Millis AnswerTime);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  void put(const std::string &Kind, const std::string &Name,
           const nlohmann::json &Specification);
  void remove(const std::string &Kind, const std::string &Name);
  /// Whether the store listens.
  bool listening() const { return this->Listener >= 0; }

private:
  struct Object {
    nlohmann::json Specification;
    nlohmann::json Status;
    uint64_t Revision = 0;
    uint64_t Created = 0;
  };
  struct Event {
    uint64_t Revision;
    std::string Kind;
    nlohmann::json Encoded;
  };

  void accept();
  void serve(Link &Caller);
  std::string answer(const Message &Call);
  std::string list(const std::string &Kind, const std::string &After);
  std::string watch(const std::string &Kind, uint64_t Since, Millis Wait);
  std::string write(const Message &Call, const std::string &Kind,
                    const std::string &Name);
  nlohmann::json encode(const std::string &Name, const Object &O) const;
  void replace(const std::string &Kind, const std::string &Name,
               const nlohmann::json &Specification);
  void erase(const std::string &Kind, const std::string &Name);

  size_t PageSize;
  Millis AnswerTime;
  int Listener;
  std::mutex Mutex;
  std::condition_variable Changed;
  uint64_t Revision = 100;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::list<Event> History;
  bool Stopping = false;
  std::set<Link *> Links;
  uint32_t Serving = 0; ///< Threads that serve a connection.
  std::condition_variable Served;
  std::thread Acceptor;
};

} // namespace review
