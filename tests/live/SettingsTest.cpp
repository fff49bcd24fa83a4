#include <doctest/doctest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "LiveCluster.h"

namespace {

constexpr int SettingsExitCode = 2;

} // namespace

// Guards against a node that starts with invalid settings, or that prints the
// reason among other lines.
TEST_CASE("invalid settings end the process with exit code 2 and a one-line "
          "message") {
  const std::vector<std::vector<std::string>> Bad = {
      {"--node=two words"},
      {"--caller_address=localhost:8080"},
      {"--caller_address=127.0.0.1:70000"},
      {"--caller_address=127.0.0.1:9", "--target_address=127.0.0.1:9"},
      {"--peers=node-2"},
      {"--peers=node-2=127.0.0.1:9"},
      {"--peer_advertised_address=0.0.0.0:9"},
      {"--peer_advertised_address=127.0.0.1:0"},
      {"--peer_address=0.0.0.0:9", "--peers=node-2=127.0.0.1:9"},
      {"--initial_voters=node-7"},
      {"--cluster_secret_file=/no/such/file"},
      {"--operator_key_hash=plain"},
      {"--target_key_hash=plain"},
      {"--operator_address=0.0.0.0:0"},
      {"--balancer_notice_ms=-1"},
      {"--drain_limit_s=0"},
      {"--drain_limit_s=ten"},
      {"--log_level=loud"},
      {"--no_such_flag=1"},
      {"argument"}};
  std::string Log = (std::filesystem::temp_directory_path() /
                     ("turmericdyke-settings-" + std::to_string(getpid())))
                        .string();
  for (const std::vector<std::string> &Arguments : Bad) {
    CAPTURE(Arguments.front());
    std::filesystem::remove(Log);
    NodeProcess Node(Arguments, Log);
    Node.start();
    CHECK(Node.waitForExit(LongTimeout) == SettingsExitCode);
    std::ifstream File(Log);
    int Lines = 0;
    for (std::string Line; std::getline(File, Line); ++Lines)
      CHECK_FALSE(Line.empty());
    CHECK(Lines == 1);
  }
  std::filesystem::remove(Log);
}
