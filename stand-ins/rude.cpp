// The rude clients' connections.
#include "rude.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>

namespace quilltide::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

enum class Sort { silent, half, endless, deaf };

std::string firstOf(Sort sort, RudeClients::Frontend frontend) {
  const bool http = frontend == RudeClients::Frontend::http;
  switch (sort) {
    case Sort::silent:
      return "";
    case Sort::half:
      return http ? "POST /v1/messages?class=statut HTTP/1.1\r\nHost: f\r\nX-"
                  : "*5\r\n$7\r\nENQUEUE\r\n$1\r\n";
    case Sort::endless:
      return http ? "POST /v1/messages?class=statut&destination=0&time_left_ms=5000 HTTP/1.1\r\nHost: f\r\n"
                    "Content-Length: 65536\r\n\r\n"
                  : "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nee\r\n$26\r\nc=statut,d=5000,dest=0,k=1\r\n$"
                    "65536\r\n";
    case Sort::deaf:
      break;
  }
  std::string many;
  for (int i = 0; i < 200; ++i)
    many += http ? "GET /v1/messages/nobody HTTP/1.1\r\nHost: f\r\n\r\n" : "*1\r\n$4\r\nPING\r\n";
  return many;
}

}  // namespace

struct RudeClients::One {
  One(asio::io_context& io, std::size_t place) : socket(io), timer(io), place(place) {}
  Sort sort() const { return static_cast<Sort>(place % 4); }
  tcp::socket socket;
  asio::steady_timer timer;
  std::size_t place;
  std::string out;
  std::array<char, 4096> in;
  bool connected = false, over = false;
};

RudeClients::RudeClients(asio::io_context& io, const tcp::endpoint& to, Frontend frontend, std::size_t count,
                         std::size_t most)
    : io_(io), to_(to), frontend_(frontend), most_(most), all_(count) {
  for (std::size_t i = 0; i < count; ++i) open(i);
}

RudeClients::~RudeClients() {
  *alive_ = false;
  error_code ignored;
  for (const auto& one : all_) {
    if (!one) continue;
    one->timer.cancel();
    one->socket.close(ignored);
  }
}

std::size_t RudeClients::connected() const {
  std::size_t count = 0;
  for (const auto& one : all_) count += one && one->connected && !one->over ? 1 : 0;
  return count;
}

void RudeClients::open(std::size_t place) {
  if (opened_ >= most_) return;
  ++opened_;
  auto one = all_[place] = std::make_shared<One>(io_, place);
  one->socket.async_connect(to_, [this, one, alive = alive_](error_code error) {
    if (!*alive) return;
    if (error) return again(one);
    one->connected = true;
    one->out = firstOf(one->sort(), frontend_);
    if (one->sort() != Sort::silent) send(one);
    // Who is deaf learns of the end only by writing.
    if (one->sort() != Sort::deaf) read(one);
  });
}

void RudeClients::send(const std::shared_ptr<One>& one) {
  asio::async_write(
      one->socket, asio::buffer(one->out), [this, one, alive = alive_](error_code error, std::size_t) {
        if (!*alive || one->over) return;
        if (error) return again(one);
        if (one->sort() == Sort::half) return;
        if (one->sort() == Sort::endless) one->out = "x";
        one->timer.expires_after(std::chrono::milliseconds(one->sort() == Sort::endless ? 100 : 5));
        one->timer.async_wait([this, one, alive](error_code cancelled) {
          if (!cancelled && *alive && !one->over) send(one);
        });
      });
}

void RudeClients::read(const std::shared_ptr<One>& one) {
  one->socket.async_read_some(asio::buffer(one->in),
                              [this, one, alive = alive_](error_code error, std::size_t) {
                                if (!*alive || one->over) return;
                                if (error) return again(one);
                                read(one);
                              });
}

void RudeClients::again(const std::shared_ptr<One>& one) {
  one->over = true;
  error_code ignored;
  one->socket.close(ignored);
  one->timer.expires_after(std::chrono::milliseconds(20));
  one->timer.async_wait([this, one, alive = alive_](error_code error) {
    if (!error && *alive) open(one->place);
  });
}

}  // namespace quilltide::standin
