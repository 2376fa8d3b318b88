// Accounts of clients' memory, and the choice of the client to evict.
#include "frontend/listener/client_memory.hpp"

#include <algorithm>
#include <iostream>

namespace quilltide::net {
namespace {

// Input that counts as progress of a request. Clients that send byte by byte make none.
constexpr std::size_t kProgressBytes = 1'024;

}  // namespace

void ClientMemory::Account::setBytes(std::size_t bytes) {
  if (bytes == 0) return release();
  if (bytes_ == 0) position_ = memory_.holders_.insert(memory_.holders_.end(), this);
  memory_.bytes_ += bytes - bytes_;
  bytes_ = bytes;
  memory_.evictUntilWithinLimit();
}

void ClientMemory::Account::release() {
  if (bytes_ == 0) return;
  memory_.holders_.erase(position_);
  memory_.bytes_ -= bytes_;
  bytes_ = 0;
  inputSinceProgress_ = 0;
}

void ClientMemory::Account::recordInput(std::size_t bytes) {
  inputSinceProgress_ += bytes;
  if (inputSinceProgress_ >= kProgressBytes) moveBehindOthers();
}

void ClientMemory::Account::recordRequest() { moveBehindOthers(); }

void ClientMemory::Account::moveBehindOthers() {
  inputSinceProgress_ = 0;
  if (bytes_ > 0) memory_.holders_.splice(memory_.holders_.end(), memory_.holders_, position_);
}

void ClientMemory::evictUntilWithinLimit() {
  while (bytes_ > limit_) {
    Account* const victim = selectVictim();
    const std::size_t held = victim->bytes_;
    std::cerr << logName_ << ": clients hold " << bytes_ << " bytes of " << limit_ << ", shared by "
              << holders_.size() << "; evicted one with " << held << ", " << ++evictions_ << " so far"
              << std::endl;
    victim->release();
    victim->onEvicted_();
  }
}

// Above the limit, at least one client holds more than the average, which is above the share.
ClientMemory::Account* ClientMemory::selectVictim() const {
  const std::size_t share = limit_ / holders_.size();
  return *std::find_if(holders_.begin(), holders_.end(),
                       [share](const Account* holder) { return holder->bytes_ > share; });
}

}  // namespace quilltide::net
