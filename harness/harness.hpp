// A system of processes on loopback whose every link is a proxy: what a scenario, a test or a proof drives.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "child.hpp"
#include "fault_proxy.hpp"
#include "timeline.hpp"

namespace quilltide::harness {

// Texts of a plan (arguments, environment, files) may name, in braces:
//   {folder}      the process's folder; {state}: the part of it that can be lost or rolled back
//   {at:PORT}     an address of its own, the same at every start: 127.x.y.z:n
//   {to:OTHER.PORT}  the address by which it reaches that port of another process: a proxy of its own, the
//   link
//                 "SELF->OTHER.PORT"
//   {of:OTHER.PORT}  the port's own address, for who only speaks of it
// Processes are added in any order; links are made when texts are filled in, at start().
// One thread. Nothing outlives the harness: processes are killed with it, its folder is removed unless kept.
class Harness {
 public:
  explicit Harness(boost::asio::io_context& io, std::filesystem::path folder = {});
  ~Harness();
  Harness(const Harness&) = delete;
  Harness& operator=(const Harness&) = delete;

  boost::asio::io_context& io() { return io_; }
  Timeline& timeline() { return timeline_; }
  const std::filesystem::path& folder() const { return folder_; }
  void keepFolder() { keep_ = true; }

  Child& add(ChildPlan plan);
  void start(const std::string& name);
  void startAll();
  Child& child(const std::string& name);                     // throws std::out_of_range
  FaultProxy& link(const std::string& name);                 // "a->b.port"; throws std::out_of_range
  std::vector<Child*> children(const std::string& pattern);  // by regex
  std::vector<std::pair<std::string, FaultProxy*>> links(const std::string& pattern);
  tcp::endpoint at(const std::string& child, const std::string& port);  // as {at:PORT} of it
  tcp::endpoint from(const std::string& self, const std::string& other,
                     const std::string& port);  // as {to:...}

  // Runs the loop until it holds; false: not within `most`.
  bool until(const std::function<bool()>& holds, milliseconds most);
  void wait(milliseconds time);
  // A line of that process's log, from its last start on.
  bool awaitLine(const std::string& child, const std::string& regex, milliseconds most);

 private:
  std::string fill(const std::string& self, const std::string& text);
  void tick();

  boost::asio::io_context& io_;
  Timeline timeline_;
  std::filesystem::path folder_;
  bool keep_ = false;
  std::map<std::string, ChildPlan> plans_;      // as given
  std::map<std::string, tcp::endpoint> ports_;  // "child.port"
  std::map<std::string, std::unique_ptr<FaultProxy>> links_;
  std::map<std::string, std::unique_ptr<Child>> children_;
  std::map<std::string, std::size_t> startedAt_;  // the time-line's entry
  boost::asio::steady_timer tick_;
};

// "127.1.2.3:4567"
std::string textOf(const tcp::endpoint& endpoint);

}  // namespace quilltide::harness
