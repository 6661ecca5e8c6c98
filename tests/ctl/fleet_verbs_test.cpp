// The umberhoistctl commands that work offline on files, run as an operator runs them; and errors in
// fleet.toml.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "fleet/config.h"
#include "fleet/links.h"

namespace umberhoist::ctl {
namespace {

struct CommandResult {
  int status = 0;
  std::string out;
};

class Verbs : public ::testing::Test {
 public:
  Verbs() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-verbs-XXXXXX";
    folder = ::mkdtemp(pattern.data());
  }
  ~Verbs() override { std::filesystem::remove_all(folder); }
  std::string file(const std::string& name, const std::string& text) const {
    std::ofstream(folder / name) << text;
    return folder / name;
  }
  static CommandResult run(const std::string& arguments) {
    CommandResult out;
    FILE* pipe = ::popen((std::string(UMBERHOISTCTL) + " " + arguments + " 2>&1").c_str(), "r");
    std::array<char, 4096> bytes;
    while (const size_t got = std::fread(bytes.data(), 1, bytes.size(), pipe))
      out.out.append(bytes.data(), got);
    const int status = ::pclose(pipe);
    out.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return out;
  }
  std::filesystem::path folder;
};

std::string map(uint64_t epoch, const std::string& cut, const std::string& next, const std::string& last) {
  return "epoch = " + std::to_string(epoch) +
         "\nhash = \"xxh64\"\n[[range]]\nfirst = \"0000000000000000\"\nlast = \"" + cut +
         "\"\nowner = \"n1\"\n[[range]]\nfirst = \"" + next + "\"\nlast = \"" + last + "\"\nowner = \"n2\"\n";
}

TEST_F(Verbs, MapCheck) {
  const std::string right =
      file("right.toml", map(1, "7fffffffffffffff", "8000000000000000", "ffffffffffffffff"));
  EXPECT_EQ(run("map check " + right).status, 0);
  const auto with_gap = run(
      "map check " + file("last.toml", map(1, "7fffffffffffffff", "8000000000000000", "fffffffffffffffe")));
  EXPECT_EQ(with_gap.status, 2);
  EXPECT_NE(with_gap.out.find("gap ffffffffffffffff..ffffffffffffffff"), std::string::npos) << with_gap.out;
  const std::string next =
      file("next.toml", map(2, "77ffffffffffffff", "7800000000000000", "ffffffffffffffff"));
  EXPECT_EQ(run("map check " + next + " --present " + right + " --members n1,n2").status, 0);
  const auto with_unknown_owner = run("map check " + next + " --present " + next + " --members n1");
  EXPECT_EQ(with_unknown_owner.status, 2);
  EXPECT_NE(with_unknown_owner.out.find("next.toml:1: epoch is 2; expected 3"), std::string::npos)
      << with_unknown_owner.out;
  EXPECT_NE(with_unknown_owner.out.find("next.toml:7: owner 'n2' is no member"), std::string::npos)
      << with_unknown_owner.out;
  EXPECT_EQ(run("map check " + file("bad.toml", "epoch = ")).status, 2);
  EXPECT_EQ(run("map check " + (folder / "none").string()).status, 2);
}

TEST_F(Verbs, FreezeCheck) {
  const std::string calendar =
      file("calendar.toml",
           "[[window]]\nid = \"songkran-2027\"\nstart = 2027-04-12T00:00:00+07:00\n"
           "end = 2027-04-16T00:00:00+07:00\nchanges = [\"map\"]\ndestinations = [3]\n"
           "declared_by = \"trading\"\n");
  const auto at = [&](const std::string& time, const std::string& more) {
    return run("freeze check " + calendar + " --at " + time + " " + more);
  };
  EXPECT_EQ(at("2027-04-11T23:59:59+07:00", "--change map").status, 0);
  const auto closed = at("2027-04-12T00:00:00+07:00", "--change map --destination 3");
  EXPECT_EQ(closed.status, 1);
  EXPECT_NE(closed.out.find("songkran-2027"), std::string::npos);
  EXPECT_EQ(at("2027-04-12T00:00:00+07:00", "--change map --destination 4").status, 0);
  EXPECT_EQ(at("2027-04-16T00:00:00+07:00", "--change map").status, 0);
  EXPECT_EQ(at("2027-04-12", "--change map").status, 2);
  EXPECT_EQ(at("2027-04-12T00:00:00+07:00", "--change weather").status, 2);
  EXPECT_EQ(
      run("freeze check " + file("bad.toml", "[[window]]\n") + " --at 2027-04-12T00:00:00Z --change map")
          .status,
      2);
}

TEST_F(Verbs, ARelayThatDoesNotAnswerIsToldInOneLine) {
  const auto out = run("fleet status --to 127.0.0.1:1");
  EXPECT_EQ(out.status, 2);
  EXPECT_EQ(std::count(out.out.begin(), out.out.end(), '\n'), 1) << out.out;
  EXPECT_EQ(run("fleet status --to nowhere").status, 2);
}

const std::string kFleet = R"(name = "n1"
id = 1
listen = "127.0.0.1:7101"
folder = "/tmp/register"
[[voter]]
name = "n1"
id = 1
address = "127.0.0.1:7101"
[[voter]]
name = "n2"
id = 2
address = "127.0.0.1:7102"
[[voter]]
name = "n3"
id = 3
address = "127.0.0.1:7103"
[timing]
lease_ms = 2000
)";

std::string error_of(const std::string& toml) {
  try {
    fleet::parse_config(toml, "fleet.toml");
    return "";
  } catch (const std::invalid_argument& error) {
    return error.what();
  }
}

std::string changed(const std::string& from, const std::string& to) {
  std::string out = kFleet;
  out.replace(out.find(from), from.size(), to);
  return out;
}

TEST(FleetFile, EachThingThatIsWrongIsToldWithItsLineAndWhatWasExpected) {
  EXPECT_EQ(error_of(kFleet), "");
  const std::vector<std::pair<std::string, std::string>> wrong = {
      {changed("id = 1\nlisten", "id = 0\nlisten"),
       "fleet.toml:2: id is wrong; expected a whole number from 1 to 65535"},
      {changed("7101\"\nfolder", "71010\"\nfolder"), "fleet.toml:3: listen is wrong"},
      {changed("folder = \"/tmp/register\"\n", ""), "folder is missing"},
      {changed("name = \"n2\"", "name = \"n3\""), "fleet.toml:13: voter 'n3' is given twice"},
      {changed("id = 3", "id = 2"), "fleet.toml:13: id 2 is given twice"},
      {changed("id = 2", "id = 1"), "id 1 is given twice"},
      {changed("[[voter]]\nname = \"n3\"\nid = 3\naddress = \"127.0.0.1:7103\"\n", ""),
       "expected three or five"},
      {changed("lease_ms = 2000", "lease_ms = 500"), "lease_ms is too short"},
      {changed("lease_ms = 2000", "lease_ms = 3000"), "dead_ms is too short"},
      {changed("lease_ms = 2000", "colour = 1"), "fleet.toml:18: 'colour' is not known here"},
      {changed("name = \"n1\"\nid = 1\nlisten", "name = \"n9\"\nid = 1\nlisten"), "expected both the same"},
      {"name = ", "fleet.toml:1: "},
  };
  for (const auto& [toml, text] : wrong) {
    EXPECT_NE(error_of(toml).find(text), std::string::npos) << text << "\nwas: " << error_of(toml);
  }
}

TEST_F(Verbs, AnAnswerToAnotherRequestIsNotTakenForThisOnes) {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  std::thread relay([&] {
    tcp::socket connection = acceptor.accept();
    register_pb::Frame frame;
    frame.mutable_told()->set_number(7);
    frame.mutable_told()->set_done(true);
    boost::asio::write(connection, boost::asio::buffer(fleet::encode_frame(frame)));
    boost::system::error_code closed;
    std::array<char, 4096> bytes;
    while (!closed) connection.read_some(boost::asio::buffer(bytes), closed);
  });
  const auto result = run("fleet status --to 127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  relay.join();
  EXPECT_NE(result.status, 0) << result.out;
  EXPECT_NE(result.out.find("answers another request"), std::string::npos) << result.out;
}

TEST_F(Verbs, TheDaemonSaysSoInOneLineAndEndsBeforeItListens) {
  std::filesystem::create_directory(folder / "state");
  const std::string wrong = file("fleet.toml", changed("id = 3", "id = 70000"));
  const std::string config =
      file("config.json", R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
    "seed":"1","limits":{"sockets":1024,"disk_mb":3},"known":{"revision":1,"complete":true,"members":[]},"fleet":")" +
                              wrong + R"(","settings":{"azs":["a"],"kinds":["std"],
    "categories":[{"name":"safe","semantics":"safe","key_scope":"all","key_ttl_s":60.0,"target_s":2.0,"give_up_s":60.0,
    "worth":1.0,"late_worth":0.3}],"family_info":{"calls_out":8,"kind_apart":[false],"kind_batch":[1],"late":"halves"},
    "bounds":{"open_cap":20,"max_attempts":6,"streams_per_conn":1,"may_probe":false,"cancel":true,"conn_idle_s":10.0,
    "connect_timeout_s":1.0,"retry_after":true},"obligations":{"stop_sending_within_s":1.0,"cold_s":1.0,"fall_s":3.0},
    "weights":"nominal","resolution_s":0.005}})");
  FILE* pipe = ::popen(("PROXY_CONFIG=" + config + " PROXY_STATE=" + (folder / "state").string() +
                        " timeout 20 " + UMBERHOIST + " 2>&1")
                           .c_str(),
                       "r");
  std::array<char, 4096> bytes;
  std::string out;
  while (const size_t got = std::fread(bytes.data(), 1, bytes.size(), pipe)) out.append(bytes.data(), got);
  const int status = ::pclose(pipe);
  EXPECT_EQ(WEXITSTATUS(status), 2) << out;
  EXPECT_EQ(out, wrong + ":15: id is wrong; expected a whole number from 1 to 65535\n");
}

}  // namespace
}  // namespace umberhoist::ctl
