#include "latency_plot.h"

#include "load_statistics.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace carobfall::tool {
namespace {

// Lengths in pixels.
constexpr double width = 720;
constexpr double height = 420;
constexpr double margin = 60;
constexpr double min_slowdown = 1;
// The horizontal axis shows -log10(1 - quantile), which spreads out the tail. It ends at 4: 99.99%.
constexpr double axis_nines = 4;
constexpr int curve_points = 200;

struct marked_quantile {
    double q;
    const char* label;
};
constexpr std::array<marked_quantile, 3> marks{
    marked_quantile{0.5, "p50"}, marked_quantile{0.99, "p99"}, marked_quantile{0.999, "p99.9"}};

double x_of(double q)
{
    return margin + (width - 2 * margin) * -std::log10(1 - q) / axis_nines;
}

double y_of(double slowdown, double max_slowdown)
{
    const double share = std::log(std::max(slowdown, min_slowdown) / min_slowdown) /
                         std::log(max_slowdown / min_slowdown);
    return height - margin - (height - 2 * margin) * share;
}

std::string text_at(double x, double y, const std::string& text, const char* anchor)
{
    return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y,
                           anchor, text);
}

std::string curve(const std::vector<double>& sorted, double max_slowdown)
{
    std::string points;
    for (int i = 0; i <= curve_points; ++i) {
        const double q = 1 - std::pow(10, -axis_nines * i / curve_points);
        absl::StrAppendFormat(&points, "%.1f,%.1f ", x_of(q),
                              y_of(quantile_of(sorted, q), max_slowdown));
    }
    return absl::StrCat("<polyline fill=\"none\" stroke=\"#1f5fa8\" stroke-width=\"2\" points=\"",
                        points, "\"/>\n");
}

std::string axes(double max_slowdown)
{
    std::string text =
        absl::StrFormat("<path d=\"M%.0f %.0f V%.0f H%.0f\" fill=\"none\" stroke=\"black\"/>\n",
                        margin, margin, height - margin, width - margin);
    for (double slowdown = min_slowdown; slowdown <= max_slowdown; slowdown *= 2) {
        text +=
            text_at(margin - 6, y_of(slowdown, max_slowdown) + 4, absl::StrCat(slowdown), "end");
    }
    for (const auto& [q, label] : marks) {
        text += text_at(x_of(q), height - margin + 18, label, "middle");
    }
    return text +
           text_at(width / 2, height - 16, "quantile of the complete submissions", "middle") +
           text_at(margin - 40, margin - 16, "response time / ideal", "start");
}

} // namespace

std::string latency_plot(const std::vector<double>& sorted, const std::string& title)
{
    const double max_slowdown =
        std::max(2 * min_slowdown, sorted.empty() ? 0 : sorted.back() * 1.1);
    const std::string safe_title =
        absl::StrReplaceAll(title, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}});
    std::string text =
        absl::StrFormat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" "
                        "font-family=\"sans-serif\" font-size=\"12\">\n"
                        "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
                        width, height);
    text += text_at(width / 2, margin / 2, safe_title, "middle") + axes(max_slowdown);
    if (sorted.empty()) {
        return text + text_at(width / 2, height / 2, "no complete submission", "middle") +
               "</svg>\n";
    }
    text += curve(sorted, max_slowdown);
    for (const auto& [q, label] : marks) {
        const double value = quantile_of(sorted, q);
        absl::StrAppendFormat(&text, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\"/>\n", x_of(q),
                              y_of(value, max_slowdown));
        text += text_at(x_of(q), y_of(value, max_slowdown) - 8,
                        absl::StrFormat("%s %.2f", label, value), "middle");
    }
    return text + "</svg>\n";
}

} // namespace carobfall::tool
