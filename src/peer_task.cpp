#include "peer_task_p.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glog/logging.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <stdexcept>

namespace shallotlatch {

static constexpr size_t MaxQueuedFrames = 256;
static constexpr size_t MaxOutputBytes = 8 * 1024 * 1024;
static constexpr Duration HandshakeTime = seconds(1);
static constexpr Duration RedialDelay = millis(300);

/// One connection to another host.
struct PeerTask::Link {
  PeerTask *Owner = nullptr;
  uint32_t Id = 0;
  bufferevent *Socket = nullptr;
  event *Timer = nullptr;
  HostId Peer; ///< Expected before the proof, proven after it.
  std::string PeerName;
  uint64_t Nonce = 0;
  bool Proven = false;
  std::deque<std::string> Queue;

  ~Link() {
    if (this->Timer != nullptr) {
      event_free(this->Timer);
    }
    bufferevent_free(this->Socket);
  }
};

static sockaddr_in socketAddress(const Address &A) {
  sockaddr_in S{};
  S.sin_family = AF_INET;
  S.sin_port = htons(A.Port);
  inet_pton(AF_INET, A.Ip.c_str(), &S.sin_addr);
  return S;
}

PeerTask::PeerTask(event_base *Base, const Settings &Host, Incarnation Run,
                   PeerCallbacks Events)
    : Base(Base), Host(Host), Run(Run), Events(std::move(Events)),
      Random(hashPair(Run.Value, hash64(Host.Host))) {
  sockaddr_in At = socketAddress(Host.Peer);
  auto OnAccept = [](evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                     void *Self) {
    PeerTask *Task = static_cast<PeerTask *>(Self);
    Link &L = Task->open(
        bufferevent_socket_new(Task->Base, Fd, BEV_OPT_CLOSE_ON_FREE),
        HostId());
    Task->sendHello(L);
  };
  this->Listener = evconnlistener_new_bind(
      Base, OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 128,
      reinterpret_cast<sockaddr *>(&At), sizeof(At));
  if (this->Listener == nullptr) {
    throw std::runtime_error("cannot listen for peers on " + Host.Peer.text());
  }
}

PeerTask::~PeerTask() {
  evconnlistener_free(this->Listener);
  this->Links.clear();
}

PeerTask::Link &PeerTask::open(bufferevent *Socket, HostId Expected) {
  uint32_t Id = this->NextLink++;
  std::unique_ptr<Link> Owned = std::make_unique<Link>();
  Link &L = *Owned;
  L.Owner = this;
  L.Id = Id;
  L.Socket = Socket;
  L.Peer = Expected;
  L.Nonce = this->Random();
  this->Links[Id] = std::move(Owned);
  auto OnRead = [](bufferevent *, void *Arg) {
    Link *Self = static_cast<Link *>(Arg);
    Self->Owner->onReadable(*Self);
  };
  auto OnEvent = [](bufferevent *, short What, void *Arg) {
    Link *Self = static_cast<Link *>(Arg);
    if ((What & BEV_EVENT_CONNECTED) != 0) {
      Self->Owner->sendHello(*Self);
    } else {
      Self->Owner->close(*Self, true);
    }
  };
  auto OnTimer = [](evutil_socket_t, short, void *Arg) {
    Link *Self = static_cast<Link *>(Arg);
    Self->Owner->close(*Self, true);
  };
  bufferevent_setcb(Socket, OnRead, nullptr, OnEvent, &L);
  bufferevent_enable(Socket, EV_READ | EV_WRITE);
  L.Timer = event_new(this->Base, -1, 0, OnTimer, &L);
  timeval Limit{HandshakeTime.count() / 1000000, 0};
  event_add(L.Timer, &Limit);
  return L;
}

void PeerTask::sendHello(Link &L) {
  int One = 1;
  setsockopt(bufferevent_getfd(L.Socket), IPPROTO_TCP, TCP_NODELAY, &One,
             sizeof(One));
  Hello H;
  H.Host = this->Host.Host;
  H.Region = this->Host.Region;
  H.Domain = this->Host.Domain;
  H.Run = this->Run;
  H.Nonce = L.Nonce;
  this->write(L, encodeFrame(H));
}

std::string PeerTask::computeProof(const std::string &Prover,
                                   uint64_t Nonce) const {
  std::string Text = Prover + "/" + toHex(Nonce);
  unsigned char Digest[32];
  unsigned int Length = 0;
  HMAC(EVP_sha256(), this->Host.PeerKey.data(),
       static_cast<int>(this->Host.PeerKey.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest, &Length);
  return std::string(reinterpret_cast<char *>(Digest), Length);
}

// Each side proves the key over the other side's nonce.
void PeerTask::onHello(Link &L, const Hello &H) {
  if (H.Proof.empty()) {
    L.PeerName = H.Host;
    Hello Answer;
    Answer.Host = this->Host.Host;
    Answer.Run = this->Run;
    Answer.Proof = this->computeProof(this->Host.Host, H.Nonce);
    this->write(L, encodeFrame(Answer));
    return;
  }
  std::string Wanted = this->computeProof(L.PeerName, L.Nonce);
  bool Right = H.Host == L.PeerName && H.Proof.size() == Wanted.size() &&
               CRYPTO_memcmp(H.Proof.data(), Wanted.data(), Wanted.size()) == 0;
  HostId Peer = hostId(L.PeerName);
  if (!Right || (L.Peer.isValid() && L.Peer != Peer)) {
    LOG(WARNING) << "peer: refused a link, host \"" << H.Host
                 << "\" has another peer key or name";
    throw CodecError("proof does not fit");
  }
  L.Proven = true;
  L.Peer = Peer;
  event_del(L.Timer);
  this->ByHost[Peer] = L.Id;
  for (const std::string &Frame : L.Queue) {
    this->write(L, Frame);
  }
  L.Queue.clear();
  this->Events.Linked(Peer);
}

bool PeerTask::onFrame(Link &L, std::string_view Bytes) {
  try {
    PeerFrame Frame = decodeFrame(Bytes);
    if (Hello *H = std::get_if<Hello>(&Frame)) {
      this->onHello(L, *H);
      return true;
    }
    if (!L.Proven) {
      throw CodecError("a batch came before the proof");
    }
    this->Events.Batch(L.Peer, std::get<PeerBatch>(Frame));
    return true;
  } catch (const CodecError &E) {
    LOG(WARNING) << "peer: closed a link, " << E.what();
    return false;
  }
}

void PeerTask::onReadable(Link &L) {
  evbuffer *In = bufferevent_get_input(L.Socket);
  uint32_t Id = L.Id;
  while (evbuffer_get_length(In) >= FrameHeaderBytes) {
    unsigned char Header[FrameHeaderBytes];
    evbuffer_copyout(In, Header, FrameHeaderBytes);
    size_t Length = 0;
    try {
      Length = frameLength(Header);
    } catch (const CodecError &E) {
      LOG(WARNING) << "peer: closed a link, " << E.what();
      this->close(L, false);
      return;
    }
    if (evbuffer_get_length(In) < FrameHeaderBytes + Length) {
      return;
    }
    evbuffer_drain(In, FrameHeaderBytes);
    std::string Bytes(Length, '\0');
    evbuffer_remove(In, &Bytes[0], Length);
    this->Counts.BytesReceived += FrameHeaderBytes + Length;
    bool Good = this->onFrame(L, Bytes);
    if (this->Links.count(Id) == 0) {
      return;
    }
    if (!Good) {
      this->close(L, false);
      return;
    }
  }
}

void PeerTask::close(Link &L, bool TellUnreachable) {
  HostId Peer = L.Peer;
  bool WasProven = L.Proven;
  auto It = this->ByHost.find(Peer);
  if (It != this->ByHost.end() && It->second == L.Id) {
    this->ByHost.erase(It);
  }
  this->Counts.BatchesDropped += L.Queue.size();
  this->Links.erase(L.Id);
  if (!Peer.isValid()) {
    return;
  }
  this->RetryAt[Peer] = ProcessClock::now() + RedialDelay;
  // A broken link alone says little: the redial tells.
  if (TellUnreachable && !WasProven) {
    this->Events.Unreachable(Peer);
  }
}

void PeerTask::write(Link &L, const std::string &Frame) {
  evbuffer *Out = bufferevent_get_output(L.Socket);
  if (evbuffer_get_length(Out) > MaxOutputBytes) {
    ++this->Counts.BatchesDropped;
    return;
  }
  this->Counts.BytesSent += Frame.size();
  bufferevent_write(L.Socket, Frame.data(), Frame.size());
}

PeerTask::Link *PeerTask::dialHost(HostId To) {
  std::optional<Address> At = this->Events.AddressOf(To);
  auto Retry = this->RetryAt.find(To);
  bool TooSoon =
      Retry != this->RetryAt.end() && ProcessClock::now() < Retry->second;
  if (!At || TooSoon) {
    return nullptr;
  }
  Link &L = this->open(
      bufferevent_socket_new(this->Base, -1, BEV_OPT_CLOSE_ON_FREE), To);
  this->ByHost[To] = L.Id;
  uint32_t Id = L.Id;
  sockaddr_in S = socketAddress(*At);
  int Failed = bufferevent_socket_connect(
      L.Socket, reinterpret_cast<sockaddr *>(&S), sizeof(S));
  if (Failed != 0 && this->Links.count(Id) != 0) {
    this->close(L, true);
  }
  return this->Links.count(Id) != 0 ? &L : nullptr;
}

void PeerTask::dial(const Address &To) {
  Link &L = this->open(
      bufferevent_socket_new(this->Base, -1, BEV_OPT_CLOSE_ON_FREE), HostId());
  uint32_t Id = L.Id;
  sockaddr_in S = socketAddress(To);
  int Failed = bufferevent_socket_connect(
      L.Socket, reinterpret_cast<sockaddr *>(&S), sizeof(S));
  if (Failed != 0 && this->Links.count(Id) != 0) {
    this->close(L, false);
  }
}

void PeerTask::send(HostId To, const PeerBatch &Batch) {
  auto It = this->ByHost.find(To);
  Link *L = It != this->ByHost.end() ? this->Links[It->second].get()
                                     : this->dialHost(To);
  if (L == nullptr) {
    ++this->Counts.BatchesDropped;
    return;
  }
  ++this->Counts.BatchesSent;
  std::string Frame = encodeFrame(Batch);
  if (L->Proven) {
    this->write(*L, Frame);
  } else if (L->Queue.size() < MaxQueuedFrames) {
    L->Queue.push_back(std::move(Frame));
  } else {
    ++this->Counts.BatchesDropped;
  }
}

PeerStats PeerTask::stats() const {
  PeerStats S = this->Counts;
  S.Links = static_cast<uint32_t>(this->Links.size());
  return S;
}

} // namespace shallotlatch
