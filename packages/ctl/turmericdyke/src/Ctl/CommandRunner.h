#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Ctl/CtlOptions.h"
#include "turmericdyke/src/Ctl/OperatorClient.h"
#include "turmericdyke/src/Declaration/Declaration.h"

namespace turmericdyke {

/// Runs the commands of turmericctl. Results go to the output stream as text or
/// as one JSON document, everything else to the error stream.
class CommandRunner {
public:
  /// Both arguments outlive the runner.
  CommandRunner(const CtlOptions &Options, CtlStreams &Streams);

  /// Runs the command `Arguments[0]` with the rest as its arguments.
  ExitCode run(absl::Span<const std::string> Arguments);

private:
  using Arguments = absl::Span<const std::string>;
  struct Command;
  static const Command Commands[];

  ExitCode apply(Arguments Files);
  ExitCode check(Arguments Files);
  ExitCode diff(Arguments Files);
  ExitCode drain(Arguments Names);
  ExitCode get(Arguments None);
  ExitCode hashKey(Arguments None);
  ExitCode history(Arguments None);
  ExitCode status(Arguments Section);
  ExitCode undrain(Arguments Names);
  ExitCode wait(Arguments None);

  /// Reads and checks declaration files; the error is the exit code, after the
  /// reason was written.
  Result<Declaration, ExitCode> readFiles(Arguments Files);
  /// Reads `Path`; the error is the exit code, after the reason was written.
  Result<nlohmann::json, ExitCode> fetch(const std::string &Path);
  Result<nlohmann::json, ExitCode> fetchDeclaration(std::int64_t Revision);
  /// `ResendFlags` are the flags with which the change can be sent again.
  ExitCode reportChange(const OperatorAnswer &Answer,
                        std::string_view ResendFlags);
  ExitCode reportRefusal(const OperatorAnswer &Answer);
  ExitCode setDrained(const std::string &Name, bool Drained);
  /// `target` or `host`; empty after the reason was written.
  std::string findKind(const std::string &Name, ExitCode &Failed);
  ExitCode waitForRevision(std::int64_t Revision);
  std::string changeId();
  void print(const nlohmann::json &Value, std::string_view Text);
  ExitCode fail(ExitCode Code, std::string_view Message);

  const CtlOptions &m_options;
  CtlStreams &m_streams;
  OperatorClient m_client;
};

} // namespace turmericdyke
