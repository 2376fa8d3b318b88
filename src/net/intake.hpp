// Where clients hand messages in: a RESP2 server with PING and ENQUEUE, pipelined, answers in order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "config.hpp"

namespace quilltide::net {

struct Submission {
  std::string id, key, body;
  int messageClass = 0;
  std::int64_t destination = 0;
  Micros left = 0;
};

class Intake {
 public:
  using Answer = std::function<void(const std::string&)>;  // one RESP reply without its line end
  using OnSubmission = std::function<void(Submission, Answer)>;

  Intake(boost::asio::io_context& io, const Config& config, OnSubmission submission);
  ~Intake();

  void listen();  // throws if the address is not to be had
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // Takes nothing more; what was asked is still answered, and then its connection closed.
  void finish();
  std::size_t clients() const { return clients_.size(); }

 private:
  class Client;
  friend class Client;

  void accept();
  bool dropIdle();
  std::string submit(const std::vector<std::string>& words, const std::shared_ptr<Client>& client,
                     std::size_t slot);

  boost::asio::io_context& io_;
  tcp::endpoint listen_;
  Names names_;
  std::size_t most_;
  OnSubmission submission_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::list<std::shared_ptr<Client>> clients_;  // the longest unused first
};

}  // namespace quilltide::net
