#include "daemon/signal_mask.h"

#include <csignal>
#include <initializer_list>

namespace pomeloring {
namespace {

void SetMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGHUP, SIGINT, SIGTERM}) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void BlockHandledSignals() {
  SetMask(SIG_BLOCK);
}

void UnblockHandledSignals() {
  SetMask(SIG_UNBLOCK);
}

}  // namespace pomeloring
