// One run of a forwarder among its stand-ins, with a judge that has heard all sides.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "client.hpp"
#include "directory.hpp"
#include "partner.hpp"
#include "process.hpp"

namespace quilltide::standin {

// What was told of one message by all who had to do with it.
struct Fate {
  Message message;
  std::string frontend;
  std::vector<Told> told;  // one for each time that it was handed in; none yet heard is missing
  std::size_t asked = 0;
  bool taken() const;
  bool heard() const { return told.size() == asked; }
};

class Run {
 public:
  // Partners of destinations 0, 1, ... with one endpoint each, all listed.
  Run(const std::string& program, std::size_t partners, const ForwarderProcess::Options& options,
      const Pace& pace = {});

  boost::asio::io_context& io() { return io_; }
  Directory& directory() { return directory_; }
  Effects& effects() { return effects_; }
  Partner& partner(std::size_t i) { return *partners_.at(i); }
  std::size_t partners() const { return partners_.size(); }
  ForwarderProcess& process() { return *process_; }
  EndsReader& ends() { return *ends_; }
  const std::map<std::string, Fate>& fates() const { return fates_; }

  void start();    // the process, and a reader of its ends
  void restart();  // after its end: the same folder and addresses
  void hand(Client& client, const std::string& frontend, const Message& message);

  // Plays until the condition holds, or that long.
  bool until(const std::function<bool()>& holds, milliseconds most);
  void wait(milliseconds time);
  void until(Clock::time_point time);  // to the microsecond, for what is paced by a schedule
  // Every message handed in was answered, and every one taken has come to its end.
  bool over() const;
  // delivered, given_up, handed_back or over of one that was taken; refused, failed or no answer of others.
  std::string endOf(const Fate& fate) const;
  // Every promise that this run saw broken, in words.
  std::vector<std::string> broken() const;

 private:
  boost::asio::io_context io_;
  Directory directory_;
  Effects effects_;
  std::vector<std::unique_ptr<Partner>> partners_;
  std::unique_ptr<ForwarderProcess> process_;
  std::unique_ptr<EndsReader> ends_;
  std::map<std::string, Fate> fates_;
};

// A message of one of the three classes, in turn, with an id that tells run and number.
Message messageOf(const std::string& prefix, std::size_t number, std::size_t destinations);

}  // namespace quilltide::standin
