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

/// Runs the commands of turmericctl. Results are written to the output stream
/// as text or as one JSON document, all other messages to the error stream.
class CommandRunner {
public:
  /// Both arguments must outlive the runner.
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
  ExitCode evacuation(Arguments Verb);
  ExitCode get(Arguments None);
  ExitCode hashKey(Arguments None);
  ExitCode history(Arguments None);
  ExitCode status(Arguments Section);
  ExitCode undrain(Arguments Names);
  ExitCode wait(Arguments None);

  /// Reads and validates declaration files. On failure, writes the reason and
  /// returns the exit code.
  Result<Declaration, ExitCode> readFiles(Arguments Files);
  /// Fetches `Path` from a node. On failure, writes the reason and returns the
  /// exit code.
  Result<nlohmann::json, ExitCode> fetch(const std::string &Path);
  Result<nlohmann::json, ExitCode> fetchDeclaration(std::int64_t Revision);
  /// Reports the answer to a change. `ResendFlags` are the flags to send the
  /// same change again.
  ExitCode reportChange(const OperatorAnswer &Answer,
                        std::string_view ResendFlags);
  ExitCode reportRefusal(const OperatorAnswer &Answer);
  ExitCode setEvacuated(const std::string &FailureDomain, bool Evacuated);
  ExitCode listEvacuations();
  ExitCode setDrained(const std::string &Name, bool Drained);
  /// Returns `target` or `host`. On failure, writes the reason, sets `Failed`
  /// and returns an empty string.
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
