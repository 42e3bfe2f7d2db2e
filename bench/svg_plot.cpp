#include "bench/svg_plot.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace orchidlead::bench {

namespace {

constexpr double Width = 720;
constexpr double Height = 320;
constexpr double Left = 60;
constexpr double Right = 700;
constexpr double Top = 40;
constexpr double Bottom = 270;
constexpr int Ticks = 4;
constexpr double LegendStep = 150;
constexpr std::array Colours{"#1b6ca8", "#c8553d", "#2a9d5c", "#8a5fb0", "#666666"};

/// Places values in the drawing.
class plot_scale
{
public:
    explicit plot_scale(const line_plot &plot)
        : m_yMax(plot.yMax)
    {
        for (const auto &line : plot.lines) {
            for (const auto &[x, y] : line.points)
                m_xMax = std::max(m_xMax, x);
        }
    }

    [[nodiscard]] double x(double value) const { return Left + value / m_xMax * (Right - Left); }
    [[nodiscard]] double y(double value) const
    {
        return Bottom - std::min(value / m_yMax, 1.0) * (Bottom - Top);
    }
    [[nodiscard]] double xMax() const { return m_xMax; }
    [[nodiscard]] double yMax() const { return m_yMax; }

private:
    double m_xMax = 1;
    double m_yMax;
};

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char byte : text) {
        if (byte == '<')
            out += "&lt;";
        else if (byte == '&')
            out += "&amp;";
        else
            out += byte;
    }
    return out;
}

void drawText(std::ostream &out, double x, double y, const std::string &anchor,
              const std::string &text)
{
    out << "<text x='" << x << "' y='" << y << "' text-anchor='" << anchor << "'>" << escaped(text)
        << "</text>\n";
}

std::string number(double value)
{
    std::ostringstream out;
    out << std::setprecision(3) << value;
    return out.str();
}

void drawAxes(std::ostream &out, const line_plot &plot, const plot_scale &scale)
{
    out << "<rect x='" << scale.x(plot.marked.first) << "' y='" << Top << "' width='"
        << scale.x(std::min(plot.marked.second, scale.xMax())) - scale.x(plot.marked.first)
        << "' height='" << Bottom - Top << "' fill='#f3ead3'/>\n";
    for (int tick = 0; tick <= Ticks; ++tick) {
        const double share = static_cast<double>(tick) / Ticks;
        const double y = scale.y(share * scale.yMax());
        const double x = scale.x(share * scale.xMax());
        out << "<line x1='" << Left << "' x2='" << Right << "' y1='" << y << "' y2='" << y
            << "' stroke='#ddd'/>\n";
        drawText(out, Left - 6, y + 4, "end", number(share * scale.yMax()));
        drawText(out, x, Bottom + 18, "middle", number(share * scale.xMax()));
    }
    drawText(out, Left, Top - 20, "start", plot.title + ": " + plot.yLabel);
    drawText(out, Right, Bottom + 36, "end", plot.xLabel);
}

void drawLine(std::ostream &out, const plot_line &line, const plot_scale &scale, std::size_t index)
{
    const char *colour = Colours[index % Colours.size()];
    out << "<polyline fill='none' stroke-width='2' stroke='" << colour << "' points='";
    for (const auto &[x, y] : line.points)
        out << scale.x(x) << ',' << scale.y(y) << ' ';
    out << "'/>\n<g fill='" << colour << "'>";
    drawText(out, Left + static_cast<double>(index) * LegendStep, Height - 10, "start", line.name);
    out << "</g>\n";
}

} // namespace

std::string drawSvg(const line_plot &plot)
{
    const plot_scale scale(plot);
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << Width << "' height='" << Height
        << "' font-family='sans-serif' font-size='12'>\n<rect width='100%' height='100%' "
           "fill='white'/>\n";
    drawAxes(out, plot, scale);
    for (std::size_t index = 0; index < plot.lines.size(); ++index)
        drawLine(out, plot.lines[index], scale, index);
    out << "</svg>\n";
    return out.str();
}

} // namespace orchidlead::bench
