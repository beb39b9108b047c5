// Tests of the HTTP client and of the HTTP server helpers over loopback.
#include "http_client_p.h"
#include "http_server_p.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace shallotlatch;

TEST_GROUP(HttpOverLoopback) {
  event_base *Base = event_base_new();
  Address ServerAddress{"127.0.0.1", 7950};

  void teardown() override { event_base_free(Base); }

  HttpResult exchange(HttpRequest Request) {
    HttpResult Result;
    HttpClient Client(Base);
    HttpEvents Events;
    event_base *Loop = Base;
    Events.Done = [&Result, Loop](const HttpResult &R) {
      Result = R;
      event_base_loopbreak(Loop);
    };
    Request.To = ServerAddress;
    Request.Path = "/";
    Client.start(std::move(Request), std::move(Events));
    event_base_dispatch(Base);
    return Result;
  }

  HttpResult serveOnce(const HttpRequest &Request, const HttpHandler &Handler) {
    HttpServerInit Init;
    Init.ListenAddress = ServerAddress;
    Init.MaxHeaderBytes = 1024;
    Init.MaxBodyBytes = 2048;
    HttpServer Server(Base, Init, Handler);
    return exchange(Request);
  }

  static void respond(evhttp_request * Http) {
    sendText(Http, 200, "text/plain", "served");
  }
};

TEST(HttpOverLoopback, aRefusedConnectionIsNotSent) {
  HttpResult R = exchange(HttpRequest());
  CHECK(!R.Sent);
  LONGS_EQUAL(0, R.Status);
}

TEST(HttpOverLoopback, aWholeAnswerIsWhole) {
  HttpResult R = serveOnce(HttpRequest(), respond);
  CHECK(R.Sent);
  CHECK(R.Complete);
  STRCMP_EQUAL("served", R.Body.c_str());
}

TEST(HttpOverLoopback, anAnswerThatBreaksOffIsSentAndNotWhole) {
  HttpResult R = serveOnce(HttpRequest(), [](evhttp_request *Http) {
    evhttp_send_reply_start(Http, 200, "OK");
    evhttp_connection *Connection = evhttp_request_get_connection(Http);
    event_base_once(
        evhttp_connection_get_base(Connection), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void *Arg) {
          evhttp_connection_free(static_cast<evhttp_connection *>(Arg));
        },
        Connection, nullptr);
  });
  CHECK(R.Sent);
  CHECK(!R.Complete);
}

TEST(HttpOverLoopback, aBodyOverTheLimitIsRefusedWithTheLimit) {
  HttpRequest Request;
  Request.Body = std::string(3000, 'x');
  HttpResult R = serveOnce(Request, respond);
  LONGS_EQUAL(413, R.Status);
  nlohmann::json Problem = nlohmann::json::parse(R.Body);
  STRCMP_EQUAL("the body is larger than 2048 bytes",
               Problem["detail"].get<std::string>().c_str());
  STRCMP_EQUAL("not-run", Problem["verdict"].get<std::string>().c_str());
}

TEST(HttpOverLoopback, headersOverTheLimitAreRefusedWithTheLimit) {
  HttpRequest Request;
  Request.Headers.emplace_back("X-Long", std::string(1500, 'x'));
  HttpResult R = serveOnce(Request, respond);
  LONGS_EQUAL(431, R.Status);
  nlohmann::json Problem = nlohmann::json::parse(R.Body);
  STRCMP_EQUAL("the headers are larger than 1024 bytes",
               Problem["detail"].get<std::string>().c_str());
}
