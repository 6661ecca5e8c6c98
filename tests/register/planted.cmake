# Plants one fault at a time in the register and its parts. The test named for a fault has to fail with it, and
# all these tests have to pass without one.
include(${PROJECT_SOURCE_DIR}/tests/plant.cmake)

umberhoist_plant(register/storage.cpp
  "const bool good = write(file, bytes) && files_.sync(file);"
  "const bool good = write(file, bytes) && (planted::is(\"vote-not-synced\") || files_.sync(file));")
umberhoist_plant(register/node.cpp
  "if (newer || more) {"
  "if ((newer || more) && !planted::is(\"amnesia-unnoticed\")) {")
umberhoist_plant(register/node.cpp
  "out.lease_until = lease_until_;"
  "out.lease_until = lease_until_;
  if (planted::is(\"lease-on-the-wall-clock\")) {
    // As one that noted the wall clock's time at which it ends.
    static std::map<const Node*, std::pair<int64_t, int64_t>> ends;
    auto& end = ends[this];
    if (end.first != lease_until_) end = {lease_until_, now_.wall_us + (lease_until_ - now_.steady_us)};
    out.lease_until = now_.steady_us + (end.second - now_.wall_us);
  }")
umberhoist_plant(register/node.cpp
  "low = std::min(low, now_.steady_us + clock.low);"
  "if (planted::is(\"one-clock\")) continue;
    low = std::min(low, now_.steady_us + clock.low);")
umberhoist_plant(shards/validate.cpp
  "if (!last_key_covered) add_error(0, \"gap \" + bounds(next, context_.limits.last_key) + \": no owner\");"
  "if (!last_key_covered && !(planted::is(\"last-key-left-out\") && next == context_.limits.last_key)) {
      add_error(0, \"gap \" + bounds(next, context_.limits.last_key) + \": no owner\");
    }")
umberhoist_plant(shards/validate.cpp
  "return other->last < range->first;"
  "return other->last < range->first + (planted::is(\"overlap-of-one-key\") ? 1 : 0);")
umberhoist_plant(register/machine.cpp
  "for (const auto& error : shards::validate(next, context)) {"
  "for (const auto& error : shards::validate(next, context)) {
    if (planted::is(\"check-not-repeated\")) break;")
umberhoist_plant(register/machine.cpp
  "approval->set_used(true);"
  "approval->set_used(!planted::is(\"exception-used-twice\"));")
umberhoist_plant(recovery/return.cpp
  "if (a.worth != b.worth) return a.worth > b.worth;"
  "if (planted::is(\"order-of-ids\")) return a.number < b.number;
    if (a.worth != b.worth) return a.worth > b.worth;")
umberhoist_planted_sources()

add_executable(register_planted node_test.cpp storage_test.cpp ../shards/shards_test.cpp ../recovery/return_test.cpp
  ${planted_sources})
target_include_directories(register_planted PRIVATE ${PROJECT_SOURCE_DIR} ${PROJECT_SOURCE_DIR}/tests/mutants)
target_include_directories(register_planted SYSTEM PRIVATE ${XXHASH})
target_compile_options(register_planted PRIVATE -g0 -w)
target_link_libraries(register_planted PRIVATE umberhoist_register umberhoist_recovery ${XXHASH_LIBRARY} GTest::gtest_main)

set(all "")
function(caught fault test)
  add_test(NAME PlantedInTheRegister.${fault} COMMAND ${CMAKE_COMMAND} -E env UMBERHOIST_FAULT=${fault}
    $<TARGET_FILE:register_planted> --gtest_filter=${test})
  set_tests_properties(PlantedInTheRegister.${fault} PROPERTIES
    PASS_REGULAR_EXPRESSION "1 FAILED TEST" FAIL_REGULAR_EXPRESSION "ERROR: AddressSanitizer" TIMEOUT 600)
  set(all "${all}:${test}" PARENT_SCOPE)
endfunction()
caught(vote-not-synced Storage.AtEveryStepAPowerLossLeavesWhatWasPromised)
caught(amnesia-unnoticed Register.AFolderOfLastWeekDoesNotVoteAsIfItRemembered)
caught(lease-on-the-wall-clock Register.ALeaseEndsWhereTheWallClockJumpsBack)
caught(last-key-left-out Map.TouchesAtTheLastKey)
caught(overlap-of-one-key Map.AgreesWithABruteForceJudgeOnAKeySpaceOfEightBits)
caught(check-not-repeated Register.AMapWhoseOwnerDiesBetweenCheckAndCommitIsNotCommitted)
caught(one-clock Freeze.AWallClockTenMinutesOffClosesChangesNearAWindow)
caught(exception-used-twice Freeze.AnExceptionForOneConfigurationIsUsedOnce)
caught(order-of-ids Return.ByWorthAndThenByTheTimeThatIsLeft)
# The same program without a fault passes the same tests.
add_test(NAME PlantedInTheRegister.None COMMAND register_planted --gtest_filter=${all})
set_tests_properties(PlantedInTheRegister.None PROPERTIES TIMEOUT 600)
