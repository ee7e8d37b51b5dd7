// A head that no reply may have is neither forwarded nor skipped: the attempt
// has failed, and what follows on the connection is not read.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <thread>

#include "support/gateway_site.h"
#include "support/keep_alive_upstream.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

// Until two instances know each other.
constexpr std::chrono::milliseconds kMembershipTime{1500};

constexpr char kFields[] =
    "X-Request-Id: r1\r\nX-Response-Seal: seal-0\r\nX-Not-Executed: 1\r\n";

struct Head {
  std::string name;
  std::string bytes;
  std::string status = "502";  // Of the client's reply.
};

// Each with a body that is itself a reply.
std::vector<Head> InvalidHeads() {
  const std::string inner = SignedReply(200, "inner");
  const std::string length =
      fmt::format("Content-Length: {}\r\n", inner.size());
  const std::string chunks =
      fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", inner.size(), inner);
  std::vector<Head> heads;
  for (const char* status : {"000", "001", "020", "099", "100", "101", "199"}) {
    const std::string line =
        fmt::format("HTTP/1.1 {} x\r\n{}", status, kFields);
    heads.push_back({fmt::format("{} with a length", status),
                     line + length + "\r\n" + inner});
    heads.push_back({fmt::format("{} in chunks", status),
                     line + "Transfer-Encoding: chunked\r\n\r\n" + chunks});
    if (std::string_view(status) < "100" || std::string_view(status) == "101") {
      heads.push_back({status, line + "\r\n" + inner});
      heads.push_back({fmt::format("{} alone", status), line + "\r\n"});
    }
  }
  for (const char* status : {"20", "2000", "2x0", "-20", " 200", "+20"}) {
    heads.push_back({status, fmt::format("HTTP/1.1 {} x\r\n{}\r\n{}", status,
                                         kFields, inner)});
  }
  return heads;
}

std::vector<Head> ValidHeads() {
  const std::string whole = SignedReply(200, "answer");
  return {
      {"100", "HTTP/1.1 100 Continue\r\n\r\n" + whole, "200"},
      {"103, 102",
       "HTTP/1.1 103 x\r\nLink: </a>\r\n\r\nHTTP/1.1 102 x\r\n\r\n" + whole,
       "200"},
      {"empty 100", "HTTP/1.1 100 x\r\nContent-Length: 0\r\n\r\n" + whole,
       "200"},
      {"299", SignedReply(299, "answer"), "299"},
      // Replies are returned unchanged, and clients take these for a 5xx.
      {"600", SignedReply(600, "answer"), "600"},
      {"999", SignedReply(999, "answer"), "999"},
  };
}

void CheckReply(const Head& head, const std::string& client_reply) {
  CAPTURE(head.name);
  CHECK(client_reply.starts_with("HTTP/1.1 " + head.status));
  CHECK(client_reply.find("seal-0") == std::string::npos);
  CHECK(client_reply.find("inner") == std::string::npos);
  CHECK(client_reply.ends_with("answer") == (head.status != "502"));
}

std::vector<Script> ScriptsOf(const std::vector<Head>& heads) {
  std::vector<Script> scripts;
  for (const Head& head : heads) {
    scripts.push_back({head.bytes});
  }
  return scripts;
}

void CheckHeads(const std::vector<Head>& heads) {
  for (const std::string path : {"/stamp/1", "/ask/1"}) {
    CAPTURE(path);
    const std::string service = path == "/ask/1" ? "engines" : "plain";
    ScriptedServer upstream(ScriptsOf(heads));
    const GatewaySite site({{"u1", service, upstream.Address()}});
    for (const Head& head : heads) {
      CheckReply(head, site.PostRequest(path, "Connection: close\r\n"));
    }
    CHECK(upstream.Requests().size() == heads.size());
  }
}

TEST_CASE("A status that no reply may have fails the attempt") {
  CheckHeads(InvalidHeads());
  CheckHeads(ValidHeads());
}

// As above, where the request and the reply cross another instance.
TEST_CASE("A status that no reply may have fails a peer's attempt") {
  std::vector<Head> heads = InvalidHeads();
  for (Head& head : ValidHeads()) {
    heads.push_back(std::move(head));
  }
  ScriptedServer upstream(ScriptsOf(heads));
  const std::string first_address = ClosedAddress();
  const std::string second_address = ClosedAddress();
  const GatewaySite second({{"u1", "plain", upstream.Address()}}, {},
                           {"gateway-2", second_address, {first_address}});
  const GatewaySite first({{"u1", "plain", RefusingAddress()}}, {},
                          {"gateway-1", first_address, {second_address}});
  std::this_thread::sleep_for(kMembershipTime);
  for (const Head& head : heads) {
    CheckReply(head, first.PostRequest("/stamp/1", "Connection: close\r\n"));
  }
  CHECK(upstream.Requests().size() == heads.size());
}

TEST_CASE("A request that may be repeated runs elsewhere") {
  const std::vector<Head> heads = InvalidHeads();
  std::vector<Script> scripts;
  for (const Head& head : heads) {
    scripts.push_back({head.bytes});
    scripts.push_back({SignedReply(200, "answer")});
  }
  ScriptedServer upstream(scripts);
  const GatewaySite site({{"u1", "plain", upstream.Address()},
                          {"u2", "plain", upstream.Address()}});
  for (const Head& head : heads) {
    CAPTURE(head.name);
    CHECK(site.PostRequest("/check/1", "Connection: close\r\n")
              .ends_with("answer"));
  }
}

TEST_CASE("A field name with a blank or a control byte fails the attempt") {
  std::vector<Head> heads;
  for (const std::string& line : LinesWithInvalidNames()) {
    for (const char* status : {"200 OK", "404 x"}) {
      heads.push_back({line, fmt::format("HTTP/1.1 {}\r\nX-Request-Id: r1\r\n"
                                         "X-Response-Seal: seal-0\r\n{}\r\n"
                                         "Content-Length: 5\r\n\r\ninner",
                                         status, line)});
    }
  }
  CheckHeads(heads);
}

TEST_CASE("A connection is used again after interim replies") {
  size_t earlier_replies = 0;
  KeepAliveUpstream upstream([&](const ReceivedRequest& request) {
    earlier_replies = request.earlier_replies.size();
    return KeptReply{
        .undue = "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\n\r\n",
        .reply = KeptReplyText(200, request.id, "X-Response-Seal: seal-1\r\n",
                               "answer")};
  });
  const GatewaySite site({{"u1", "plain", upstream.Address()}});
  for (const std::string id : {"a", "b"}) {
    CHECK(site.Send("POST /stamp/1 HTTP/1.1\r\nHost: site.example\r\n"
                    "X-Key: key-1\r\nConnection: close\r\nX-Request-Id: " +
                    id + "\r\n\r\n")
              .ends_with("answer"));
  }
  CHECK(earlier_replies == 1);
}

}  // namespace
}  // namespace pomeloring::test
