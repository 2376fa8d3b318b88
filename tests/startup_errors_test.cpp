// What the program says when it cannot start: one line that names what failed, where and why.
#include "net_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

struct StartupErrorsTest : NetFixture {
  struct Ended {
    int status = -1;
    std::string output;
  };
  // Runs the program until it ends. `command` is run or check; `stateFolder` replaces the fixture's.
  Ended runProgram(const std::string& command, const std::string& stateFolder = "") {
    const std::string line = "PROXY_CONFIG=" + configPath() +
                             " PROXY_STATE=" + (stateFolder.empty() ? folder.path() : stateFolder) +
                             " exec timeout 10 " FORWARDER " " + command + " 2>&1";
    FILE* output = ::popen(line.c_str(), "r");
    Ended ended;
    for (int c; (c = std::fgetc(output)) != EOF;) ended.output += static_cast<char>(c);
    ended.status = WEXITSTATUS(::pclose(output));
    return ended;
  }
  // Expects status 1 and one line with each of `parts`, and nothing of a library's source.
  void expectError(const Ended& ended, const std::vector<std::string>& parts) {
    EXPECT_EQ(ended.status, 1) << ended.output;
    EXPECT_EQ(std::count(ended.output.begin(), ended.output.end(), '\n'), 1) << ended.output;
    for (const std::string& part : parts)
      EXPECT_NE(ended.output.find(part), std::string::npos) << "'" << part << "' is not in: " << ended.output;
    for (const char* foreign : {"/usr/", "boost", "std::", "basic_", "stoull"})
      EXPECT_EQ(ended.output.find(foreign), std::string::npos) << ended.output;
  }
};

// Guards against an error without the address, and with the source path of a library.
TEST_F(StartupErrorsTest, TakenPortIsNamed) {
  tcp::acceptor taken(io, {asio::ip::make_address("127.0.0.1"), 0});
  config["listen"] = "127.0.0.1:" + std::to_string(taken.local_endpoint().port());
  writeConfig(config.dump());
  expectError(runProgram("run"),
              {"cannot listen on " + config["listen"].get<std::string>(), "already in use"});
}

TEST_F(StartupErrorsTest, AddressThatTheMachineDoesNotHaveIsNamed) {
  config["listen"] = "::2:7000";
  writeConfig(config.dump());
  expectError(runProgram("run"), {"cannot listen on [::2]:7000"});
}

TEST_F(StartupErrorsTest, UnusableStateFolderIsNamed) {
  writeConfig(config.dump());
  const std::string missing = folder.path() + "/missing", file = folder.path() + "/file";
  std::ofstream(file) << "text";
  expectError(runProgram("run", missing), {missing, "No such file or directory"});
  expectError(runProgram("run", file), {file, "Not a directory"});
}

TEST_F(StartupErrorsTest, UnreadableConfigurationIsNamed) {
  for (const std::string command : {"run", "check"}) {
    SCOPED_TRACE(command);
    std::filesystem::remove_all(configPath());
    expectError(runProgram(command), {"cannot open the configuration '" + configPath()});
    std::filesystem::create_directory(configPath());
    expectError(runProgram(command), {"cannot read the configuration '" + configPath(), "Is a directory"});
  }
}

TEST_F(StartupErrorsTest, InvalidValueIsNamedByItsKey) {
  const std::vector<std::pair<std::string, json>> invalid = {{"name", 5},
                                                             {"name", nullptr},
                                                             {"listen", "here"},
                                                             {"listen", 7'000},
                                                             {"discovery", "there"},
                                                             {"discovery", json::array()},
                                                             {"seed", "xyz"},
                                                             {"seed", "11112222333344445"}};
  for (const auto& [key, value] : invalid) {
    SCOPED_TRACE(key + " " + value.dump());
    json changed = config;
    changed[key] = value;
    writeConfig(changed.dump());
    for (const std::string command : {"run", "check"}) expectError(runProgram(command), {key});
  }
  config["limits"]["memory_mb"] = "much";
  writeConfig(config.dump());
  expectError(runProgram("check"), {"limits.memory_mb"});
}

}  // namespace
}  // namespace quilltide::net::fixtures
