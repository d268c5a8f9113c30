// Formats log lines and writes them through log4cplus, on the calling thread or on a background thread.

#include "base/logging.h"

#include <memory>
#include <thread>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "base/bounded_ring.h"
#include "base/json.h"
#include "base/metrics.h"
#include "base/time.h"

namespace wigeon {

namespace {

// Holds the lines of several seconds at the highest decision rate of a wigeon-node leader.
constexpr std::size_t ring_capacity = 4096;

// Rate limit. A wigeon-node leader of 350 executors makes at most a few hundred decisions per second.
constexpr std::uint32_t max_lines_per_second = 1'000;

// Interval at which the idle writer checks whether the ring is closed.
constexpr milliseconds writer_poll_interval{1'000};

// The lines that wait to be written and the thread that writes them.
struct background_writer {
    bounded_ring<std::string> ring{ring_capacity};
    std::thread thread;
    std::uint64_t window_second = 0; // Unix time in seconds. Used, like lines_in_window, by the logging thread only.
    std::uint32_t lines_in_window = 0;
};

struct log_target {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("wigeon");
    std::string program;
    bool is_json = false;
    std::unique_ptr<background_writer> writer; // Null: the calling thread writes its lines.
};

log_target& process_log_target()
{
    static log_target target;
    return target;
}

} // namespace

void start_logging(std::string_view program, std::string_view format)
{
    log_target& target = process_log_target();
    target.program = program;
    target.is_json = format == "json";
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    target.logger.addAppender(appender);
    target.logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void start_background_logging(std::string_view program, std::string_view format)
{
    log_target& target = process_log_target();
    target.program = program;
    target.is_json = format == "json";
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    target.logger.addAppender(appender);
    target.logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    target.writer = std::make_unique<background_writer>();
    target.writer->thread = std::thread([&target] {
        background_writer& writer = *target.writer;
        while (true) {
            const auto line = writer.ring.pop(writer_poll_interval);
            if (line)
                LOG4CPLUS_INFO(target.logger, *line);
            else if (writer.ring.is_closed())
                return;
        }
    });
}

void stop_logging()
{
    log_target& target = process_log_target();
    if (!target.writer)
        return;
    target.writer->ring.close();
    target.writer->thread.join();
    target.writer.reset();
}

namespace {

void enqueue_line(background_writer& writer, std::string line, std::uint64_t now_ms)
{
    constexpr std::uint64_t milliseconds_per_second = 1'000;
    const std::uint64_t second = now_ms / milliseconds_per_second;
    if (second != writer.window_second) {
        writer.window_second = second;
        writer.lines_in_window = 0;
    }
    if (++writer.lines_in_window > max_lines_per_second || !writer.ring.try_push(std::move(line)))
        process_metrics().count("wigeon_log_lines_dropped_total");
}

} // namespace

void log_event(std::string_view event, std::initializer_list<log_field> fields)
{
    const log_target& target = process_log_target();
    // Command line tools do not start logging.
    if (target.program.empty())
        return;
    std::string line;
    if (target.is_json) {
        json_object object;
        object.add("time_ms", read_wall_clock_ms());
        object.add("program", target.program);
        object.add("event", event);
        for (const auto& [name, value] : fields)
            object.add(name, std::string_view(value));
        line = object.to_string();
    }
    else {
        line = "time_ms=" + std::to_string(read_wall_clock_ms()) + " program=" + target.program +
               " event=" + std::string(event);
        for (const auto& [name, value] : fields)
            line += " " + std::string(name) + "=" + quote_json(value);
    }
    if (target.writer)
        enqueue_line(*target.writer, std::move(line), read_wall_clock_ms());
    else
        LOG4CPLUS_INFO(target.logger, line);
}

} // namespace wigeon
