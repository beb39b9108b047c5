// Event loop, connections and timers of the stand-ins: one thread, poll(2).
#ifndef REVIEW_KIT2_LOOP_H
#define REVIEW_KIT2_LOOP_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review2 {

// Milliseconds since the start of the program.
int64_t nowMs();

class Loop;

// A stream socket with buffers for both directions. Deleted by its owner only;
// OnClose is called at most once and from the loop.
class Connection {
public:
  Connection(Loop &Owner, int Fd);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  void send(const std::string &Bytes);
  // Sends what is queued, then closes.
  void closeWhenSent();
  void closeNow();
  // Closes with a reset.
  void reset();
  bool isOpen() const { return this->Fd >= 0; }
  size_t queued() const { return this->Out.size(); }

  std::string In;
  std::function<void()> OnData;
  std::function<void()> OnClose;
  // Nothing is read while this is set.
  bool ReadingPaused = false;

private:
  friend class Loop;
  void onReadable();
  void onWritable();
  void fail();

  Loop &Owner;
  int Fd;
  std::string Out;
  bool Closing = false;
};

class Loop {
public:
  using Handler = std::function<void()>;
  // Returns a number for `cancel`.
  uint64_t after(int64_t Ms, Handler Do);
  void cancel(uint64_t Timer);
  void listen(int Fd, std::function<void(int)> OnAccept);
  void unlisten(int Fd);
  void runFor(int64_t Ms);
  // Returns whether Done became true within the time.
  bool runUntil(const std::function<bool()> &Done, int64_t Ms);

private:
  friend class Connection;
  void step(int64_t MaxWaitMs);

  std::map<int, Connection *> Connections;
  std::map<int, std::function<void(int)>> Listeners;
  std::multimap<int64_t, std::pair<uint64_t, Handler>> Timers;
  uint64_t NextTimer = 1;
};

// Listens on 127.0.0.1; port 0 picks a free one. Returns -1 on failure.
int listenOn(uint16_t Port);
uint16_t portOf(int Fd);
// Begins a connection to a port of 127.0.0.1.
int connectTo(uint16_t Port);
// Returns ports that are free now.
uint16_t freePort();

} // namespace review2

#endif
