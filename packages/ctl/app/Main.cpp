#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"
#include "turmericdyke/Ctl"

DEFINE_string(nodes, "127.0.0.1:8082",
              "operator ports of the nodes, ip:port,ip:port, tried in order");
DEFINE_string(operator_key_file, "", "file that holds the operator key");
DEFINE_string(output, "text", "text or json");
DEFINE_string(change_id, "",
              "identifier of the change; random by default. Give the "
              "printed one to send a change again");
DEFINE_string(author, "", "author of the change; the user name by default");
DEFINE_int64(base_revision, -1,
             "revision that the change builds on; the current one by default");
DEFINE_int64(revision, -1, "revision for get, diff and wait");
DEFINE_int32(retries, 5, "maximum number of times that a change is sent again");
DEFINE_double(timeout_s, 10, "timeout in seconds for one answer");
DEFINE_bool(wait, false, "apply: return once every node has the revision");
DEFINE_double(wait_timeout_s, 30, "timeout in seconds of --wait and wait");
DEFINE_string(kind, "", "drain, undrain: target or host; looked up by default");
DECLARE_bool(help);

using namespace turmericdyke;

namespace {

constexpr std::string_view UsageStart =
    R"(usage: turmericctl [FLAGS] COMMAND [ARGUMENTS]

commands:
  apply FILES...    check declaration files and send them as one change
  diff FILES...     what the files would change in the declaration in force
  get               the declaration in force, or that of --revision
  history           accepted changes
  status [SECTION]  nodes, targets, replicas, customers, or all of them
  drain NAME        give no new work to a target or to the targets of a host
  undrain NAME      end a drain
  evacuation start NAME
                    send nothing more to the servers of a failure domain
                    (--nodes: control addresses of the coordinators)
  evacuation end NAME
                    use the servers of the failure domain again
  evacuation list   the failure domains, and what still runs there
  wait              wait until every node has --revision
  hash_key          read a key from standard input, print its salted hash
  check FILES...    check declaration files without contacting a node

exit status:
  0  ok
  1  usage or local error
  2  declaration invalid
  3  refused by the system
  4  unreachable (nothing was sent)
  5  answer lost (the change may have been made)
  6  wait timed out

flags (each also as environment variable TURMERICDYKE_NAME in upper case):
)";

/// Returns the flags of this file, sorted by name.
std::vector<gflags::CommandLineFlagInfo> ownFlags() {
  std::vector<gflags::CommandLineFlagInfo> All;
  std::vector<gflags::CommandLineFlagInfo> Own;
  gflags::GetAllFlags(&All);
  for (const gflags::CommandLineFlagInfo &Flag : All)
    if (Flag.filename == __FILE__)
      Own.push_back(Flag);
  return Own;
}

/// Sets each flag from its environment variable. Runs before the command line
/// is parsed, which therefore takes precedence.
bool readEnvironment() {
  for (const gflags::CommandLineFlagInfo &Flag : ownFlags()) {
    std::string Name = "TURMERICDYKE_" + absl::AsciiStrToUpper(Flag.name);
    const char *Value = std::getenv(Name.c_str());
    if (Value == nullptr)
      continue;
    if (gflags::SetCommandLineOption(Flag.name.c_str(), Value).empty()) {
      std::cerr << fmt::format("turmericctl: {} has an invalid value\n", Name);
      return false;
    }
  }
  return true;
}

void printUsage() {
  std::cout << UsageStart;
  for (const gflags::CommandLineFlagInfo &Flag : ownFlags())
    std::cout << fmt::format(
        "  --{} ({}; default {})\n", Flag.name, Flag.description,
        Flag.default_value.empty() ? "empty" : Flag.default_value);
}

/// Returns the first word of the key file, or an empty string if there is none.
std::string readKey(const std::string &Path) {
  std::ifstream File(Path);
  std::string Key;
  File >> Key;
  return Key;
}

/// Returns why the flags are invalid, or an empty string if they are valid.
std::string flagError() {
  if (FLAGS_output != "text" && FLAGS_output != "json")
    return "--output must be text or json";
  if (!FLAGS_kind.empty() && FLAGS_kind != "target" && FLAGS_kind != "host")
    return "--kind must be target or host";
  if (FLAGS_retries < 0 || FLAGS_retries > 1000)
    return "--retries must be from 0 to 1000";
  bool TimesInRange = FLAGS_timeout_s > 0 && FLAGS_timeout_s <= 3600 &&
                      FLAGS_wait_timeout_s >= 0 &&
                      FLAGS_wait_timeout_s <= 86400;
  if (!TimesInRange)
    return "--timeout_s must be above 0 and at most 3600, --wait_timeout_s "
           "from "
           "0 to 86400";
  if (!FLAGS_operator_key_file.empty() &&
      readKey(FLAGS_operator_key_file).empty())
    return "--operator_key_file cannot be read or contains no key";
  return "";
}

CtlOptions optionsFromFlags() {
  CtlOptions Options;
  Options.m_nodes = absl::StrSplit(FLAGS_nodes, ',', absl::SkipWhitespace());
  if (!FLAGS_operator_key_file.empty())
    Options.m_operatorKey = readKey(FLAGS_operator_key_file);
  Options.m_json = FLAGS_output == "json";
  Options.m_changeId = FLAGS_change_id;
  Options.m_author = FLAGS_author;
  const char *User = std::getenv("USER");
  if (Options.m_author.empty())
    Options.m_author = User == nullptr ? "unknown" : User;
  Options.m_baseRevision = FLAGS_base_revision;
  Options.m_revision = FLAGS_revision;
  Options.m_retries = FLAGS_retries;
  Options.m_timeout = absl::Seconds(FLAGS_timeout_s);
  Options.m_wait = FLAGS_wait;
  Options.m_waitTimeout = absl::Seconds(FLAGS_wait_timeout_s);
  Options.m_kind = FLAGS_kind;
  return Options;
}

} // namespace

int main(int Count, char **Values) {
  constexpr int UsageError = static_cast<int>(ExitCode::UsageError);
  if (!readEnvironment())
    return UsageError;
  gflags::ParseCommandLineNonHelpFlags(&Count, &Values, true);
  if (FLAGS_help) {
    printUsage();
    return static_cast<int>(ExitCode::Ok);
  }
  std::string Error = flagError();
  if (!Error.empty()) {
    std::cerr << "turmericctl: " << Error << "\n";
    return UsageError;
  }
  CtlOptions Options = optionsFromFlags();
  CtlStreams Streams = {std::cin, std::cout, std::cerr};
  std::vector<std::string> Arguments(Values + 1, Values + Count);
  return static_cast<int>(CommandRunner(Options, Streams).run(Arguments));
}
