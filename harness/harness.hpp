// Runs processes on loopback with a fault-injecting proxy in each link, for scenarios, tests and
// verification.
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

// Placeholders in the arguments, environment and files of a process:
//   {folder}         the folder of the process
//   {state}          its state folder, which can be erased, saved and restored
//   {at:PORT}        address 127.x.y.z:n of its own port PORT, the same at each start
//   {to:OTHER.PORT}  address of its proxy to PORT of the process OTHER: the link "SELF->OTHER.PORT"
//   {of:OTHER.PORT}  address of PORT of the process OTHER without a proxy
// Processes can be added in any order; links are created at start(), when placeholders are expanded.
// All calls are made on the thread that runs the io_context. The destructor kills all processes and removes
// the folder, unless it is to be kept.
class Harness {
 public:
  // Without a folder, a temporary one is created; a folder that is given is kept. Throws std::runtime_error
  // or std::filesystem::filesystem_error if the folder cannot be created.
  explicit Harness(boost::asio::io_context& io, std::filesystem::path folder = {});
  ~Harness();
  Harness(const Harness&) = delete;
  Harness& operator=(const Harness&) = delete;

  boost::asio::io_context& io() { return io_; }
  Timeline& timeline() { return timeline_; }
  const std::filesystem::path& folder() const { return folder_; }
  void keepFolder() { keepFolder_ = true; }

  // Throws std::invalid_argument if the name is taken.
  ChildProcess& add(ProcessConfig config);
  void start(const std::string& name);
  void startAll();
  ChildProcess& child(const std::string& name);                     // throws std::out_of_range
  FaultProxy& link(const std::string& name);                        // "a->b.port"; throws std::out_of_range
  std::vector<ChildProcess*> children(const std::string& pattern);  // names that match a regex
  std::vector<std::pair<std::string, FaultProxy*>> links(const std::string& pattern);
  tcp::endpoint portEndpoint(const std::string& child, const std::string& port);  // {at:PORT}
  tcp::endpoint linkEndpoint(const std::string& clientProcess, const std::string& serverProcess,
                             const std::string& port);  // {to:OTHER.PORT}; creates the link

  // Runs the event loop until the condition is true. Returns false after the timeout.
  bool waitUntil(const std::function<bool()>& condition, milliseconds timeout);
  // Runs the event loop for the duration.
  void runFor(milliseconds duration);
  // Waits for an output line of the process that matches, since its last start. Returns false after the
  // timeout.
  bool waitForLine(const std::string& child, const std::string& regex, milliseconds timeout);

 private:
  std::string expandPlaceholders(const std::string& processName, const std::string& text);
  void pollChildren();

  boost::asio::io_context& io_;
  Timeline timeline_;
  std::filesystem::path folder_;
  bool keepFolder_ = false;
  std::map<std::string, ProcessConfig> configs_;        // placeholders not expanded
  std::map<std::string, tcp::endpoint> portEndpoints_;  // "child.port"
  std::map<std::string, std::unique_ptr<FaultProxy>> links_;
  std::map<std::string, std::unique_ptr<ChildProcess>> children_;
  std::map<std::string, std::size_t> firstEntryOfRun_;  // index into timeline entries
  boost::asio::steady_timer pollTimer_;
};

// "127.1.2.3:4567"
std::string toString(const tcp::endpoint& endpoint);

}  // namespace quilltide::harness
