// Bounds the memory that the clients of one frontend make it hold: requests that are not complete, and
// replies that are not read.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <string>

namespace quilltide::net {

// Memory that clients hold, in bytes, against one limit for all of them. When it is exceeded, clients above
// their share (the limit divided by the clients that hold memory) are evicted until the rest fits: first the
// one whose requests have made no progress for longest, so that clients that stop half way give way to those
// that go on. A client within its share is never evicted. Each eviction is logged and counted.
// Used on the event loop thread only; must outlive its accounts.
class ClientMemory {
 public:
  // What one client holds. The client owns it.
  class Account {
   public:
    // `onEvicted` has to release the client's memory and may destroy the client. The account holds nothing
    // any more when it is called.
    Account(ClientMemory& memory, std::function<void()> onEvicted)
        : memory_(memory), onEvicted_(std::move(onEvicted)) {}
    ~Account() { release(); }
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    // Sets what the client holds now. May evict clients, also this one.
    void setBytes(std::size_t bytes);
    void release();
    // Bytes of an unfinished request were received.
    void recordInput(std::size_t bytes);
    // A request was complete.
    void recordRequest();
    std::size_t bytes() const { return bytes_; }

   private:
    friend class ClientMemory;
    void moveBehindOthers();

    ClientMemory& memory_;
    std::function<void()> onEvicted_;
    std::size_t bytes_ = 0;
    std::size_t inputSinceProgress_ = 0;      // bytes received that do not count as progress yet
    std::list<Account*>::iterator position_;  // in holders_, if bytes_ > 0
  };

  // `logName` prefixes the log lines; `limit` is in bytes.
  ClientMemory(std::string logName, std::size_t limit) : logName_(std::move(logName)), limit_(limit) {}
  ClientMemory(const ClientMemory&) = delete;
  ClientMemory& operator=(const ClientMemory&) = delete;

  std::size_t bytes() const { return bytes_; }
  std::size_t evictions() const { return evictions_; }

 private:
  void evictUntilWithinLimit();
  Account* selectVictim() const;

  const std::string logName_;
  const std::size_t limit_;
  std::size_t bytes_ = 0;
  std::size_t evictions_ = 0;
  std::list<Account*> holders_;  // accounts that hold memory, least recent progress first
};

}  // namespace quilltide::net
