// `umberhoistctl journal` on intact and damaged folders, with torn tails and rejected segments; it must
// change none of them.
#include "ctl/journal.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "state/journal.h"

namespace umberhoist::ctl {
namespace {

using nlohmann::json;
using namespace state;

class CtlJournal : public ::testing::Test {
 protected:
  CtlJournal() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-test-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
    const auto files = make_posix_files(folder_);
    Journal journal(*files, {1'000'000, "n0", 6, 1});
    for (const std::string id : {"a", "b", "c"}) {
      Submission m;
      m.id = id;
      m.message_class = "renewal";
      m.key = "k" + id;
      m.tenant = "daily";
      m.destination = 7;
      m.body = "body \xff of " + id;
      EXPECT_TRUE(journal.record_accepted(m, 1000));
    }
    EXPECT_TRUE(journal.record_attempt("a", 0, 55, 1));
    EXPECT_TRUE(journal.record_attempt("a", 1, 66, 1));
    journal.record_not_executed("a", 1);
    EXPECT_TRUE(journal.record_notice({"b", true, 500'000}));
    journal.record_done("c");
    EXPECT_TRUE(journal.put_metadata("revision", "41"));
  }
  ~CtlJournal() override { std::filesystem::remove_all(folder_); }

  std::map<std::string, std::string> contents() const {
    std::map<std::string, std::string> out;
    for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
      std::ifstream file(entry.path(), std::ios::binary);
      out[entry.path().filename()] = {std::istreambuf_iterator<char>(file), {}};
    }
    return out;
  }
  void write_file(const std::string& name, const std::string& bytes) const {
    std::ofstream(folder_ / name, std::ios::binary) << bytes;
  }
  int check(bool as_json = true) {
    out_.str("");
    const auto before = contents();
    const int status = check_journal(folder_, as_json, out_, errors_);
    EXPECT_EQ(contents(), before) << "it must not change the folder";
    return status;
  }
  std::vector<json> dump_records(DumpOptions what) {
    out_.str("");
    what.folder = folder_;
    dump_journal(what, out_, errors_);
    std::vector<json> out;
    std::istringstream lines(out_.str());
    for (std::string line; std::getline(lines, line);) out.push_back(json::parse(line));
    return out;
  }

  const std::string kFirst = "journal-0000000001";
  std::filesystem::path folder_;
  std::ostringstream out_, errors_;
};

TEST_F(CtlJournal, SaysThatAWholeFolderIsWhole) {
  EXPECT_EQ(check(), 0);
  const json report = json::parse(out_.str());
  EXPECT_EQ(report.at("live"), 2);
  EXPECT_EQ(report.at("owed"), 1);
  EXPECT_EQ(report.at("facts"), 1);
  EXPECT_EQ(report.at("segments").at(0).at("records").at("accepted"), 3);
  EXPECT_EQ(check(false), 0);
  EXPECT_NE(out_.str().find("2 messages alive, 1 of them with a notice to be sent; 1 facts"),
            std::string::npos)
      << out_.str();
}

TEST_F(CtlJournal, ATornEndIsNoDamageAndAFlippedByteIs) {
  const std::string good = contents().at(kFirst);
  write_file(kFirst, good.substr(0, good.size() - 5));
  EXPECT_EQ(check(), 0);
  EXPECT_EQ(json::parse(out_.str()).at("segments").at(0).at("lost").at(0).at("tail"), true);
  std::string bad = good;
  bad[kHeaderBytes + 20] ^= 1;  // in the first accepted record
  write_file(kFirst, bad);
  EXPECT_EQ(check(), 1);
  const json report = json::parse(out_.str());
  EXPECT_EQ(report.at("segments").at(0).at("lost").at(0).at("at"), kHeaderBytes);
  EXPECT_EQ(report.at("orphans"), 1) << "records of the attempts of a are left";
  EXPECT_EQ(check(false), 1);
  EXPECT_NE(out_.str().find("NOT whole"), std::string::npos);
}

TEST_F(CtlJournal, NamesStrangeSegments) {
  write_file("journal-0000000009", contents().at(kFirst));
  write_file("journal-0000000010", "");
  write_file("notes.txt", "by hand");
  EXPECT_EQ(check(), 1);
  const json report = json::parse(out_.str());
  EXPECT_EQ(report.at("segments").at(1).at("strange"), "it is segment 1 under another name");
  EXPECT_EQ(report.at("segments").at(2).at("strange"), "it is empty");
  EXPECT_EQ(report.at("others").at("notes.txt"), 7);
}

TEST_F(CtlJournal, DumpsEachRecordOrWhatAStartWouldResume) {
  const auto all = dump_records({});
  ASSERT_EQ(all.size(), 9u);
  EXPECT_EQ(all[0].at("kind"), "accepted");
  EXPECT_EQ(all[0].at("message").at("tenant"), "daily");
  EXPECT_FALSE(all[0].at("message").contains("body_hex"));
  EXPECT_EQ(all[3].at("attempt").at("sent_us"), 55);
  EXPECT_EQ(all[8].at("value"), "41");
  DumpOptions one;
  one.id = "a";
  one.bodies = true;
  const auto of_a = dump_records(one);
  ASSERT_EQ(of_a.size(), 4u);
  EXPECT_EQ(of_a[0].at("message").at("body_hex"), "626f647920ff206f662061");
  one.segment = 2;  // records in other segments refer to the message by its sequence number only
  EXPECT_TRUE(dump_records(one).empty());
  DumpOptions live;
  live.live = true;
  const auto left = dump_records(live);
  ASSERT_EQ(left.size(), 2u);
  EXPECT_EQ(left[0].at("attempts").size(), 2u);
  EXPECT_EQ(left[0].at("attempts").at(1).at("never_ran"), true);
  EXPECT_EQ(left[1].at("owed").at("state"), "returned");
}

TEST_F(CtlJournal, TheProgramSaysWhatIsWrongInOneLine) {
  const auto run = [&](const std::string& arguments) {
    const std::string output_file = folder_ / "out";
    const int status =
        std::system((std::string(UMBERHOISTCTL) + " " + arguments + " >" + output_file + " 2>&1").c_str());
    std::ifstream file(output_file);
    out_.str(std::string(std::istreambuf_iterator<char>(file), {}));
    std::filesystem::remove(output_file);
    return WEXITSTATUS(status);
  };
  EXPECT_EQ(run("journal check " + folder_.string()), 0) << out_.str();
  EXPECT_EQ(run("journal check " + (folder_ / "none").string()), 2);
  EXPECT_NE(out_.str().find("no such folder; expected a folder that can be read\n"), std::string::npos)
      << out_.str();
  EXPECT_EQ(run("journal mend x"), 2);
  EXPECT_EQ(run("--help"), 0);
}

}  // namespace
}  // namespace umberhoist::ctl
