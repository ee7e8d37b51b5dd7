#include "link/session.h"

namespace pomeloring {
namespace {

// More events than one request can have pending.
constexpr size_t kMailboxCapacity = 64;

}  // namespace

SessionTable::Shard& SessionTable::ShardOf(const RequestId& request) {
  return m_shards[request.sequence % m_shards.size()];
}

std::shared_ptr<Mailbox> SessionTable::Open(
    const RequestId& request,
    const boost::asio::any_io_executor& executor) {
  auto mailbox = std::make_shared<Mailbox>(executor, kMailboxCapacity);
  Shard& shard = ShardOf(request);
  const std::lock_guard lock(shard.mutex);
  shard.mailboxes[request] = mailbox;
  return mailbox;
}

void SessionTable::Close(const RequestId& request) {
  Shard& shard = ShardOf(request);
  const std::lock_guard lock(shard.mutex);
  shard.mailboxes.erase(request);
}

void SessionTable::Post(const RequestId& request, SessionEvent event) {
  std::shared_ptr<Mailbox> mailbox;
  {
    Shard& shard = ShardOf(request);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.mailboxes.find(request);
    if (it == shard.mailboxes.end()) {
      return;
    }
    mailbox = it->second;
  }
  mailbox->try_send(boost::system::error_code{}, std::move(event));
}

}  // namespace pomeloring
