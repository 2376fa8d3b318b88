// Blocks signals with the signal mask of the process.
#include "process/startup_signals.hpp"

#include <signal.h>

#include <initializer_list>

namespace quilltide::process {
namespace {

sigset_t heldSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&signals, number);
  return signals;
}

}  // namespace

StartupSignals::StartupSignals() {
  const sigset_t held = heldSignals();
  ::sigprocmask(SIG_BLOCK, &held, nullptr);
}

bool StartupSignals::shutdownRequested() const {
  sigset_t pending;
  ::sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

void StartupSignals::release() {
  const sigset_t held = heldSignals();
  ::sigprocmask(SIG_UNBLOCK, &held, nullptr);
}

}  // namespace quilltide::process
