// Defines Process: a program that a test starts, signals and waits for.

#ifndef POMELORING_TEST_SUPPORT_PROCESS_H_
#define POMELORING_TEST_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace pomeloring::test {

class Process {
 public:
  // Starts a program of the build's bin folder. What it prints is appended to
  // the file `output`, or dropped where that is empty.
  Process(const std::string& program,
          std::vector<std::string> arguments,
          const std::string& output = "");
  // Kills it if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal);
  // Returns the exit code, or minus the signal that ended it.
  int Wait();
  // The same, or nothing while it runs.
  std::optional<int> TryWait();

 private:
  pid_t m_pid = -1;
};

// Runs a program to its end and returns its exit code.
int RunProgram(const std::string& program, std::vector<std::string> arguments);

struct ProgramResult {
  int exit_code = 0;
  std::string output;  // Standard output and standard error.
};

// The same, and returns what it printed.
ProgramResult RunAndCapture(const std::string& program,
                            std::vector<std::string> arguments);

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_PROCESS_H_
