#include "http_server_p.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <stdexcept>

namespace shallotlatch {

static const int ListenBacklog = 1024;

HttpServer::HttpServer(event_base *Base, const HttpServerInit &Init,
                       HttpHandler Handler)
    : Http(evhttp_new(Base)), Socket(nullptr), Init(Init),
      Handler(std::move(Handler)) {
  evhttp_set_allowed_methods(this->Http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                             EVHTTP_REQ_PUT |
                                             EVHTTP_REQ_DELETE);
  // evhttp refuses what is far too large with a page of its own; what is only
  // somewhat too large is refused here, with the limit's name.
  evhttp_set_max_headers_size(this->Http, 2 * ev_ssize_t(Init.MaxHeaderBytes));
  evhttp_set_max_body_size(this->Http, 2 * ev_ssize_t(Init.MaxBodyBytes));
  evhttp_set_timeout(this->Http,
                     static_cast<int>(toMillis(Init.IdleTimeout) / 1000));
  evhttp_set_default_content_type(this->Http, nullptr);
  evhttp_set_gencb(
      this->Http,
      [](evhttp_request *Request, void *Self) {
        static_cast<HttpServer *>(Self)->onRequest(Request);
      },
      this);
  this->Socket = evhttp_bind_socket_with_handle(
      this->Http, Init.ListenAddress.Ip.c_str(), Init.ListenAddress.Port);
  if (this->Socket == nullptr) {
    evhttp_free(this->Http);
    throw std::runtime_error("cannot listen on " + Init.ListenAddress.text());
  }
  listen(evhttp_bound_socket_get_fd(this->Socket), ListenBacklog);
}

static size_t headerBytes(evhttp_request *Request) {
  size_t Sum = 0;
  evkeyvalq *List = evhttp_request_get_input_headers(Request);
  for (evkeyval *Pair = List->tqh_first; Pair != nullptr;
       Pair = Pair->next.tqe_next) {
    Sum += strlen(Pair->key) + strlen(Pair->value) + 4;
  }
  return Sum;
}

void HttpServer::onRequest(evhttp_request *Request) {
  size_t Body = evbuffer_get_length(evhttp_request_get_input_buffer(Request));
  if (headerBytes(Request) > this->Init.MaxHeaderBytes) {
    sendProblem(Request, 431, "headers too large",
                "the headers are larger than " +
                    std::to_string(this->Init.MaxHeaderBytes) + " bytes",
                "");
  } else if (Body > this->Init.MaxBodyBytes) {
    sendProblem(Request, 413, "body too large",
                "the body is larger than " +
                    std::to_string(this->Init.MaxBodyBytes) + " bytes",
                "");
  } else {
    this->Handler(Request);
  }
}

HttpServer::~HttpServer() { evhttp_free(this->Http); }

void HttpServer::stopAccepting() {
  if (this->Socket != nullptr) {
    evhttp_del_accept_socket(this->Http, this->Socket);
    this->Socket = nullptr;
  }
}

RawRequest readRequest(evhttp_request *Request) {
  RawRequest Raw;
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *Path = Uri == nullptr ? nullptr : evhttp_uri_get_path(Uri);
  Raw.Path = Path == nullptr ? "/" : Path;
  evkeyvalq *List = evhttp_request_get_input_headers(Request);
  for (evkeyval *Pair = List->tqh_first; Pair != nullptr;
       Pair = Pair->next.tqe_next) {
    std::string Name = Pair->key;
    std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
    Raw.Headers[Name] = Pair->value;
  }
  evbuffer *In = evhttp_request_get_input_buffer(Request);
  Raw.Body.resize(evbuffer_get_length(In));
  evbuffer_copyout(In, &Raw.Body[0], Raw.Body.size());
  return Raw;
}

std::string methodOf(evhttp_request *Request) {
  switch (evhttp_request_get_command(Request)) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  default:
    return "POST";
  }
}

std::string queryParameter(evhttp_request *Request, const char *Name) {
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *Query = Uri == nullptr ? nullptr : evhttp_uri_get_query(Uri);
  if (Query == nullptr) {
    return "";
  }
  evkeyvalq Pairs;
  if (evhttp_parse_query_str(Query, &Pairs) != 0) {
    return "";
  }
  const char *Found = evhttp_find_header(&Pairs, Name);
  std::string Value = Found == nullptr ? "" : Found;
  evhttp_clear_headers(&Pairs);
  return Value;
}

void addHeader(evhttp_request *Request, const char *Name,
               const std::string &Value) {
  evhttp_add_header(evhttp_request_get_output_headers(Request), Name,
                    Value.c_str());
}

void sendText(evhttp_request *Request, int Status, const std::string &Type,
              const std::string &Body) {
  addHeader(Request, "Content-Type", Type);
  evbuffer_add(evhttp_request_get_output_buffer(Request), Body.data(),
               Body.size());
  evhttp_send_reply(Request, Status, nullptr, nullptr);
}

void sendProblem(evhttp_request *Request, int Status, const std::string &Title,
                 const std::string &Detail, const std::string &Field) {
  nlohmann::json Body{{"title", Title},
                      {"status", Status},
                      {"detail", Detail},
                      {"verdict", name(Outcome::NotRun)}};
  if (!Field.empty()) {
    Body["field"] = Field;
  }
  addHeader(Request, "Shallot-Verdict", name(Outcome::NotRun));
  sendText(Request, Status, "application/problem+json",
           Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace shallotlatch
