// Clients outside the limits, or that neither end nor go on, must not take an
// instance's memory or descriptors: it would end with all its streams, or serve
// nobody else. Each crowd meets a real process twice, once with the memory in
// its settings and once as the kernel tells it.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

#include "crowds/crowd_site.h"
#include "support/running_site.h"

namespace pomeloring::test {
namespace {

constexpr size_t kMegabyte = size_t{1024} * 1024;
constexpr size_t kClients = 40;
// More than a crowd of kClients with a connection to an upstream each.
constexpr size_t kMaxDescriptors = 200;

std::string Head(const std::string& path, const std::string& framing) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: crowd\r\n"
      "X-Key: key-1\r\nX-Deadline-Ms: 20000\r\nX-Model: m\r\n"
      "X-Token-Counts: 100,100\r\n{}\r\n\r\n",
      path, framing);
}

std::string Chunk(size_t bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

constexpr char kChunked[] = "Transfer-Encoding: chunked";

void Meet(size_t count, const CrowdClient& client) {
  for (const bool sets_memory : {true, false}) {
    CAPTURE(sets_memory);
    CrowdSite site({.sets_memory = sets_memory});
    site.Gather(site.CallerAddress(), count, client);
    site.CheckServes(kMaxDescriptors);
  }
}

// Guards against bodies that are admitted while small and then grow.
TEST_CASE("large chunks that stop short") {
  Meet(kClients, {Head("/check/1", kChunked), Chunk(64 * 1024), 60});
}

// Guards against bodies that grow by little in each read.
TEST_CASE("chunks of one byte that stop short") {
  std::string piece;
  for (int i = 0; i < 1000; ++i) {
    piece += Chunk(1);
  }
  Meet(kClients, {Head("/check/1", kChunked), piece, 500});
}

// Guards against a process whose memory only the kernel tells.
TEST_CASE("announced bodies that stop short") {
  const std::string length = fmt::format("Content-Length: {}", 4 * kMegabyte);
  Meet(kClients, {Head("/check/1", length), std::string(64 * 1024, 'x'), 63});
}

// Guards against a body being read that its length alone excludes.
TEST_CASE("announced bodies far over the limit") {
  const std::string length = fmt::format("Content-Length: {}", 64 * kMegabyte);
  Meet(kClients, {Head("/check/1", length), std::string(64 * 1024, 'x'), 256});
}

// Guards against bodies that are held until their sum of chunks is too large.
TEST_CASE("chunked bodies far over the limit") {
  Meet(kClients, {Head("/check/1", kChunked), Chunk(64 * 1024), 256});
}

// Guards against complete replies that wait for their callers.
TEST_CASE("long answers that nobody reads") {
  Meet(kClients,
       {Head(fmt::format("/check/{}", 4 * kMegabyte), "Content-Length: 0"), "",
        0, false});
}

// Guards against streams that run ahead of their callers.
TEST_CASE("streams that nobody reads") {
  Meet(kClients, {Head("/ask/1000", "Content-Length: 0"), "", 0, false});
}

// Guards against bytes that wait behind a request that is being served.
TEST_CASE("bytes behind a request in progress") {
  const std::string length = fmt::format("Content-Length: {}", kMegabyte);
  Meet(kClients,
       {Head("/ask/1000", "Content-Length: 0") + Head("/check/1", length),
        std::string(16 * 1024, 'x'), 40, false});
}

// Guards against heads without an end.
TEST_CASE("heads that do not end") {
  Meet(2 * kClients,
       {"POST /check/1 HTTP/1.1\r\nHost: site.example\r\nX-Rest: ",
        std::string(1000, 'x'), 15});
}

// Guards against bodies at the addresses that only answer.
TEST_CASE("bodies at the other addresses") {
  for (const bool sets_memory : {true, false}) {
    CAPTURE(sets_memory);
    CrowdSite site({.sets_memory = sets_memory});
    const CrowdClient client{Head("/", kChunked), Chunk(64 * 1024), 60};
    site.Gather(site.DirectoryAddress(), kClients / 2, client);
    site.Gather(site.ReadyAddress(), kClients / 4, client);
    site.Gather(site.MetricsAddress(), kClients / 4, client);
    site.CheckServes(kMaxDescriptors);
  }
}

// Guards against a bound on memory that refuses a body inside the limits.
TEST_CASE("a body at the limit alone") {
  for (const bool sets_memory : {true, false}) {
    CAPTURE(sets_memory);
    const CrowdSite site({.sets_memory = sets_memory});
    for (const size_t chunk : {size_t{1}, size_t{64} * 1024, 4 * kMegabyte}) {
      CAPTURE(chunk);
      // Of the smallest chunks, fewer: each takes six bytes.
      const size_t count = std::min(4 * kMegabyte / chunk, kMegabyte);
      std::string request =
          Head("/check/1", fmt::format("Connection: close\r\n{}", kChunked));
      for (size_t i = 0; i < count; ++i) {
        request += Chunk(chunk);
      }
      request += "0\r\n\r\n";
      const std::string reply = SendRaw(site.CallerAddress(), request);
      CHECK(reply.starts_with("HTTP/1.1 200"));
    }
  }
}

// Guards against connections that hold the room of bodies while they are idle.
TEST_CASE("idle clients whose bodies have been served") {
  constexpr size_t kIdle = 480;
  const size_t body = 64 * 1024;
  CrowdSite site({.sets_memory = false});
  site.Gather(site.CallerAddress(), kIdle,
              {Head("/check/1", fmt::format("Content-Length: {}", body)),
               std::string(body, 'x'), 1});
  const std::string reply = SendRaw(
      site.CallerAddress(),
      Head("/check/1", fmt::format("Connection: close\r\nContent-Length: {}",
                                   4 * kMegabyte)) +
          std::string(4 * kMegabyte, 'x'));
  CHECK(reply.starts_with("HTTP/1.1 200"));
  site.CheckServes(kIdle + kMaxDescriptors);
}

// Guards against a crowd that leaves no descriptor for the other clients.
TEST_CASE("more connections than descriptors") {
  constexpr size_t kMaxFiles = 200;
  CrowdSite site({.max_files = kMaxFiles});
  site.Gather(site.CallerAddress(), 2 * kMaxFiles, {});
  site.CheckServes(kMaxFiles);
}

// Guards against the same crowd at an address that only answers.
TEST_CASE("more directory connections than descriptors") {
  constexpr size_t kMaxFiles = 200;
  CrowdSite site({.max_files = kMaxFiles});
  site.Gather(site.DirectoryAddress(), 2 * kMaxFiles, {});
  site.CheckServes(kMaxFiles);
}

}  // namespace
}  // namespace pomeloring::test
