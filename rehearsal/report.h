// Formats the result of a rehearsal for the terminal, as JSON, and as one self-contained HTML page.
#pragma once

#include <filesystem>
#include <string>

#include "rehearsal/run.h"

namespace umberhoist::rehearsal {

std::string summary(const Scenario& scenario, const RunOptions& options, const RunReport& outcome);
std::string report_json(const Scenario& scenario, const RunOptions& options, const RunReport& outcome);
std::string report_html(const Scenario& scenario, const RunOptions& options, const RunReport& outcome);

// Writes report.json and report.html to the run's folder. Throws std::runtime_error if one cannot be written.
void write_report(const Scenario& scenario, const RunOptions& options, const RunReport& outcome);

}  // namespace umberhoist::rehearsal
