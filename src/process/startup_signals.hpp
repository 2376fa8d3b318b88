// Signals that arrive while a process starts.
#pragma once

namespace quilltide::process {

// Holds back SIGHUP, SIGTERM and SIGINT from its construction until release(): the kernel then delivers each
// of them once. To be constructed first in main(), before the process has handlers for them or a second
// thread.
class StartupSignals {
 public:
  StartupSignals();
  StartupSignals(const StartupSignals&) = delete;
  StartupSignals& operator=(const StartupSignals&) = delete;

  // Whether SIGTERM or SIGINT has arrived. The process may then exit without release().
  bool shutdownRequested() const;
  // To be called when handlers are registered and what they act on is ready.
  void release();
};

}  // namespace quilltide::process
