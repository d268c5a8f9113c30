// log4cplus behind one function, so that each line has the same form.

#include "base/logging.h"

#include <memory>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "base/json.h"
#include "base/time.h"

namespace wigeon {

namespace {

struct log_target {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("wigeon");
    std::string program;
    bool is_json = false;
};

log_target& find_target()
{
    static log_target target;
    return target;
}

} // namespace

void start_logging(std::string_view program, std::string_view format)
{
    log_target& target = find_target();
    target.program = program;
    target.is_json = format == "json";
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    target.logger.addAppender(appender);
    target.logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void log_change(std::string_view event, std::initializer_list<log_field> fields)
{
    const log_target& target = find_target();
    // A command that is not a service starts no logging.
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
    LOG4CPLUS_INFO(target.logger, line);
}

} // namespace wigeon
