// Defines Process: a child process that a test starts, signals and waits for.

#ifndef POMELORING_TEST_SUPPORT_PROCESS_H_
#define POMELORING_TEST_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace pomeloring::test {

class Process {
 public:
  // Starts a program from the build's bin directory, or at an absolute path.
  // Its standard output and standard error are appended to the file `output`.
  // If that is empty, they are discarded, or inherited when
  // POMELORING_TEST_OUTPUT is set.
  Process(const std::string& program,
          std::vector<std::string> arguments,
          const std::string& output = "");
  // Kills the process if it is still running.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal);
  // Waits for the process to end. Returns its exit code, or the negated number
  // of the signal that ended it.
  int Wait();
  // As Wait(), but returns nullopt at once if the process is still running.
  std::optional<int> TryWait();
  // -1 once it has ended and was waited for.
  pid_t Pid() const { return m_pid; }

 private:
  pid_t m_pid = -1;
};

// Runs a program to completion and returns its exit code as Wait() does.
int RunProgram(const std::string& program, std::vector<std::string> arguments);

struct ProgramResult {
  int exit_code = 0;
  std::string output;  // Standard output and standard error.
};

// As RunProgram(), and also returns the program's output.
ProgramResult RunAndCapture(const std::string& program,
                            std::vector<std::string> arguments);

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_PROCESS_H_
