#include "http_client_p.h"

#include "http_message_p.h"
#include "sockets_p.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>

namespace shallotlatch {

// Largest number of idle connections that are kept per server address.
static constexpr size_t MaxIdlePerAddress = 64;
static constexpr Duration MaxIdleTime = seconds(20);
// Limit on the bytes of a response, and on those of its body.
static constexpr size_t MaxResponseBytes = 64 * 1024 * 1024;
// Limit on the bytes of a response before its body, interim heads included.
static constexpr size_t MaxResponseHeadBytes = 64 * 1024;

/// State of one exchange from `start` until its result is reported.
struct HttpClient::Call {
  HttpClient *Owner = nullptr;
  uint32_t Id = 0;
  HttpRequest Request;
  HttpEvents Events;
  evhttp_connection *Connection = nullptr;
  /// Request object of evhttp; null once evhttp has reported its end.
  evhttp_request *EvhttpRequest = nullptr;
  /// Timer of the connect timeout; null on a reused connection.
  event *ConnectTimer = nullptr;
  evbuffer_cb_entry *OutputCallback = nullptr;
  evbuffer_cb_entry *InputCallback = nullptr;
  size_t ReceivedBytes = 0;
  HttpResult Result;

  ~Call() {
    this->removeCallbacks();
    if (this->ConnectTimer != nullptr) {
      event_free(this->ConnectTimer);
    }
  }

  evbuffer *output() const {
    return bufferevent_get_output(
        evhttp_connection_get_bufferevent(this->Connection));
  }

  evbuffer *input() const {
    return bufferevent_get_input(
        evhttp_connection_get_bufferevent(this->Connection));
  }

  void removeCallbacks() {
    if (this->OutputCallback != nullptr) {
      evbuffer_remove_cb_entry(this->output(), this->OutputCallback);
      this->OutputCallback = nullptr;
    }
    if (this->InputCallback != nullptr) {
      evbuffer_remove_cb_entry(this->input(), this->InputCallback);
      this->InputCallback = nullptr;
    }
  }

  static void ignoreEnd(evhttp_request *, void *) {}

  // Detaches the call from evhttp, so that later callbacks of evhttp have no
  // effect on it.
  void detach() {
    this->removeCallbacks();
    if (this->EvhttpRequest != nullptr) {
      this->EvhttpRequest->cb = &Call::ignoreEnd;
      this->EvhttpRequest->chunk_cb = nullptr;
      this->EvhttpRequest = nullptr;
    }
    if (this->ConnectTimer != nullptr) {
      event_del(this->ConnectTimer);
    }
  }

  void markSent() {
    if (this->Result.Sent) {
      return;
    }
    this->Result.Sent = true;
    if (this->ConnectTimer != nullptr) {
      event_del(this->ConnectTimer);
    }
    if (this->Events.Sending) {
      this->Events.Sending();
    }
  }

  // evhttp fills the output buffer only once the connection is established, so
  // bytes may have been sent from the first growth of that buffer on.
  static void onOutput(evbuffer *, const evbuffer_cb_info *Info, void *Arg) {
    if (Info->n_added > 0) {
      static_cast<Call *>(Arg)->markSent();
    }
  }

  // evhttp bounds the body and each head alone, not the number of interim
  // heads, the line of a chunk's size or the trailers.
  static void onInput(evbuffer *, const evbuffer_cb_info *Info, void *Arg) {
    Call *C = static_cast<Call *>(Arg);
    C->ReceivedBytes += Info->n_added;
    size_t Limit =
        C->Result.Status == 0 ? MaxResponseHeadBytes : MaxResponseBytes;
    if (C->ReceivedBytes > Limit) {
      C->detach();
      C->Owner->completeCall(*C, false);
    }
  }

  static void onConnectTimeout(evutil_socket_t, short, void *Arg) {
    Call *C = static_cast<Call *>(Arg);
    C->detach();
    C->Owner->completeCall(*C, false);
  }

  void readHeaders(evhttp_request *Response) {
    this->Result.Status = evhttp_request_get_response_code(Response);
    evkeyvalq *List = evhttp_request_get_input_headers(Response);
    for (evkeyval *Pair = List->tqh_first; Pair != nullptr;
         Pair = Pair->next.tqe_next) {
      std::string Name = Pair->key;
      std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
      this->Result.Headers[Name] = Pair->value;
    }
  }

  void consumeBody(evhttp_request *Response) {
    evbuffer *Input = evhttp_request_get_input_buffer(Response);
    size_t Length = evbuffer_get_length(Input);
    std::string Part(Length, '\0');
    evbuffer_remove(Input, &Part[0], Length);
    if (this->Events.Chunk && this->Result.Status == 200) {
      this->Events.Chunk(Part);
    } else {
      this->Result.Body += Part;
    }
  }

  static void onChunk(evhttp_request *Response, void *Arg) {
    Call *C = static_cast<Call *>(Arg);
    if (C->Result.Status == 0) {
      C->readHeaders(Response);
    }
    C->consumeBody(Response);
  }

  static void onDone(evhttp_request *Response, void *Arg) {
    Call *C = static_cast<Call *>(Arg);
    C->EvhttpRequest = nullptr;
    bool HasResponse =
        Response != nullptr && evhttp_request_get_response_code(Response) != 0;
    if (HasResponse) {
      if (C->Result.Status == 0) {
        C->readHeaders(Response);
      }
      if (evbuffer_get_length(evhttp_request_get_input_buffer(Response)) > 0) {
        C->consumeBody(Response);
      }
      // Without a length or a last chunk, the end of the connection does not
      // prove that the response is complete. An interim response never is.
      const auto &Headers = C->Result.Headers;
      C->Result.Complete =
          isFinalStatus(C->Result.Status) &&
          (Headers.count("content-length") != 0 || Response->chunked != 0);
    }
    auto Close = C->Result.Headers.find("connection");
    bool Closing = Close != C->Result.Headers.end() && Close->second == "close";
    C->Owner->completeCall(*C, HasResponse && C->Result.Complete && !Closing);
  }
};

HttpClient::HttpClient(event_base *Base)
    : Base(Base), DeferredWorkEvent(event_new(
                      Base, -1, 0, &HttpClient::runDeferredWork, this)) {}

HttpClient::~HttpClient() {
  for (auto &Item : this->Calls) {
    Item.second->detach();
    this->ConnectionsToFree.push_back(Item.second->Connection);
  }
  this->Calls.clear();
  this->FinishedCalls.clear();
  for (auto &Item : this->IdleConnections) {
    for (const IdleConnection &I : Item.second) {
      this->ConnectionsToFree.push_back(I.Connection);
    }
  }
  runDeferredWork(-1, 0, this);
  event_free(this->DeferredWorkEvent);
}

// Results are reported and connections freed from the event loop, never from
// within a callback of evhttp or from within `start`.
void HttpClient::runDeferredWork(evutil_socket_t, short, void *Self) {
  HttpClient *Client = static_cast<HttpClient *>(Self);
  while (!Client->FinishedCalls.empty()) {
    std::unique_ptr<Call> Owned = std::move(Client->FinishedCalls.front());
    Client->FinishedCalls.pop_front();
    if (Owned->Events.Done) {
      Owned->Events.Done(Owned->Result);
    }
  }
  std::vector<evhttp_connection *> Connections;
  Connections.swap(Client->ConnectionsToFree);
  for (evhttp_connection *Connection : Connections) {
    evhttp_connection_free(Connection);
  }
}

void HttpClient::scheduleFree(evhttp_connection *Connection) {
  this->ConnectionsToFree.push_back(Connection);
  event_active(this->DeferredWorkEvent, 0, 0);
}

evhttp_connection *HttpClient::connectionFor(const HttpRequest &Request,
                                             bool &IsNew) {
  IsNew = false;
  if (Request.ReuseConnection) {
    std::vector<IdleConnection> &List =
        this->IdleConnections[Request.To.text()];
    while (!List.empty()) {
      IdleConnection Candidate = List.back();
      List.pop_back();
      bufferevent *Socket =
          evhttp_connection_get_bufferevent(Candidate.Connection);
      bool Usable = bufferevent_getfd(Socket) != -1 &&
                    ProcessClock::now() - Candidate.Since < MaxIdleTime;
      if (Usable) {
        return Candidate.Connection;
      }
      this->scheduleFree(Candidate.Connection);
    }
  }
  IsNew = true;
  return evhttp_connection_base_new(this->Base, nullptr, Request.To.Ip.c_str(),
                                    Request.To.Port);
}

static evhttp_cmd_type toEvhttpCommand(const std::string &Method) {
  if (Method == "GET") {
    return EVHTTP_REQ_GET;
  }
  if (Method == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  return Method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_POST;
}

HttpCallHandle HttpClient::start(HttpRequest Request, HttpEvents Events) {
  std::unique_ptr<Call> Owned = std::make_unique<Call>();
  Call &C = *Owned;
  C.Owner = this;
  C.Id = this->NextCall++;
  C.Request = std::move(Request);
  C.Events = std::move(Events);
  bool IsNew = false;
  C.Connection = this->connectionFor(C.Request, IsNew);
  timeval Timeout = toTimeval(C.Request.Timeout);
  evhttp_connection_set_timeout_tv(C.Connection, &Timeout);
  evhttp_connection_set_max_body_size(C.Connection, MaxResponseBytes);
  if (IsNew) {
    C.ConnectTimer = event_new(this->Base, -1, 0, &Call::onConnectTimeout, &C);
    timeval Connect = toTimeval(C.Request.ConnectTimeout);
    event_add(C.ConnectTimer, &Connect);
  }
  C.OutputCallback = evbuffer_add_cb(C.output(), &Call::onOutput, &C);
  C.InputCallback = evbuffer_add_cb(C.input(), &Call::onInput, &C);
  evhttp_request *Out = evhttp_request_new(&Call::onDone, &C);
  evhttp_request_set_chunked_cb(Out, &Call::onChunk);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Out);
  evhttp_add_header(Headers, "Host", C.Request.To.text().c_str());
  for (const auto &Header : C.Request.Headers) {
    evhttp_add_header(Headers, Header.first.c_str(), Header.second.c_str());
  }
  if (!C.Request.Body.empty()) {
    evbuffer_add(evhttp_request_get_output_buffer(Out), C.Request.Body.data(),
                 C.Request.Body.size());
  }
  HttpCallHandle H{C.Id};
  this->Calls[C.Id] = std::move(Owned);
  Call *Started = this->Calls[H.Index].get();
  Started->EvhttpRequest = Out;
  int Failed = evhttp_make_request(Started->Connection, Out,
                                   toEvhttpCommand(Started->Request.Method),
                                   Started->Request.Path.c_str());
  auto It = this->Calls.find(H.Index);
  if (Failed != 0 && It != this->Calls.end()) {
    It->second->EvhttpRequest = nullptr;
    this->completeCall(*It->second, false);
  }
  return H;
}

void HttpClient::completeCall(Call &C, bool KeepConnection) {
  auto It = this->Calls.find(C.Id);
  std::unique_ptr<Call> Owned = std::move(It->second);
  this->Calls.erase(It);
  Owned->removeCallbacks();
  std::vector<IdleConnection> *List =
      KeepConnection && Owned->Request.ReuseConnection
          ? &this->IdleConnections[Owned->Request.To.text()]
          : nullptr;
  if (List != nullptr && List->size() < MaxIdlePerAddress) {
    List->push_back(IdleConnection{Owned->Connection, ProcessClock::now()});
  } else {
    this->ConnectionsToFree.push_back(Owned->Connection);
  }
  this->FinishedCalls.push_back(std::move(Owned));
  event_active(this->DeferredWorkEvent, 0, 0);
}

void HttpClient::abort(HttpCallHandle H) {
  auto It = this->Calls.find(H.Index);
  if (It != this->Calls.end()) {
    It->second->detach();
    evhttp_connection *Connection = It->second->Connection;
    this->Calls.erase(It);
    this->scheduleFree(Connection);
    return;
  }
  auto Same = [&](const std::unique_ptr<Call> &C) { return C->Id == H.Index; };
  this->FinishedCalls.erase(std::remove_if(this->FinishedCalls.begin(),
                                           this->FinishedCalls.end(), Same),
                            this->FinishedCalls.end());
}

} // namespace shallotlatch
