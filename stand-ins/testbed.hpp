// Test bed: a forwarder process among a stand-in directory and partners, with a check of the delivery
// guarantees.
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

// A submitted message and the frontend's answers to it.
struct MessageRecord {
  Message message;
  std::string frontend;
  std::vector<SubmitResult> results;  // one for each submission that was answered
  std::size_t submissions = 0;
  bool accepted() const;
  bool allAnswered() const { return results.size() == submissions; }
};

// Runs the stand-ins on its own io_context, on the thread that calls runFor() or runUntil(). Not thread-safe.
class Testbed {
 public:
  // Creates `partnerCount` destinations, numbered from 0, with one endpoint each, all listed in the
  // directory.
  Testbed(const std::string& program, std::size_t partnerCount, const ForwarderProcess::Options& options,
          const PartnerSettings& partnerSettings = {});

  boost::asio::io_context& io() { return io_; }
  Directory& directory() { return directory_; }
  EffectLog& effects() { return effects_; }
  Partner& partner(std::size_t index) { return *partners_.at(index); }
  std::size_t partnerCount() const { return partners_.size(); }
  ForwarderProcess& forwarder() { return *forwarder_; }
  OutcomeStreamReader& outcomeStream() { return *outcomeStream_; }
  const std::map<std::string, MessageRecord>& records() const { return records_; }

  // Starts the forwarder and the outcome stream reader; blocks until the forwarder is ready.
  void start();
  // Starts the forwarder again after its exit, with the same folder and endpoints.
  void restart();
  // Submits the message through the client; `frontend` names the client in reports.
  void submitVia(Client& client, const std::string& frontend, const Message& message);

  // Runs the stand-ins until the condition holds; returns false if it does not within the timeout.
  bool runUntil(const std::function<bool()>& condition, milliseconds timeout);
  void runFor(milliseconds duration);
  // Returns at `time` with microsecond precision, for scheduled submissions.
  void runUntil(Clock::time_point time);
  // Whether every submission was answered and every accepted message has its final outcome.
  bool allCompleted() const;
  // delivered, given_up, handed_back or over for an accepted message; refused, failed or "no answer" for
  // others.
  std::string finalOutcome(const MessageRecord& record) const;
  // Describes every violation of the delivery guarantees; empty if there is none.
  std::vector<std::string> violations() const;

 private:
  boost::asio::io_context io_;
  Directory directory_;
  EffectLog effects_;
  std::vector<std::unique_ptr<Partner>> partners_;
  std::unique_ptr<ForwarderProcess> forwarder_;
  std::unique_ptr<OutcomeStreamReader> outcomeStream_;
  std::map<std::string, MessageRecord> records_;
};

// Makes a message of one of the three classes in turn, with the id "PREFIX-NUMBER".
Message makeMessage(const std::string& prefix, std::size_t number, std::size_t destinationCount);

}  // namespace quilltide::standin
