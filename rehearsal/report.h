// What a rehearsal found: for the terminal, as JSON, and as one HTML page that needs nothing beside it.
#pragma once

#include <filesystem>
#include <string>

#include "rehearsal/run.h"

namespace umberhoist::rehearsal {

std::string summary(const Scenario& scenario, const RunOptions& options, const RunReport& outcome);
std::string report_json(const Scenario& scenario, const RunOptions& options, const RunReport& outcome);
std::string report_html(const Scenario& scenario, const RunOptions& options, const RunReport& outcome);

// report.json and report.html; throws std::runtime_error if one cannot be written.
void write_report(const Scenario& scenario, const RunOptions& options, const RunReport& outcome);

}  // namespace umberhoist::rehearsal
