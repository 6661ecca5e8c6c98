#include "rehearsal/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace umberhoist::rehearsal {
namespace {

using nlohmann::json;

std::string format(const char* pattern, auto... values) {
  char out[512];
  std::snprintf(out, sizeof out, pattern, values...);
  return out;
}

const char* verdict_text(RunVerdict result) {
  switch (result) {
    case RunVerdict::kPassed:
      return "all rules kept";
    case RunVerdict::kViolated:
      return "RULES BROKEN";
    default:
      return "inconclusive";
  }
}

double percent(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

std::string violation_line(const Violation& b, bool uncertain) {
  std::string out = std::string(rule_name(b.rule));
  if (rule_number(b.rule) > 0) out += " (rule " + std::to_string(rule_number(b.rule)) + ")";
  if (uncertain) out += " [doubtful: the kit ran late]";
  if (b.relay >= 0) out += ", relay " + std::to_string(b.relay);
  if (b.destination >= 0) out += ", partner p" + std::to_string(b.destination);
  if (b.message != 0) out += ", message " + std::to_string(b.message) + " id " + hex(b.id);
  return out + ": " + b.description;
}

std::map<std::string, size_t> by_rule(const RunReport& report) {
  std::map<std::string, size_t> out;
  for (const Violation& b : report.violations) ++out[rule_name(b.rule)];
  return out;
}

double worth_share(const Scenario& scenario, const RunReport& report) {
  double earned = 0, possible = 0;
  for (size_t i = 0; i < report.class_counts.size(); ++i) {
    earned += report.class_counts[i].worth;
    possible += scenario.classes[i].worth * static_cast<double>(report.class_counts[i].requested);
  }
  return possible > 0 ? earned / possible : 0;
}

Time relay_cpu(const RunReport& report) {
  Time out = 0;
  for (const Sample& s : report.samples) {
    for (const RelaySample& r : s.relays) out += r.cpu;
  }
  return out;
}

// Highest usage of any relay. Sizes are in MB of 10^6 bytes, the stricter reading of the limits.
struct PeakUsage {
  double memory = 0, disk = 0, cpu_share = 0;
  int descriptors = 0, sockets = 0;
};

PeakUsage peak_usage(const RunReport& report) {
  PeakUsage out;
  for (const RelayUsage& use : report.relay_usage) {
    out.memory = std::max(out.memory, static_cast<double>(use.peak_memory) / 1e6);
    out.disk = std::max(out.disk, static_cast<double>(use.peak.disk) / 1e6);
    out.descriptors = std::max(out.descriptors, use.peak.descriptors);
    out.sockets = std::max(out.sockets, use.peak.sockets);
    out.cpu_share = std::max(out.cpu_share, use.peak_cpu_share);
  }
  return out;
}

std::string limits_table(const Scenario& scenario, const RunReport& report) {
  const PeakUsage peak = peak_usage(report);
  return format(
      "the most of one relay: %.1f of %d MB memory, %.3f of %.3f MB disk, %d of %d descriptors, %d sockets, "
      "%.0f%% of a core%s\n",
      peak.memory, scenario.memory_mb, peak.disk, scenario.disk_mb, peak.descriptors, scenario.sockets,
      peak.sockets, 100 * peak.cpu_share,
      scenario.cores > 0 ? format(" of %.0f%%", 100 * scenario.cores).c_str() : "");
}

// ---- HTML ----

std::string escape(const std::string& in) {
  std::string out;
  for (const char c : in) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '>') {
      out += "&gt;";
    } else if (c == '&') {
      out += "&amp;";
    } else if (c == '"') {
      out += "&quot;";
    } else {
      out += c;
    }
  }
  return out;
}

struct Series {
  std::string name;
  std::vector<double> values;  // one per second
};

constexpr const char* kSeriesColours[] = {"#2563a8", "#c4662b", "#3b8a4c", "#a03e78",
                                          "#8a7a22", "#5b5b5b", "#1b9ba0", "#b03030"};

// Shaded areas for the scheduled events, each as wide as the event lasts, with its name as a tooltip.
std::string event_marks(const RunReport& report, double span, double left, double width, double top,
                        double height) {
  std::string out;
  for (const EventPlan& e : report.events) {
    const double x = left + width * std::min(1.0, static_cast<double>(e.at) / 1e6 / span);
    const double w = std::max(1.5, width * static_cast<double>(e.duration) / 1e6 / span);
    out += format("<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" class=\"mark\"><title>", x, top,
                  std::min(w, left + width - x), height) +
           escape(format("%.1f s: ", static_cast<double>(e.at) / 1e6) + e.description) + "</title></rect>";
  }
  return out;
}

std::string plot(const RunReport& report, const std::string& title, const std::string& unit,
                 const std::vector<Series>& all) {
  constexpr double kWidth = 860, kHeight = 190, kLeft = 56, kRight = 12, kTop = 12, kBottom = 24;
  size_t count = 2;
  double max_value = 0;
  for (const Series& s : all) {
    count = std::max(count, s.values.size());
    for (const double v : s.values) max_value = std::max(max_value, v);
  }
  if (max_value <= 0) max_value = 1;
  double step = std::pow(
      10, std::floor(std::log10(max_value)) - 1);  // grid step: a round number giving at most six lines
  for (const double factor : {2.0, 2.5, 2.0, 2.0, 2.5}) {
    if (max_value <= 6 * step) break;
    step *= factor;
  }
  max_value = std::ceil(max_value / step) * step;
  const double width = kWidth - kLeft - kRight, height = kHeight - kTop - kBottom;
  const double span = static_cast<double>(count - 1);
  std::string out = "<h3>" + escape(title) + " <small>" + escape(unit) +
                    "</small></h3><svg viewBox=\"0 0 860 190\" role=\"img\">";
  out += event_marks(report, span, kLeft, width, kTop, height);
  for (double v = 0; v <= max_value + step / 2; v += step) {
    const double y = kTop + height * (1 - v / max_value);
    out += format(
        "<line x1=\"%.0f\" x2=\"%.0f\" y1=\"%.1f\" y2=\"%.1f\" class=\"grid\"/><text x=\"%.0f\" y=\"%.1f\" "
        "text-anchor=\"end\">%g</text>",
        kLeft, kWidth - kRight, y, y, kLeft - 6, y + 4, v);
  }
  const int every = std::max(1, static_cast<int>(span / 8));
  for (int t = 0; t <= static_cast<int>(span); t += every) {
    out += format("<text x=\"%.1f\" y=\"%.0f\" text-anchor=\"middle\">%d s</text>", kLeft + width * t / span,
                  kHeight - 6, t);
  }
  std::string legend = "<p class=\"legend\">";
  for (size_t i = 0; i < all.size(); ++i) {
    const char* colour = kSeriesColours[i % std::size(kSeriesColours)];
    out += format("<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.6\" points=\"", colour);
    for (size_t t = 0; t < all[i].values.size(); ++t) {
      out += format("%.1f,%.1f ", kLeft + width * static_cast<double>(t) / span,
                    kTop + height * (1 - all[i].values[t] / max_value));
    }
    out += "\"/>";
    legend += format("<span style=\"color:%s\">&#9632;</span> ", colour) + escape(all[i].name) + " &nbsp; ";
  }
  return out + "</svg>" + legend + "</p>";
}

template <class Get>
std::vector<double> per_second(const RunReport& report, Get get) {
  std::vector<double> out;
  for (const SecondCounts& s : report.per_second) out.push_back(get(s));
  return out;
}

template <class Get>
std::vector<double> per_sample(const RunReport& report, Get get) {
  std::vector<double> out;
  for (const Sample& s : report.samples) out.push_back(get(s));
  return out;
}

std::string plots(const Scenario& scenario, const RunReport& report) {
  std::string out;
  std::vector<Series> flow = {
      {"arrivals", per_second(report, [](const SecondCounts& x) { return double(x.arrivals); })}};
  for (size_t c = 0; c < scenario.classes.size(); ++c) {
    flow.push_back({"delivered, " + scenario.classes[c].name,
                    per_second(report, [c](const SecondCounts& x) { return double(x.delivered[c]); })});
  }
  out += plot(report, "Arrivals and deliveries", "messages a second", flow);
  out +=
      plot(report, "Refused and failed", "messages a second",
           {{"refusals, each", per_second(report, [](const SecondCounts& x) { return double(x.refusals); })},
            {"refused for good", per_second(report, [](const SecondCounts& x) { return double(x.refused); })},
            {"failed", per_second(report, [](const SecondCounts& x) { return double(x.failed); })}});
  out += plot(report, "Held and in flight", "messages",
              {{"taken on and not over", per_sample(report, [](const Sample& x) { return double(x.held); })},
               {"calls out", per_sample(report, [](const Sample& x) { return double(x.calls_in_flight); })},
               {"open at clients", per_sample(report, [](const Sample& x) { return double(x.open); })}});
  out += plot(report, "Attempts for each message", "attempts over arrivals, by second",
              {{"attempts", per_second(report, [](const SecondCounts& x) {
                  return x.arrivals == 0 ? 0.0 : double(x.attempts) / double(x.arrivals);
                })}});
  out += plot(report, "Latency of what was delivered", "milliseconds, from a message's arrival",
              {{"median", per_second(report, [](const SecondCounts& x) { return x.latency.quantile(0.5); })},
               {"90%", per_second(report, [](const SecondCounts& x) { return x.latency.quantile(0.9); })},
               {"99%", per_second(report, [](const SecondCounts& x) { return x.latency.quantile(0.99); })}});
  std::vector<Series> cpu, memory, descriptors, disk;
  for (size_t r = 0; r < static_cast<size_t>(scenario.relays) && r < 8; ++r) {
    const std::string name = "relay " + std::to_string(r);
    cpu.push_back({name, per_sample(report, [r](const Sample& x) { return double(x.relays[r].cpu) / 1e4; })});
    memory.push_back(
        {name, per_sample(report, [r](const Sample& x) { return double(x.relays[r].memory) / 1e6; })});
    disk.push_back(
        {name, per_sample(report, [r](const Sample& x) { return double(x.relays[r].disk) / 1e6; })});
    descriptors.push_back(
        {name, per_sample(report, [r](const Sample& x) { return double(x.relays[r].descriptors); })});
  }
  out += plot(report, "Relay CPU", "percent of a core", cpu);
  out += plot(report, "Relay memory", "MB: resident in all its processes, and temporary files", memory);
  out += plot(report, "State folder", "MB, each file in whole 512 bytes", disk);
  out += plot(report, "Relay descriptors", "open", descriptors);
  return out;
}

constexpr const char* kStyle =
    "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:900px;padding:0 1em;color:#222}"
    "h1{font-size:1.5em}h2{font-size:1.2em;margin-top:2em}h3{font-size:1em;margin:1.2em 0 .2em}"
    "small{color:#777;font-weight:normal}svg{width:100%;height:auto;background:#fafafa}"
    "svg text{font:11px system-ui,sans-serif;fill:#666}.grid{stroke:#ddd}.mark{fill:#d9a441;opacity:.16}"
    ".legend{margin:.1em 0;font-size:13px}table{border-collapse:collapse;width:100%}"
    "td,th{padding:.25em .7em;border-bottom:1px solid "
    "#ddd;text-align:right}td:first-child,th:first-child{text-align:left}"
    ".verdict{padding:.6em "
    "1em;border-radius:4px;color:#fff;font-weight:600}.k0{background:#3b8a4c}.k1{background:#b03030}"
    ".k3{background:#8a7a22}details{border-left:4px solid #b03030;padding:.3em .8em;margin:.5em "
    "0;background:#fdf3f2}"
    "pre{overflow-x:auto;font-size:12.5px}";

std::string counts_text(const char* of, const std::vector<MessageCounts>& all_counts) {
  std::string out = format("%-18s %9s %8s %8s %8s %8s %8s %8s %9s %9s\n", of, "asked", "in time", "late",
                           "refused", "failed", "lost", "no end", "p50 ms", "p99 ms");
  for (const MessageCounts& t : all_counts) {
    out +=
        format("%-18s %9llu %7.1f%% %7.1f%% %7.1f%% %7.1f%% %8llu %8llu %9.1f %9.1f\n", t.name.c_str(),
               static_cast<unsigned long long>(t.requested), percent(t.in_time, t.requested),
               percent(t.late, t.requested), percent(t.refused, t.requested), percent(t.failed, t.requested),
               static_cast<unsigned long long>(t.lost), static_cast<unsigned long long>(t.unanswered),
               t.latency.quantile(0.5), t.latency.quantile(0.99));
  }
  return out;
}

std::string counts_table(const char* title, const char* of, const std::vector<MessageCounts>& all_counts) {
  std::string out = format(
      "<h2>%s</h2><table><tr><th>%s<th>asked<th>in time<th>late<th>refused<th>failed<th>lost with a "
      "machine<th>no end<th>p50 ms<th>p99 ms</tr>",
      title, of);
  for (const MessageCounts& t : all_counts) {
    out +=
        "<tr><td>" + escape(t.name) +
        format("<td>%llu<td>%.1f%%<td>%.1f%%<td>%.1f%%<td>%.1f%%<td>%llu<td>%llu<td>%.1f<td>%.1f</tr>",
               static_cast<unsigned long long>(t.requested), percent(t.in_time, t.requested),
               percent(t.late, t.requested), percent(t.refused, t.requested), percent(t.failed, t.requested),
               static_cast<unsigned long long>(t.lost), static_cast<unsigned long long>(t.unanswered),
               t.latency.quantile(0.5), t.latency.quantile(0.99));
  }
  return out + "</table>";
}

nlohmann::json counts_json(const std::vector<MessageCounts>& all_counts) {
  nlohmann::json out = nlohmann::json::array();
  for (const MessageCounts& t : all_counts) {
    out.push_back({{"name", t.name},
                   {"asked", t.requested},
                   {"in_time", t.in_time},
                   {"late", t.late},
                   {"refused", t.refused},
                   {"failed", t.failed},
                   {"lost_with_machine", t.lost},
                   {"no_end", t.unanswered},
                   {"p50_ms", t.latency.quantile(0.5)},
                   {"p90_ms", t.latency.quantile(0.9)},
                   {"p99_ms", t.latency.quantile(0.99)}});
  }
  return out;
}

}  // namespace

std::string summary(const Scenario& scenario, const RunOptions& options, const RunReport& report) {
  std::ostringstream out;
  out << scenario.name << ", seed " << options.seed << ", digest " << hex(report.digest) << ": "
      << verdict_text(report.verdict);
  if (!report.reason.empty()) out << " (" << report.reason << ")";
  out << "\n";
  out << counts_text("class", report.class_counts);
  if (!report.tenant_counts.empty()) out << counts_text("tenant", report.tenant_counts);
  const double messages = std::max<double>(1, static_cast<double>(report.messages));
  out << format(
      "worth %.3f; %.2f attempts and %.2f handings-in a message; CPU a message: relays %.0f us, kit %.0f "
      "us\n",
      worth_share(scenario, report), static_cast<double>(report.attempts) / messages,
      static_cast<double>(report.submissions) / messages, static_cast<double>(relay_cpu(report)) / messages,
      static_cast<double>(report.timing.cpu) / messages);
  out << limits_table(scenario, report);
  out << format("the kit's own lateness: p50 %.2f ms, p99 %.2f ms, longest stall %.1f ms\n",
                report.timing.send_delay.quantile(0.5), report.timing.send_delay.quantile(0.99),
                static_cast<double>(report.timing.longest_stall) / 1e3);
  for (const std::string& note : report.notes) out << "note: " << note << "\n";
  if (report.violation_count > 0) {
    out << "\n" << report.violation_count << " BREACHES:";
    for (const auto& [rule, count] : by_rule(report)) out << " " << rule << " x" << count;
    out << "\n";
    std::map<std::string, int> shown;
    for (size_t i = 0; i < report.violations.size(); ++i) {
      const Violation& b = report.violations[i];
      if (++shown[rule_name(b.rule)] > 3) continue;  // the report file lists all of them
      out << "\n" << violation_line(b, report.uncertain.size() > i && report.uncertain[i]) << "\n";
      for (const std::string& line : b.history) out << "  " << line << "\n";
    }
  }
  return out.str();
}

std::string report_json(const Scenario& scenario, const RunOptions& options, const RunReport& report) {
  json out = {{"scenario", scenario.name},
              {"seed", options.seed},
              {"digest", hex(report.digest)},
              {"result", report.verdict == RunVerdict::kPassed     ? "kept"
                         : report.verdict == RunVerdict::kViolated ? "broken"
                                                                   : "inconclusive"},
              {"why", report.reason},
              {"interrupted", report.interrupted},
              {"seconds", report.seconds},
              {"messages", report.messages},
              {"handed_in", report.submissions},
              {"attempts", report.attempts},
              {"notices", report.notices},
              {"notices_of_delivered", report.notices_of_delivered},
              {"client_connections", report.connections_opened},
              {"worth", worth_share(scenario, report)},
              {"breaches", report.violation_count}};
  const double messages = std::max<double>(1, static_cast<double>(report.messages));
  for (const SecondCounts& in : report.per_second) {
    double worth = 0;
    for (size_t c = 0; c < in.delivered.size(); ++c) worth += scenario.classes[c].worth * in.delivered[c];
    out["worth_each_second"].push_back(worth);
    out["attempts_each_second"].push_back(in.attempts);
  }
  out["cpu_us_a_message"] = {{"relays", static_cast<double>(relay_cpu(report)) / messages},
                             {"kit", static_cast<double>(report.timing.cpu) / messages}};
  out["kit"] = {
      {"send_lateness_ms",
       {{"p50", report.timing.send_delay.quantile(0.5)}, {"p99", report.timing.send_delay.quantile(0.99)}}},
      {"longest_stall_ms", static_cast<double>(report.timing.longest_stall) / 1e3},
      {"stalls", report.timing.stall_count},
      {"suspended_ms", static_cast<double>(report.timing.suspended) / 1e3}};
  out["limits"] = {{"memory_mb", scenario.memory_mb},
                   {"disk_mb", scenario.disk_mb},
                   {"sockets", scenario.sockets},
                   {"cores", scenario.cores}};
  out["used"] = json::array();
  for (const RelayUsage& use : report.relay_usage) {
    json one = {{"memory_mb", static_cast<double>(use.peak_memory) / 1e6},
                {"temporary_mb", static_cast<double>(use.peak.temporary) / 1e6},
                {"disk_mb", static_cast<double>(use.peak.disk) / 1e6},
                {"files", use.peak.files},
                {"descriptors", use.peak.descriptors},
                {"sockets", use.peak.sockets},
                {"processes", use.peak.processes},
                {"cpu_ms", static_cast<double>(use.cpu) / 1e3},
                {"busiest_second", use.peak_cpu_share}};
    if (use.growth.evaluated) {
      one["growth"] = {{"mb_a_minute", use.growth.mb_per_minute},
                       {"mb", use.growth.mb},
                       {"rises", use.growth.increases},
                       {"leak", use.growth.is_leak}};
    }
    out["used"].push_back(std::move(one));
  }
  out["by_rule"] = by_rule(report);
  out["classes"] = counts_json(report.class_counts);
  out["tenants"] = counts_json(report.tenant_counts);
  out["events"] = json::array();
  for (const EventPlan& e : report.events) {
    out["events"].push_back({{"at_s", static_cast<double>(e.at) / 1e6},
                             {"for_s", static_cast<double>(e.duration) / 1e6},
                             {"do", e.description},
                             {"partners", e.partners}});
  }
  out["notes"] = report.notes;
  out["breach_list"] = json::array();
  for (size_t i = 0; i < report.violations.size(); ++i) {
    const Violation& b = report.violations[i];
    out["breach_list"].push_back({{"rule", rule_name(b.rule)},
                                  {"number", rule_number(b.rule)},
                                  {"what", b.description},
                                  {"message", b.message},
                                  {"id", hex(b.id)},
                                  {"relay", b.relay},
                                  {"partner", b.destination},
                                  {"doubtful", report.uncertain.size() > i && report.uncertain[i]},
                                  {"history", b.history}});
  }
  out["by_second"] = json::array();
  for (const SecondCounts& x : report.per_second) {
    out["by_second"].push_back({{"arrivals", x.arrivals},
                                {"delivered", x.delivered},
                                {"refusals", x.refusals},
                                {"refused", x.refused},
                                {"failed", x.failed},
                                {"attempts", x.attempts},
                                {"p50_ms", x.latency.quantile(0.5)},
                                {"p99_ms", x.latency.quantile(0.99)}});
  }
  out["samples"] = json::array();
  for (const Sample& x : report.samples) {
    json relays = json::array();
    for (const RelaySample& r : x.relays) {
      relays.push_back({{"running", r.running},
                        {"cpu_ms", static_cast<double>(r.cpu) / 1e3},
                        {"memory_mb", static_cast<double>(r.memory) / 1e6},
                        {"disk_mb", static_cast<double>(r.disk) / 1e6},
                        {"sockets", r.sockets},
                        {"descriptors", r.descriptors}});
    }
    out["samples"].push_back(
        {{"open", x.open}, {"held", x.held}, {"calls_out", x.calls_in_flight}, {"relays", relays}});
  }
  return out.dump(1);
}

std::string report_html(const Scenario& scenario, const RunOptions& options, const RunReport& report) {
  std::string out =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Rehearsal: " + escape(scenario.name) +
      "</title><style>" + kStyle + "</style><h1>" + escape(scenario.name) + " <small>" +
      escape(scenario.title) + "</small></h1>";
  out += format("<p class=\"verdict k%d\">", static_cast<int>(report.verdict)) +
         std::string(verdict_text(report.verdict)) +
         (report.reason.empty() ? "" : ": " + escape(report.reason)) + "</p>";
  out += format(
      "<p>Seed %llu, digest %s, %.1f s, %llu messages, %d relay(s), %d partners. Worth earned: %.3f of what "
      "was asked for.</p>",
      static_cast<unsigned long long>(options.seed), hex(report.digest).c_str(), report.seconds,
      static_cast<unsigned long long>(report.messages), scenario.relays, scenario.partners,
      worth_share(scenario, report));
  if (report.violation_count > 0) {
    out += "<h2>Breaches: " + std::to_string(report.violation_count) + "</h2>";
    for (size_t i = 0; i < report.violations.size(); ++i) {
      out +=
          "<details" + std::string(i < 3 ? " open" : "") + "><summary>" +
          escape(violation_line(report.violations[i], report.uncertain.size() > i && report.uncertain[i])) +
          "</summary>";
      if (!report.violations[i].history.empty()) {
        out += "<pre>";
        for (const std::string& line : report.violations[i].history) out += escape(line) + "\n";
        out += "</pre>";
      }
      out += "</details>";
    }
  }
  out += counts_table("Classes", "class", report.class_counts);
  if (!report.tenant_counts.empty()) out += counts_table("Tenants", "tenant", report.tenant_counts);
  out +=
      "<h2>Over time</h2><p class=\"legend\">Shaded: what the script did; point at it for its "
      "name.</p>" +
      plots(scenario, report);
  out +=
      "<h2>Limits</h2><p>The most of each relay, as the platform counts.</p><table><tr><th>relay<th>memory "
      "MB<th>state MB<th>files<th>descriptors<th>sockets<th>processes<th>busiest second, of a core<th>growth "
      "MB a "
      "minute</tr>";
  for (size_t i = 0; i < report.relay_usage.size(); ++i) {
    const RelayUsage& use = report.relay_usage[i];
    out +=
        format("<tr><td>%zu<td>%.1f of %d<td>%.3f of %.3f<td>%zu<td>%d of %d<td>%d of %d<td>%d<td>%.0f%%<td>",
               i, static_cast<double>(use.peak_memory) / 1e6, scenario.memory_mb,
               static_cast<double>(use.peak.disk) / 1e6, scenario.disk_mb, use.peak.files,
               use.peak.descriptors, scenario.sockets, use.peak.sockets, scenario.sockets, use.peak.processes,
               100 * use.peak_cpu_share) +
        (use.growth.evaluated ? format("%.2f", use.growth.mb_per_minute) : "run too short") + "</tr>";
  }
  out += "</table><h2>Script</h2><table><tr><th>what<th>at<th>for</tr>";
  for (const EventPlan& e : report.events) {
    out += "<tr><td>" + escape(e.description) +
           format("<td>%.1f s<td>%.1f s</tr>", static_cast<double>(e.at) / 1e6,
                  static_cast<double>(e.duration) / 1e6);
  }
  out += "</table>";
  for (const std::string& note : report.notes) out += "<p>" + escape(note) + "</p>";
  out += format(
      "<h2>The kit itself</h2><p>Messages were handed in %.2f ms late at the median and %.2f ms at 99%%; its "
      "longest stall was %.1f ms, and it used %.1f s of CPU.</p></html>\n",
      report.timing.send_delay.quantile(0.5), report.timing.send_delay.quantile(0.99),
      static_cast<double>(report.timing.longest_stall) / 1e3, static_cast<double>(report.timing.cpu) / 1e6);
  return out;
}

void write_report(const Scenario& scenario, const RunOptions& options, const RunReport& report) {
  const auto put = [&](const char* name, const std::string& bytes) {
    const auto path = options.folder / name;
    std::ofstream file(path, std::ios::binary);
    file << bytes;
    file.close();
    if (!file) throw std::runtime_error("cannot write " + path.string());
  };
  put("report.json", report_json(scenario, options, report));
  put("report.html", report_html(scenario, options, report));
}

}  // namespace umberhoist::rehearsal
