#pragma once

#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>

namespace zinniacart::standin {

/// Blocks SIGTERM and SIGINT; call before any thread starts.
inline sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/// Tells the starter which port was bound, then waits for a stop signal.
inline void ServeUntilStopped(const sigset_t& signals, int port) {
  std::printf("ready port=%d\n", port);
  std::fflush(stdout);
  int signal_number = 0;
  sigwait(&signals, &signal_number);
}

}  // namespace zinniacart::standin
