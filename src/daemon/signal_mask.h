// Defines BlockHandledSignals(): signals that arrive while a daemon starts wait
// for their handlers.

#ifndef POMELORING_DAEMON_SIGNAL_MASK_H_
#define POMELORING_DAEMON_SIGNAL_MASK_H_

namespace pomeloring {

// Blocks SIGHUP, SIGINT and SIGTERM for this thread and those that it starts.
// Comes first in main(): by default, each of them ends the process.
void BlockHandledSignals();

// Delivers them from now on, also those that have arrived. Called once the
// handlers are installed.
void UnblockHandledSignals();

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_SIGNAL_MASK_H_
