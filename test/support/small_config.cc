#include "support/small_config.h"

#include <fmt/format.h>

namespace pomeloring::test {

std::string WithOrders(std::string config,
                       size_t engines,
                       std::string_view adapter) {
  const auto insert_after = [&](const std::string& mark, std::string text) {
    config.insert(config.find(mark) + mark.size(), text);
  };
  insert_after(
      R"("models":["m"],)",
      fmt::format(R"("takes_orders":true,"adapters":["{}"],)", adapter));
  for (size_t i = 1; i <= engines; i += 2) {
    insert_after(fmt::format(R"("name":"engine-{}",)", i),
                 R"("checks_fencing":true,)");
  }
  return config;
}

std::string SmallConfig(size_t engines, size_t ledgers, uint32_t slots) {
  std::string model;
  for (size_t i = 1; i <= engines; ++i) {
    model += fmt::format(R"({}{{"name":"engine-{}","address":"10.1.0.{}:1",)"
                         R"("failure_domain":"d","slots":{}}})",
                         i == 1 ? "" : ",", i, i, slots);
  }
  std::string ledger;
  for (size_t i = 1; i <= ledgers; ++i) {
    ledger += fmt::format(R"({}{{"name":"ledger-{}","address":"10.2.0.{}:1",)"
                          R"("failure_domain":"d","slots":{}}})",
                          i == 1 ? "" : ",", i, i, slots);
  }
  return fmt::format(
      R"({{"services":[
      {{"name":"model","kind":"model","models":["m"],"upstreams":[{}]}},
      {{"name":"ledger","kind":"plain","path_prefix":"/l","upstreams":[{}]}}],
    "classes":[
      {{"name":"stamp","service":"ledger","tier":1,"answer_ms":500,
        "longest_wait_ms":5000,"idempotent":false,"when_late":"serve"}},
      {{"name":"question","service":"model","tier":2,"first_token_ms":1100,
        "between_tokens_ms":44}},
      {{"name":"tag","service":"model","tier":3,"answer_ms":5000,
        "idempotent":false,"when_late":"serve"}},
      {{"name":"history","service":"model","tier":5,"answer_ms":600000,
        "when_late":"serve"}}],
    "accounts":[{{"name":"one","key_sha256":"{:064d}"}},
      {{"name":"two","key_sha256":"{:064d}"}}]}})",
      model, ledger, 1, 2);
}

}  // namespace pomeloring::test
