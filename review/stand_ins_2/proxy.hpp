// A proxy in one link, which can be cut: what is open stays open and silent, and new connections bring
// nothing. At the end of the cut all of these are reset.
#pragma once

#include "stand_ins_2/kit.hpp"

namespace kit {

class Proxy {
 public:
  explicit Proxy(int to) : to_(to), server_([this](Connection& connection) { serve(connection); }) {}
  ~Proxy() {
    stopping_ = true;
    server_.stop();
  }
  int port() const { return server_.port(); }
  void cut() { cut_ = true; }
  void heal() {
    ++generation_;
    cut_ = false;
  }

 private:
  static void reset(Connection& connection) {
    const linger hard{1, 0};
    ::setsockopt(connection.fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }
  void serve(Connection& client) {
    const int generation = generation_;
    const bool beganCut = cut_;
    const auto server = beganCut ? nullptr : Connection::to(to_);
    bool wasCut = beganCut;
    while (!stopping_) {
      if (cut_) wasCut = true;
      if (wasCut) {
        if (generation_ != generation) return reset(client);
        sleepMs(10);
        continue;
      }
      if (!server) return reset(client);
      pollfd ends[2] = {{client.fd(), POLLIN, 0}, {server->fd(), POLLIN, 0}};
      if (::poll(ends, 2, 10) <= 0) continue;
      if (cut_) continue;
      for (int i = 0; i < 2; ++i) {
        if (ends[i].revents == 0) continue;
        char block[16384];
        const ssize_t n = ::recv(ends[i].fd, block, sizeof block, 0);
        if (n <= 0) return;
        if (!(i == 0 ? *server : client).write(std::string(block, static_cast<std::size_t>(n)))) return;
      }
    }
  }
  int to_;
  std::atomic<bool> cut_{false}, stopping_{false};
  std::atomic<int> generation_{0};
  Server server_;
};

}  // namespace kit
